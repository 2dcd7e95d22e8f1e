package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A more urgent request that can no longer be answered in time is evicted. The request behind
// it can then be answered and stays in the queue.
func TestEvictedWaiterDoesNotCountAgainstLaterOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s", Service: "s", Zone: "a", Slots: 1}}, 12, start)
	ask := func(priority int, deadline time.Duration) *pool.Waiter {
		w := &pool.Waiter{Priority: priority, ArrivedAt: start, Target: start.Add(time.Second), Deadline: start.Add(deadline), OnlyServer: "s"}
		_, refusal := p.Submit(w, start)
		g.Expect(refusal).To(gomega.BeNil())
		return w
	}
	ask(0, time.Minute) // runs
	behind := ask(2, 1200*time.Millisecond)
	overdue := ask(1, 1100*time.Millisecond)
	evicted := map[*pool.Waiter]bool{}
	for _, e := range p.Evict(start.Add(time.Second)) {
		evicted[e.Waiter] = true
	}
	g.Expect(evicted).To(gomega.HaveKey(overdue), "100 ms are left, a request takes 150 ms")
	g.Expect(evicted).NotTo(gomega.HaveKey(behind), "200 ms are left")
}

// A request waits for its only server, to which a connection has failed. It is sent when the
// server is retried, before its deadline.
func TestWaiterIsAdmittedWhenBlockedServerIsRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s", Service: "s", Zone: "a", Slots: 1}}, 12, start)
	ask := func() *pool.Admission {
		w := &pool.Waiter{ArrivedAt: start, Target: start.Add(time.Minute), Deadline: start.Add(time.Minute), OnlyServer: "s"}
		admission, refusal := p.Submit(w, start)
		g.Expect(refusal).To(gomega.BeNil())
		return admission
	}
	g.Expect(ask()).NotTo(gomega.BeNil())
	g.Expect(ask()).To(gomega.BeNil(), "the request is queued")
	g.Expect(p.Done("s", pool.Outcome{Failed: true, NotReached: true}, start)).To(gomega.BeEmpty())
	at, waits := p.NextAdmitTime(start)
	g.Expect(waits).To(gomega.BeTrue())
	g.Expect(p.Admit(at)).To(gomega.HaveLen(1))
}
