package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// poolWithBusyOwner returns the pool of one of 68 nodes whose latest request was refused by the owner
// "s", which was full.
func poolWithBusyOwner(slowdown float64) *pool.Pool {
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s", Slots: 3, Zone: "a"}}, 68, start)
	p.Submit(requestForOwner(start, true), start)
	p.Done("s", pool.Outcome{Took: 300 * time.Millisecond, NoCapacity: true, Load: &site.Load{Running: 3, Waiting: 12, Slots: 3, Slowdown: slowdown}}, start)
	return p
}

func requestForOwner(now time.Time, checksOwner bool) *pool.Waiter {
	return &pool.Waiter{OnlyServer: "s", AtMostOnce: true, ChecksOwner: checksOwner, ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
}

// A node hears of an owner once in ten seconds. After one refusal by a full owner its requests waited
// for seconds, although the owner had long been free again.
func TestEarlierAnswersDoNotHoldBackRequestsWhoseOwnerIsChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	soon := start.Add(100 * time.Millisecond)
	p := poolWithBusyOwner(1)
	for range 3 {
		admission, refusal := p.Submit(requestForOwner(soon, true), soon)
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(admission).NotTo(gomega.BeNil())
	}
	admission, _ := p.Submit(requestForOwner(soon, true), soon)
	g.Expect(admission).To(gomega.BeNil(), "more than the owner has slots")

	admission, _ = poolWithBusyOwner(1).Submit(requestForOwner(soon, false), soon)
	g.Expect(admission).To(gomega.BeNil(), "not checked before it is sent")
	admission, _ = poolWithBusyOwner(0).Submit(requestForOwner(soon, true), soon)
	g.Expect(admission).To(gomega.BeNil(), "no server answers checks at once")
}
