package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A lessor that gives its lease up says which of its grants had no answer. With
// answers to all of them the next lessor need not wait with a move.
func TestAResigningLessorReportsUnansweredGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	lease := Lease{ConfirmedAt: allocatorStart}
	alloc, s := ownedRange(t)
	alloc.LimitDoubt(0, allocatorStart)
	g.Expect(alloc.Doubt(allocatorStart)).To(gomega.BeZero())
	g.Expect(alloc.Held(allocatorStart)).To(gomega.Equal(timing.FormerHold()), "the holds go on")

	call := alloc.Calls(s.Servers, lease, allocatorStart)[0]
	g.Expect(alloc.Doubt(allocatorStart)).To(gomega.Equal(timing.FormerHold()), "one is under way")
	alloc.Done(call, Result{}, allocatorStart)
	g.Expect(alloc.Doubt(allocatorStart)).To(gomega.BeZero())

	later := allocatorStart.Add(time.Second)
	call = alloc.Calls(s.Servers, Lease{ConfirmedAt: later}, later)[0]
	alloc.Done(call, Result{Failed: true}, later.Add(timing.CallTimeout))
	g.Expect(alloc.Doubt(later)).To(gomega.Equal(timing.maxTimeInForce(timing.Hold)))
}
