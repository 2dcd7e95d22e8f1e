package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Requests reached the servers of an evacuated zone as before. They get none, but for owners of
// keys, until these can have moved.
func TestServersOfEvacuatedZonesGetNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	until := start.Add(2 * time.Second)
	p.Update([]site.Server{{ID: "near", Slots: 8, Zone: "a", EvacuateBy: until}, {ID: "far", Slots: 8, Zone: "b"}}, 1, start)
	waiter := func(now time.Time, only site.ServerID) *pool.Waiter {
		return &pool.Waiter{ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(time.Second), OnlyServer: only}
	}
	for range 20 {
		admission, _ := p.Submit(waiter(start, ""), start)
		g.Expect(admission.Server.ID).To(gomega.Equal(site.ServerID("far")))
		p.Done("far", pool.Outcome{Took: 10 * time.Millisecond}, start)
	}
	admission, _ := p.Submit(waiter(start, "near"), start)
	g.Expect(admission).NotTo(gomega.BeNil(), "an owner of keys")
	p.Done("near", pool.Outcome{Took: 10 * time.Millisecond}, start)
	_, refusal := p.Submit(waiter(until, "near"), until)
	g.Expect(refusal.Reason).To(gomega.Equal(pool.NoServer))
}
