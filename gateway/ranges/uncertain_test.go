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
	alloc.LimitUncertain(0, allocatorStart)
	g.Expect(alloc.UncertainFor(allocatorStart)).To(gomega.BeZero())
	g.Expect(alloc.HeldFor(allocatorStart)).To(gomega.Equal(timing.PreviousHold()), "the holds stay in force")

	call := alloc.Calls(s.Servers, lease, allocatorStart)[0]
	g.Expect(alloc.UncertainFor(allocatorStart)).To(gomega.Equal(timing.PreviousHold()), "a grant is in flight")
	alloc.Done(call, Result{}, allocatorStart)
	g.Expect(alloc.UncertainFor(allocatorStart)).To(gomega.BeZero())

	later := allocatorStart.Add(time.Second)
	call = alloc.Calls(s.Servers, Lease{ConfirmedAt: later}, later)[0]
	alloc.Done(call, Result{Failed: true}, later.Add(timing.CallTimeout))
	g.Expect(alloc.UncertainFor(later)).To(gomega.Equal(timing.maxTimeInForce(timing.Hold)))
}
