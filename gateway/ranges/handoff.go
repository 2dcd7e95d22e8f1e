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
func (k *Allocator) Remaining(now time.Time) []Remaining {
	var list []Remaining
	for service, leases := range k.leases {
		for _, l := range leases {
			r := Remaining{Service: service, Span: l.Span, Held: max(l.held().Sub(now), 0), Doubt: max(l.doubt().Sub(now), 0)}
			if l.calling {
				r.Doubt = r.Held
			}
			list = append(list, r)
		}
	}
	return list
}

// LimitFormer takes what the former lessor said when it granted nothing any more. What it
// did not name it never granted.
func (k *Allocator) LimitFormer(list []Remaining, now time.Time) {
	for service, leases := range k.leases {
		for _, l := range leases {
			held, doubt := now, now
			for _, r := range list {
				if r.Service == service && r.From <= l.To && l.From <= r.To {
					held = clock.Later(held, now.Add(r.Held))
					doubt = clock.Later(doubt, now.Add(r.Doubt))
				}
			}
			l.limitFormer(held, doubt)
		}
	}
	k.serial++ // silent ranges end sooner
}

// FormerHeld returns for how long grants of former lessors may be in force. Each record of a
// lessor tells it: one whose process has ended can no longer say what those before it granted,
// and they may go on for their right.
func (k *Allocator) FormerHeld(now time.Time) time.Duration {
	held := time.Duration(0)
	for _, leases := range k.leases {
		for _, l := range leases {
			held = max(held, l.formerUntil.Sub(now))
		}
	}
	return held
}

// FormerEnded takes that the former lessor's process had ended by a time, and that grants of
// those before it may be in force until another one.
func (k *Allocator) FormerEnded(by, beforeUntil time.Time) {
	until := clock.Later(by.Add(k.timing.EndedHold()), beforeUntil)
	for _, leases := range k.leases {
		for _, l := range leases {
			l.limitFormer(until, until)
		}
	}
	k.serial++ // silent ranges end sooner
}

// limitFormer shortens the time for which grants of the former lessor may be in force.
func (l *lease) limitFormer(held, doubt time.Time) {
	if held.Before(l.formerUntil) {
		l.formerUntil = held
	}
	if doubt.Before(l.formerDoubt) {
		l.formerDoubt = doubt
	}
}
