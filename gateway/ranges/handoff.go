package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A previous lessor that can be reached reports to its successor how long its grants may be
// in force. This covers a lessor that loses access to the store while servers are
// unreachable: without the report, the keys of every unresponsive owner had no owner for
// the previous lessor's grant period and a hold, more than eight seconds, although they had
// not been granted for a long time.

// Remaining describes how long grants of a range may be in force.
type Remaining struct {
	Service site.ServiceName
	Span
	Held      time.Duration
	Uncertain time.Duration // the same for uncertain grants
}

// Remaining returns for the next lessor how long grants of each range may be in force.
// Nothing may be granted after the call.
func (alloc *Allocator) Remaining(now time.Time) []Remaining {
	var list []Remaining
	for service, leases := range alloc.leases {
		for _, l := range leases {
			r := Remaining{Service: service, Span: l.Span, Held: max(l.inForceUntil().Sub(now), 0), Uncertain: max(l.uncertainInForceUntil().Sub(now), 0)}
			if l.callInFlight {
				r.Uncertain = r.Held
			}
			list = append(list, r)
		}
	}
	return list
}

// LimitPrevious applies the report that the previous lessor made after its last grant. Ranges
// that are missing from it were never granted by that lessor.
func (alloc *Allocator) LimitPrevious(list []Remaining, now time.Time) {
	for service, leases := range alloc.leases {
		for _, l := range leases {
			held, uncertain := now, now
			for _, r := range list {
				if r.Service == service && r.From <= l.To && l.From <= r.To {
					held = clock.Later(held, now.Add(r.Held))
					uncertain = clock.Later(uncertain, now.Add(r.Uncertain))
				}
			}
			l.limitPrevious(held, uncertain)
		}
	}
	alloc.serial++ // unresponsive ranges are reassigned earlier
}

// PreviousHeldFor returns how long grants of previous lessors may be in force. Each record of a
// lessor carries it, because a lessor whose process has ended can no longer report what its
// predecessors granted, and these may continue to grant for their grant period.
func (alloc *Allocator) PreviousHeldFor(now time.Time) time.Duration {
	held := time.Duration(0)
	for _, leases := range alloc.leases {
		for _, l := range leases {
			held = max(held, l.previousUntil.Sub(now))
		}
	}
	return held
}

// PreviousEnded records that the previous lessor's process had ended by endedBy, and that
// grants of lessors before it may be in force until earlierUntil.
func (alloc *Allocator) PreviousEnded(endedBy, earlierUntil time.Time) {
	until := clock.Later(endedBy.Add(alloc.timing.HoldAfterExit()), earlierUntil)
	for _, leases := range alloc.leases {
		for _, l := range leases {
			l.limitPrevious(until, until)
		}
	}
	alloc.serial++ // unresponsive ranges are reassigned earlier
}

// limitPrevious shortens the time for which grants of the previous lessor may be in force.
func (l *rangeState) limitPrevious(held, uncertain time.Time) {
	if held.Before(l.previousUntil) {
		l.previousUntil = held
	}
	if uncertain.Before(l.previousUncertainUntil) {
		l.previousUncertainUntil = uncertain
	}
}
