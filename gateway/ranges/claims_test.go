package ranges

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Each new lessor calls the owner of a range anew. Calls that left no byte, as those to a
// server that is lost, must not begin the wait for its holds anew while nodes that take each
// other for lost claim the lease in turn.
func TestRepeatedClaimsDoNotProlongTheWaitForALostOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	alloc, s := ownedRange(t)
	end, now := allocatorStart.Add(timing.FormerHold()), allocatorStart
	claims := 0
	for ; now.Before(end); claims++ {
		g.Expect(alloc.Plan(s, 2, now)).To(gomega.BeNil(), "grants of the first lessor may be in force")
		for range failuresToExpire {
			for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now) {
				alloc.Done(call, Result{Failed: true, Fate: NotSent}, now.Add(timing.CallTimeout))
			}
			now = now.Add(timing.Renew)
		}
		next := NewAllocator(alloc.Table(), timing, timing.FormerHold(), now)
		next.LimitFormer(alloc.Remaining(now), now)
		alloc = next
	}
	g.Expect(claims).To(gomega.BeNumerically(">", 3))
	for range failuresToExpire {
		for _, call := range alloc.Calls(s.Servers, Lease{ConfirmedAt: now}, now) {
			alloc.Done(call, Result{Failed: true, Fate: NotSent}, now)
		}
		now = now.Add(timing.Renew)
	}
	g.Expect(appendPlan(t, alloc, s, now).Server).To(gomega.Equal(site.ServerID("b")))
}
