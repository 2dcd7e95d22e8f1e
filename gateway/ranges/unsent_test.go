package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A server that briefly accepted no connection when it got a range was never called again,
// and the keys of the range had no owner for as long as the server stayed registered.
func TestAGrantThatWasNotSentIsRetried(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	alloc, s := ownedRange(t)
	now := failRenewals(alloc, s, allocatorStart).Add(timing.PreviousHold())
	g.Expect(appendPlan(t, alloc, s, now).Server).To(gomega.Equal(site.ServerID("b")))

	unsent := func() {
		calls := alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now)
		g.Expect(calls).To(gomega.HaveLen(1))
		g.Expect(calls[0].Grant.Hold).To(gomega.Equal(timing.Hold))
		now = now.Add(timing.CallTimeout)
		alloc.Done(calls[0], Result{Failed: true, Outcome: NotSent}, now)
	}
	unsent()
	unsent()
	g.Expect(appendPlan(t, alloc, s, now).Server).To(gomega.Equal(site.ServerID("a")), "b is unresponsive and holds nothing")

	unsent()
	calls := alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now)
	g.Expect(calls).To(gomega.HaveLen(1))
	alloc.Done(calls[0], Result{}, now)
	g.Expect(alloc.Routes()[worldService][0].State).To(gomega.Equal(Ready))
}

// While a grant may be in force, another grant must not prolong the wait for it.
func TestAGrantAfterAMissDoesNotProlongTheWait(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRangeAfter(time.Second)
	end := allocatorStart.Add(time.Second)
	lease := Lease{ConfirmedAt: allocatorStart}
	call := alloc.Calls(s.Servers, lease, allocatorStart)[0]
	alloc.Done(call, Result{Failed: true, Outcome: NotSent}, allocatorStart)
	call = alloc.Calls(s.Servers, lease, allocatorStart)[0]
	alloc.Done(call, Result{Failed: true, Outcome: Arrived}, allocatorStart.Add(DefaultTiming().CallTimeout))
	g.Expect(allocatorStart.Add(alloc.HeldFor(allocatorStart))).To(gomega.BeTemporally("<=", end))
}
