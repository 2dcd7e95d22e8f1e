package view

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Guards against requests for warm keys that wait behind those of a lost server, and against keys that count as cold after
// a planned move, on other sites, or for ever.
func TestKeysOfALostOwnerAreCold(t *testing.T) {
	mixed := guidance.Guidance{Mixed: []site.ServiceName{"s"}}
	for name, c := range map[string]struct {
		guidance guidance.Guidance
		warmUp   time.Duration
		lost     ranges.RouteState // of the route to the owner before
		owner    site.ServerID     // before
		later    time.Duration
		want     bool
	}{
		"unresponsive":           {mixed, 5 * time.Second, ranges.Unresponsive, "a", 0, true},
		"not registered":         {mixed, 5 * time.Second, ranges.Ready, "gone", 0, true},
		"handed over":            {mixed, 5 * time.Second, ranges.Moving, "a", 0, false},
		"first owner":            {mixed, 5 * time.Second, ranges.Moving, "", 0, false},
		"the same owner again":   {mixed, 5 * time.Second, ranges.Unresponsive, "b", 0, false},
		"after the warm-up":      {mixed, 5 * time.Second, ranges.Unresponsive, "a", 5 * time.Second, false},
		"no warm-up":             {mixed, 0, ranges.Unresponsive, "a", 0, false},
		"site that is not mixed": {guidance.Guidance{}, 5 * time.Second, ranges.Unresponsive, "a", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := NewState()
			s.update(func(v *View) bool {
				v.Config = &site.Config{Services: map[site.ServiceName]site.Service{"s": {Name: "s", Keyed: true, KeyWarmUp: c.warmUp}}}
				v.registered = map[site.ServerID]site.Server{"a": {}, "b": {}}
				return true
			})
			s.MergeGuidance(Guidance{Offset: 1, Guidance: c.guidance})
			s.MergeRoutes(routesTo(1, ranges.Route{Span: ranges.Span{From: 0, To: 99}, Server: c.owner, State: c.lost}, ranges.Route{Span: ranges.Span{From: 100, To: 199}, Server: "a", State: ranges.Ready}))
			s.MergeRoutes(routesTo(2, ranges.Route{Span: ranges.Span{From: 0, To: 49}, Server: "a", State: ranges.Ready}, ranges.Route{Span: ranges.Span{From: 50, To: 199}, Server: "b", State: ranges.Ready}))
			s.MergeRoutes(routesTo(3, ranges.Route{Span: ranges.Span{From: 0, To: 199}, Server: "b", State: ranges.Ready}))
			now := time.Now().Add(c.later)
			g.Expect(s.Now().IsColdKey("s", 70, now)).To(gomega.Equal(c.want))
			g.Expect(s.Now().IsColdKey("s", 150, now)).To(gomega.BeFalse(), "its owner is registered and responds")
			g.Expect(s.Now().IsColdKey("other", 70, now)).To(gomega.BeFalse())
		})
	}
}

func routesTo(serial uint64, routes ...ranges.Route) Routes {
	return Routes{Lessor: ranges.Lessor{Boot: "l"}, Offset: 1, Serial: serial, Services: map[site.ServiceName][]ranges.Route{"s": routes}}
}
