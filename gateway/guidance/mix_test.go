package guidance_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

func twoPriorities() *site.Config {
	to := []site.Target{{Service: "s", Weight: 1}}
	return &site.Config{
		Services: map[site.ServiceName]site.Service{"s": {Name: "s"}},
		Routes:   []site.Route{{Name: "urgent", Priority: 0, Targets: to}, {Name: "patient", Priority: 2, Targets: to}},
	}
}

// Guards against treating a service as mixed because of routes that get next to no requests, which every site has.
func TestIdleRoutesDoNotMakeAServiceMixed(t *testing.T) {
	g := gomega.NewWithT(t)
	mix, now := guidance.NewMix(), time.Now()
	mix.Count("s", 2, 1000)
	mix.Count("s", 0, 20)
	g.Expect(mix.Mixed(twoPriorities(), now)).To(gomega.BeEmpty())
	mix.Count("s", 0, 100)
	g.Expect(mix.Mixed(twoPriorities(), now)).To(gomega.ConsistOf(site.ServiceName("s")))
}

// Guards against switching back and forth when one of the priorities pauses, and against keeping a service mixed that the
// configuration does not mix any more.
func TestAServiceStaysMixedThroughPausesOfAPriority(t *testing.T) {
	g := gomega.NewWithT(t)
	mix, now := guidance.NewMix(), time.Now()
	mix.Count("s", 2, 1000)
	mix.Count("s", 0, 1000)
	g.Expect(mix.Mixed(twoPriorities(), now)).NotTo(gomega.BeEmpty())
	for range 29 {
		now = now.Add(time.Second)
		mix.Count("s", 2, 1000)
		g.Expect(mix.Mixed(twoPriorities(), now)).NotTo(gomega.BeEmpty())
	}
	single := twoPriorities()
	single.Routes = single.Routes[:1]
	g.Expect(mix.Mixed(single, now)).To(gomega.BeEmpty())
	for range 60 {
		now = now.Add(time.Second)
		mix.Count("s", 2, 1000)
		mix.Mixed(twoPriorities(), now)
	}
	g.Expect(mix.Mixed(twoPriorities(), now)).To(gomega.BeEmpty())
}
