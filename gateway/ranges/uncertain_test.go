package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A resigning lessor reports how long its grants without a response may be in force. If all
// grants were answered, the next lessor need not delay a move.
func TestAResigningLessorReportsUnansweredGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	lease := Lease{ConfirmedAt: allocatorStart}
	alloc, s := ownedRange(t)
	alloc.LimitDoubt(0, allocatorStart)
	g.Expect(alloc.Doubt(allocatorStart)).To(gomega.BeZero())
	g.Expect(alloc.Held(allocatorStart)).To(gomega.Equal(timing.FormerHold()), "the holds stay in force")

	call := alloc.Calls(s.Servers, lease, allocatorStart)[0]
	g.Expect(alloc.Doubt(allocatorStart)).To(gomega.Equal(timing.FormerHold()), "a grant is in flight")
	alloc.Done(call, Result{}, allocatorStart)
	g.Expect(alloc.Doubt(allocatorStart)).To(gomega.BeZero())

	later := allocatorStart.Add(time.Second)
	call = alloc.Calls(s.Servers, Lease{ConfirmedAt: later}, later)[0]
	alloc.Done(call, Result{Failed: true}, later.Add(timing.CallTimeout))
	g.Expect(alloc.Doubt(later)).To(gomega.Equal(timing.maxTimeInForce(timing.Hold)))
}
