package ranges

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A full server accepts a new lessor's connection seconds late and serves its keys
// meanwhile. It was treated as unresponsive, and requests for its keys were refused.
func TestAnOwnerThatHasNotAcceptedAConnectionYetIsNotUnresponsive(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	timing := DefaultTiming()
	now := allocatorStart
	state := func() RouteState { return alloc.Routes()[worldService][0].State }
	call := func(result Result) {
		calls := alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now)
		g.Expect(calls).To(gomega.HaveLen(1), "the next call is due at once")
		now = now.Add(timing.CallTimeout)
		alloc.Done(calls[0], result, now)
	}
	unaccepted := Result{Failed: true, Outcome: Unaccepted}
	for first := now.Add(timing.CallTimeout); now.Add(timing.CallTimeout).Sub(first) < acceptTimeout; {
		call(unaccepted)
		g.Expect(state()).To(gomega.Equal(Ready))
	}
	g.Expect(alloc.leases[worldService][0].inFlight).To(gomega.BeEmpty(), "nothing was sent")
	call(Result{})
	g.Expect(state()).To(gomega.Equal(Ready))

	now = now.Add(timing.Renew)
	for end := now.Add(acceptTimeout + 3*timing.CallTimeout); now.Before(end) && state() == Ready; {
		call(unaccepted)
	}
	g.Expect(state()).To(gomega.Equal(Unresponsive), "its process may be stalled")
	g.Expect(alloc.eligibleServers(s, worldService, now)).NotTo(gomega.ContainElement(gomega.HaveField("ID", site.ServerID("a"))))
}
