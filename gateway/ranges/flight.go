package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// Fate tells what became of the bytes of a call that had no answer.
type Fate uint8

// Fates of a call without an answer.
const (
	// Underway calls had bytes that the server's machine had not acknowledged when their
	// connection was reset. These may wait in the node's own link and arrive later.
	Underway Fate = iota
	// NotSent calls left no byte.
	NotSent
	// Arrived calls were acknowledged whole on a connection that the server's process had
	// accepted, or the server's machine ended their connection, or answered without a result.
	// The process may yet carry them out.
	Arrived
	// Unaccepted calls left no byte: the server's process has not accepted the connection.
	Unaccepted
)

// String returns the fate for the log.
func (f Fate) String() string {
	switch f {
	case NotSent:
		return "not sent"
	case Arrived:
		return "arrived"
	case Unaccepted:
		return "not accepted"
	}
	return "under way"
}

// leftBytes reports whether a call may yet be carried out.
func (f Fate) leftBytes() bool { return f == Underway || f == Arrived }

const (
	// takeDelay is how long a server's process leaves bytes at most that its machine has
	// acknowledged, on a connection that it has accepted: as long as a call may take.
	takeDelay = 400 * time.Millisecond
	// pathDelay is how long it takes at most until bytes that have left the node's own link
	// are carried out.
	pathDelay = 100*time.Millisecond + takeDelay
)

// flight is a grant whose arrival is not known: its call goes on, or has ended while bytes
// were under way.
type flight struct {
	hold    time.Duration
	until   time.Time // when it has run out if it arrives as late as can be
	endedAt time.Time // when the call's connection was reset; zero while it goes on
}

// arrived returns how long after its arrival a grant may be in force.
func (t Timing) arrived(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+clockDrift)) + holdMargin
}

// late returns how long after the end of its call a grant may arrive: what waits before it
// in the node's own link, or until the server's process takes it.
func (t Timing) late() time.Duration { return max(t.Underway, takeDelay) }

// lapse returns how long after it was sent a grant may be in force.
func (t Timing) lapse(hold time.Duration) time.Duration {
	return t.CallTimeout + t.late() + t.arrived(hold)
}

// held returns until when a grant may be in force.
func (l *lease) held() time.Time {
	until := clock.Later(l.heldUntil, l.formerUntil)
	for _, f := range l.flights {
		until = clock.Later(until, f.until)
	}
	return until
}

// likelyHeld returns the same if nothing waits in the node's own link.
func (l *lease) likelyHeld(timing Timing) time.Time {
	until := clock.Later(l.heldUntil, l.formerUntil)
	for _, f := range l.flights {
		until = clock.Later(until, f.until.Add(takeDelay-timing.late()))
	}
	return until
}

// doubt returns until when a grant without an answer may be in force. One whose call goes
// on is not among them.
func (l *lease) doubt() time.Time {
	until := clock.Later(l.doubtUntil, l.formerDoubt)
	for _, f := range l.flights {
		if !f.endedAt.IsZero() {
			until = clock.Later(until, f.until)
		}
	}
	return until
}

// earlier returns until when a grant to an earlier run of the owner may be in force.
func (l *lease) earlier() time.Time {
	if l.Server.Start().IsZero() {
		return l.earlierUntil
	}
	return clock.Later(l.earlierUntil, l.formerUntil)
}

// depart notes that a grant is sent.
func (l *lease) depart(hold time.Duration, timing Timing, now time.Time) {
	l.flights = append(l.flights, flight{hold: hold, until: now.Add(timing.lapse(hold))})
}

// land takes the end of the call that goes on.
func (l *lease) land(result Result, timing Timing, now time.Time) {
	i := slices.IndexFunc(l.flights, func(f flight) bool { return f.endedAt.IsZero() })
	if i < 0 {
		return
	}
	f := l.flights[i]
	l.flights = slices.Delete(l.flights, i, i+1)
	switch {
	case result.Fenced, result.Failed && !result.Fate.leftBytes():
	case result.Failed && result.Fate == Underway:
		f.endedAt = now
		f.until = now.Add(timing.late() + timing.arrived(f.hold))
		l.flights = append(l.flights, f)
	case result.Failed:
		l.arrive(result.arrivedBy(now).Add(takeDelay+timing.arrived(f.hold)), true)
	default:
		l.arrive(now.Add(timing.arrived(f.hold)), false)
	}
}

// arrivedBy returns by when a call that ended at a time had reached the server's machine.
func (r Result) arrivedBy(endedAt time.Time) time.Time {
	if r.ArrivedBy.IsZero() || r.ArrivedBy.After(endedAt) {
		return endedAt
	}
	return r.ArrivedBy
}

// arrive takes until when a grant is in force that has arrived.
func (l *lease) arrive(until time.Time, isDoubtful bool) {
	l.heldUntil = clock.Later(l.heldUntil, until)
	if isDoubtful {
		l.doubtUntil = clock.Later(l.doubtUntil, until)
	}
}

// settleFlights takes that what was reset by a time has left the node's own link.
func (l *lease) settleFlights(resetBy time.Time, timing Timing, now time.Time) {
	kept := l.flights[:0]
	for _, f := range l.flights {
		if f.endedAt.IsZero() || f.endedAt.After(resetBy) {
			kept = append(kept, f)
			continue
		}
		until := now.Add(pathDelay + timing.arrived(f.hold))
		if until.After(f.until) {
			until = f.until
		}
		l.arrive(until, true)
	}
	l.flights = kept
}

// Answered takes that a call which was counted as sent at a time has its answer now. Bytes
// leave the node's own link in the order in which they were written: what was reset before
// the call has left it. It answers links that are full for seconds, in which a grant waits
// that its lessor has abandoned.
func (k *Allocator) Answered(sentAt, now time.Time) {
	if !k.hasStrays {
		return
	}
	k.hasStrays = false
	for _, leases := range k.leases {
		for _, l := range leases {
			l.settleFlights(sentAt, k.timing, now)
			k.hasStrays = k.hasStrays || l.hasStrays()
		}
	}
}

// hasStrays reports whether calls have ended whose bytes may be under way.
func (l *lease) hasStrays() bool {
	return slices.ContainsFunc(l.flights, func(f flight) bool { return !f.endedAt.IsZero() })
}
