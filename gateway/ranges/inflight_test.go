package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Bytes that a lessor wrote to an owner wait in the lessor's own saturated link. The call
// is abandoned and its connection reset, but the grant arrives two seconds later.
func TestAnAbandonedGrantIsInForceUntilItHasLeftTheLink(t *testing.T) {
	timing := DefaultTiming()
	hold := timing.holdAfterArrival(timing.Hold)
	ended := allocatorStart.Add(timing.CallTimeout)
	answered := ended.Add(700 * time.Millisecond)
	for name, row := range map[string]struct {
		result Result
		sentAt time.Time // when another call that is answered was sent; zero: there is none
		want   time.Time
	}{
		"answered":                    {Result{}, time.Time{}, ended.Add(hold)},
		"not sent":                    {Result{Failed: true, Outcome: NotSent}, time.Time{}, allocatorStart},
		"acknowledged by the end":     {Result{Failed: true, Outcome: Arrived}, time.Time{}, ended.Add(serverReadDelay + hold)},
		"acknowledged at once":        {Result{Failed: true, Outcome: Arrived, ArrivedBy: allocatorStart}, time.Time{}, allocatorStart.Add(serverReadDelay + hold)},
		"connection not accepted":     {Result{Failed: true, Outcome: Unaccepted}, time.Time{}, allocatorStart},
		"in flight":                   {Result{Failed: true}, time.Time{}, ended.Add(timing.MaxLinkDelay + hold)},
		"an earlier call is answered": {Result{Failed: true}, ended.Add(-time.Millisecond), ended.Add(timing.MaxLinkDelay + hold)},
		"a later call is answered":    {Result{Failed: true}, ended, answered.Add(pathAndReadDelay + hold)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			alloc, s := ownedRangeAfter(0)
			call := alloc.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0]
			g.Expect(alloc.leases[worldService][0].inForceUntil()).To(gomega.Equal(allocatorStart.Add(timing.maxTimeInForce(timing.Hold))), "the call is still running")
			alloc.Done(call, row.result, ended)
			if !row.sentAt.IsZero() {
				alloc.Answered(row.sentAt, answered)
			}
			g.Expect(alloc.leases[worldService][0].inForceUntil()).To(gomega.Equal(row.want))
		})
	}
}

// A call that sent no byte needs no higher fence and does not delay a move.
func TestACallThatWasNotSentIsNotUncertain(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	alloc.LimitUncertain(0, allocatorStart)
	lease := Lease{ConfirmedAt: allocatorStart}
	alloc.Done(alloc.Calls(s.Servers, lease, allocatorStart)[0], Result{Failed: true, Outcome: NotSent}, allocatorStart)
	alloc.Done(alloc.Calls(s.Servers, lease, allocatorStart)[0], Result{}, allocatorStart)
	g.Expect(alloc.leases[worldService][0].canRelease(allocatorStart)).To(gomega.BeTrue())
}
