package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A server that took no connection for a moment when it got a range was never called again,
// and the range's keys had no owner for as long as it stayed in the register.
func TestAGrantThatLeftNoByteIsSentAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	k, s := owned(t)
	now := miss(k, s, allocatorStart).Add(timing.FormerHold())
	g.Expect(planned(t, k, s, now).Server).To(gomega.Equal(site.ServerID("b")))

	unsent := func() {
		calls := k.Calls(s.Servers, Lease{ConfirmedAt: now}, now)
		g.Expect(calls).To(gomega.HaveLen(1))
		g.Expect(calls[0].Grant.Hold).To(gomega.Equal(timing.Hold))
		now = now.Add(timing.CallTimeout)
		k.Done(calls[0], Result{Failed: true, Fate: NotSent}, now)
	}
	unsent()
	unsent()
	g.Expect(planned(t, k, s, now).Server).To(gomega.Equal(site.ServerID("a")), "b is silent, and holds nothing")

	unsent()
	calls := k.Calls(s.Servers, Lease{ConfirmedAt: now}, now)
	g.Expect(calls).To(gomega.HaveLen(1))
	k.Done(calls[0], Result{}, now)
	g.Expect(k.Routes()[worldService][0].State).To(gomega.Equal(Ready))
}

// While a grant may be in force, one more must not prolong the wait for it.
func TestAGrantAfterAMissDoesNotProlongTheWait(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := ownedAfter(time.Second)
	end := allocatorStart.Add(time.Second)
	lease := Lease{ConfirmedAt: allocatorStart}
	call := k.Calls(s.Servers, lease, allocatorStart)[0]
	k.Done(call, Result{Failed: true, Fate: NotSent}, allocatorStart)
	call = k.Calls(s.Servers, lease, allocatorStart)[0]
	k.Done(call, Result{Failed: true, Fate: Arrived}, allocatorStart.Add(DefaultTiming().CallTimeout))
	g.Expect(allocatorStart.Add(k.Held(allocatorStart))).To(gomega.BeTemporally("<=", end))
}
