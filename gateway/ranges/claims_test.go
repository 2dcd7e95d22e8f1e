package ranges

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Each new lessor calls the owner of a range again. Calls that sent no byte, such as those
// to a lost server, must not restart the wait for its holds while nodes that cannot reach
// each other claim the lease in turn.
func TestRepeatedClaimsDoNotProlongTheWaitForALostOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	alloc, s := ownedRange(t)
	end, now := allocatorStart.Add(timing.PreviousHold()), allocatorStart
	claims := 0
	for ; now.Before(end); claims++ {
		g.Expect(alloc.Plan(s, 2, now)).To(gomega.BeNil(), "grants of the first lessor may be in force")
		for range failuresToExpire {
			for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now) {
				alloc.Done(call, Result{Failed: true, Outcome: NotSent}, now.Add(timing.CallTimeout))
			}
			now = now.Add(timing.Renew)
		}
		next := NewAllocator(alloc.Table(), timing, timing.PreviousHold(), now)
		next.LimitPrevious(alloc.Remaining(now), now)
		alloc = next
	}
	g.Expect(claims).To(gomega.BeNumerically(">", 3))
	for range failuresToExpire {
		for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now) {
			alloc.Done(call, Result{Failed: true, Outcome: NotSent}, now)
		}
		now = now.Add(timing.Renew)
	}
	g.Expect(appendPlan(t, alloc, s, now).Server).To(gomega.Equal(site.ServerID("b")))
}
