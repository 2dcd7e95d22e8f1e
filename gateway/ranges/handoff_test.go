package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Three successive lessors: the first loses the store and continues granting for its grant
// period. The second claims and ends at once, and the next process of its node reports that
// to the third. The end of the second does not limit the grants of the first.
func TestAnEndedLessorDoesNotReportForEarlierLessors(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {{Span: Span{To: LastKey}, Server: "a", Fence: 1}}}}
	lastConfirmed := allocatorStart // by the first lessor
	lastHold := lastConfirmed.Add(timing.GrantPeriod + timing.maxTimeInForce(timing.Hold))
	claimedAt := lastConfirmed.Add(1500 * time.Millisecond)
	second := NewAllocator(table, timing, timing.PreviousHold(), claimedAt)
	recordedAt := claimedAt.Add(500 * time.Millisecond)
	before := second.PreviousHeldFor(recordedAt)
	endedAt := recordedAt.Add(100 * time.Millisecond)

	now := endedAt.Add(2 * time.Second)
	third := NewAllocator(table, timing, timing.PreviousHold(), now)
	third.PreviousEnded(endedAt, now.Add(before))
	g.Expect(now.Add(third.HeldFor(now))).To(gomega.BeTemporally(">=", lastHold))

	alone := NewAllocator(table, timing, timing.PreviousHold(), now)
	alone.PreviousEnded(endedAt, time.Time{})
	g.Expect(now.Add(alone.HeldFor(now))).To(gomega.BeTemporally("<", lastHold), "the end of the second lessor alone gives too early a time")
}
