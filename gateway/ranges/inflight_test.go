package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Bytes that a lessor wrote to an owner wait in the lessor's own link, which is full: the
// call is abandoned and its connection reset, and the grant arrives two seconds later.
func TestAnAbandonedGrantIsInForceUntilItHasLeftTheLink(t *testing.T) {
	timing := DefaultTiming()
	hold := timing.holdAfterArrival(timing.Hold)
	ended := allocatorStart.Add(timing.CallTimeout)
	answered := ended.Add(700 * time.Millisecond)
	for name, row := range map[string]struct {
		result Result
		sentAt time.Time // of another call that is answered; zero: none is
		want   time.Time
	}{
		"answered":                        {Result{}, time.Time{}, ended.Add(hold)},
		"nothing left":                    {Result{Failed: true, Fate: NotSent}, time.Time{}, allocatorStart},
		"all was acknowledged by the end": {Result{Failed: true, Fate: Arrived}, time.Time{}, ended.Add(serverReadDelay + hold)},
		"all was acknowledged at once":    {Result{Failed: true, Fate: Arrived, ArrivedBy: allocatorStart}, time.Time{}, allocatorStart.Add(serverReadDelay + hold)},
		"the connection is not accepted":  {Result{Failed: true, Fate: Unaccepted}, time.Time{}, allocatorStart},
		"under way":                       {Result{Failed: true}, time.Time{}, ended.Add(timing.Underway + hold)},
		"an earlier call is answered":     {Result{Failed: true}, ended.Add(-time.Millisecond), ended.Add(timing.Underway + hold)},
		"a call sent after the reset is":  {Result{Failed: true}, ended, answered.Add(pathAndReadDelay + hold)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			alloc, s := ownedRangeAfter(0)
			call := alloc.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0]
			g.Expect(alloc.leases[worldService][0].inForceUntil()).To(gomega.Equal(allocatorStart.Add(timing.maxTimeInForce(timing.Hold))), "it goes on")
			alloc.Done(call, row.result, ended)
			if !row.sentAt.IsZero() {
				alloc.Answered(row.sentAt, answered)
			}
			g.Expect(alloc.leases[worldService][0].inForceUntil()).To(gomega.Equal(row.want))
		})
	}
}

// A call that left no byte needs no higher fence, and holds no move up.
func TestACallThatWasNotSentIsNotUncertain(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	alloc.LimitDoubt(0, allocatorStart)
	lease := Lease{ConfirmedAt: allocatorStart}
	alloc.Done(alloc.Calls(s.Servers, lease, allocatorStart)[0], Result{Failed: true, Fate: NotSent}, allocatorStart)
	alloc.Done(alloc.Calls(s.Servers, lease, allocatorStart)[0], Result{}, allocatorStart)
	g.Expect(alloc.leases[worldService][0].canRelease(allocatorStart)).To(gomega.BeTrue())
}
