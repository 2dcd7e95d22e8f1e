package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A lessor that gives its lease up says which of its grants had no answer. With
// answers to all of them the next lessor need not wait with a move.
func TestALessorThatResignsTellsOfGrantsWithoutAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	lease := Lease{ConfirmedAt: allocatorStart}
	k, s := owned(t)
	k.LimitDoubt(0, allocatorStart)
	g.Expect(k.Doubt(allocatorStart)).To(gomega.BeZero())
	g.Expect(k.Held(allocatorStart)).To(gomega.Equal(timing.FormerHold()), "the holds go on")

	call := k.Calls(s.Servers, lease, allocatorStart)[0]
	g.Expect(k.Doubt(allocatorStart)).To(gomega.Equal(timing.FormerHold()), "one is under way")
	k.Done(call, Result{}, allocatorStart)
	g.Expect(k.Doubt(allocatorStart)).To(gomega.BeZero())

	later := allocatorStart.Add(time.Second)
	call = k.Calls(s.Servers, Lease{ConfirmedAt: later}, later)[0]
	k.Done(call, Result{Failed: true}, later.Add(timing.CallTimeout))
	g.Expect(k.Doubt(later)).To(gomega.Equal(timing.lapse(timing.Hold)))
}
