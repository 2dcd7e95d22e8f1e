package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Three lessors in a row: the first is cut off from the store and goes on granting for its
// right, the second claims and ends at once, and the next run of its node tells the third so.
// The second cannot speak for the first.
func TestAnEndedLessorDoesNotReportForEarlierLessors(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {{Span: Span{To: LastKey}, Server: "a", Fence: 1}}}}
	lastConfirmed := allocatorStart // of the first
	lastHold := lastConfirmed.Add(timing.GrantPeriod + timing.maxTimeInForce(timing.Hold))
	claimedAt := lastConfirmed.Add(1500 * time.Millisecond)
	second := NewAllocator(table, timing, timing.FormerHold(), claimedAt)
	recordedAt := claimedAt.Add(500 * time.Millisecond)
	before := second.FormerHeld(recordedAt)
	endedAt := recordedAt.Add(100 * time.Millisecond)

	now := endedAt.Add(2 * time.Second)
	third := NewAllocator(table, timing, timing.FormerHold(), now)
	third.FormerEnded(endedAt, now.Add(before))
	g.Expect(now.Add(third.Held(now))).To(gomega.BeTemporally(">=", lastHold))

	alone := NewAllocator(table, timing, timing.FormerHold(), now)
	alone.FormerEnded(endedAt, time.Time{})
	g.Expect(now.Add(alone.Held(now))).To(gomega.BeTemporally("<", lastHold), "the second alone says too little")
}
