package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A former lessor that can be reached tells its successor until when its grants may be in
// force. It answers a lessor that the store turns away while servers are cut off: without
// it the keys of every silent owner had no owner for the former lessor's right and a hold,
// more than eight seconds, though nothing had been granted to them for long.

// Remaining is for how long grants of a range may be in force.
type Remaining struct {
	Service site.ServiceName
	Span
	Held  time.Duration
	Doubt time.Duration // the same of grants without an answer
}

// Remaining returns what may be in force of each range, for the next lessor. Nothing may be
// granted after it.
func (alloc *Allocator) Remaining(now time.Time) []Remaining {
	var list []Remaining
	for service, leases := range alloc.leases {
		for _, l := range leases {
			r := Remaining{Service: service, Span: l.Span, Held: max(l.inForceUntil().Sub(now), 0), Doubt: max(l.uncertainInForceUntil().Sub(now), 0)}
			if l.callInFlight {
				r.Doubt = r.Held
			}
			list = append(list, r)
		}
	}
	return list
}

// LimitFormer takes what the former lessor said when it granted nothing any more. What it
// did not name it never granted.
func (alloc *Allocator) LimitFormer(list []Remaining, now time.Time) {
	for service, leases := range alloc.leases {
		for _, l := range leases {
			held, uncertain := now, now
			for _, r := range list {
				if r.Service == service && r.From <= l.To && l.From <= r.To {
					held = clock.Later(held, now.Add(r.Held))
					uncertain = clock.Later(uncertain, now.Add(r.Doubt))
				}
			}
			l.limitPrevious(held, uncertain)
		}
	}
	alloc.serial++ // silent ranges end sooner
}

// FormerHeld returns for how long grants of former lessors may be in force. Each record of a
// lessor tells it: one whose process has ended can no longer say what those before it granted,
// and they may go on for their right.
func (alloc *Allocator) FormerHeld(now time.Time) time.Duration {
	held := time.Duration(0)
	for _, leases := range alloc.leases {
		for _, l := range leases {
			held = max(held, l.previousUntil.Sub(now))
		}
	}
	return held
}

// FormerEnded takes that the former lessor's process had ended by a time, and that grants of
// those before it may be in force until another one.
func (alloc *Allocator) FormerEnded(endedBy, earlierUntil time.Time) {
	until := clock.Later(endedBy.Add(alloc.timing.EndedHold()), earlierUntil)
	for _, leases := range alloc.leases {
		for _, l := range leases {
			l.limitPrevious(until, until)
		}
	}
	alloc.serial++ // silent ranges end sooner
}

// limitPrevious shortens the time for which grants of the former lessor may be in force.
func (l *lease) limitPrevious(held, uncertain time.Time) {
	if held.Before(l.previousUntil) {
		l.previousUntil = held
	}
	if uncertain.Before(l.previousUncertainUntil) {
		l.previousUncertainUntil = uncertain
	}
}
