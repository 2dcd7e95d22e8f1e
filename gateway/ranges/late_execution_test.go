package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A server's machine had acknowledged a grant whose call was abandoned, and its process
// executed the grant 0.26 s later. The range moved to another server 0.1 s before that hold
// ended, and two servers worked on its keys.
func TestAnAcknowledgedGrantMayBeExecutedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	alloc, s := ownedRangeAfter(0)
	call := alloc.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0]
	endedAt := allocatorStart.Add(timing.CallTimeout)
	alloc.Done(call, Result{Failed: true, Outcome: Arrived}, endedAt)
	const late, slowClock = 260 * time.Millisecond, 1.0073
	heldUntil := endedAt.Add(late + time.Duration(slowClock*float64(call.Grant.Hold)))
	g.Expect(endedAt.Add(alloc.HeldFor(endedAt))).To(gomega.BeTemporally(">=", heldUntil))
}
