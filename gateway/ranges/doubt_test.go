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
	lease := Lease{ConfirmedAt: keeperStart}
	k, s := owned(t)
	k.LimitDoubt(0, keeperStart)
	g.Expect(k.Doubt(keeperStart)).To(gomega.BeZero())
	g.Expect(k.Held(keeperStart)).To(gomega.Equal(timing.FormerHold()), "the holds go on")

	call := k.Calls(s.Servers, lease, keeperStart)[0]
	g.Expect(k.Doubt(keeperStart)).To(gomega.Equal(timing.FormerHold()), "one is under way")
	k.Done(call, Result{}, keeperStart)
	g.Expect(k.Doubt(keeperStart)).To(gomega.BeZero())

	later := keeperStart.Add(time.Second)
	call = k.Calls(s.Servers, Lease{ConfirmedAt: later}, later)[0]
	k.Done(call, Result{Failed: true}, later.Add(timing.CallTimeout))
	g.Expect(k.Doubt(later)).To(gomega.Equal(timing.lapse(timing.Hold)))
}
