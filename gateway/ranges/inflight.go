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

// mayExecute reports whether a call may yet be carried out.
func (f Fate) mayExecute() bool { return f == Underway || f == Arrived }

const (
	// serverReadDelay is how long a server's process leaves bytes at most that its machine has
	// acknowledged, on a connection that it has accepted: as long as a call may take.
	serverReadDelay = 400 * time.Millisecond
	// pathAndReadDelay is how long it takes at most until bytes that have left the node's own link
	// are carried out.
	pathAndReadDelay = 100*time.Millisecond + serverReadDelay
)

// inFlightGrant is a grant whose arrival is not known: its call goes on, or has ended while bytes
// were under way.
type inFlightGrant struct {
	hold    time.Duration
	until   time.Time // when it has run out if it arrives as late as can be
	endedAt time.Time // when the call's connection was reset; zero while it goes on
}

// holdAfterArrival returns how long after its arrival a grant may be in force.
func (t Timing) holdAfterArrival(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+clockDrift)) + holdMargin
}

// maxArrivalDelay returns how long after the end of its call a grant may arrive: what waits before it
// in the node's own link, or until the server's process takes it.
func (t Timing) maxArrivalDelay() time.Duration { return max(t.Underway, serverReadDelay) }

// maxTimeInForce returns how long after it was sent a grant may be in force.
func (t Timing) maxTimeInForce(hold time.Duration) time.Duration {
	return t.CallTimeout + t.maxArrivalDelay() + t.holdAfterArrival(hold)
}

// inForceUntil returns until when a grant may be in force.
func (l *lease) inForceUntil() time.Time {
	until := clock.Later(l.heldUntil, l.previousUntil)
	for _, f := range l.inFlight {
		until = clock.Later(until, f.until)
	}
	return until
}

// likelyInForceUntil returns the same if nothing waits in the node's own link.
func (l *lease) likelyInForceUntil(timing Timing) time.Time {
	until := clock.Later(l.heldUntil, l.previousUntil)
	for _, f := range l.inFlight {
		until = clock.Later(until, f.until.Add(serverReadDelay-timing.maxArrivalDelay()))
	}
	return until
}

// uncertainInForceUntil returns until when a grant without an answer may be in force. One whose call goes
// on is not among them.
func (l *lease) uncertainInForceUntil() time.Time {
	until := clock.Later(l.uncertainUntil, l.previousUncertainUntil)
	for _, f := range l.inFlight {
		if !f.endedAt.IsZero() {
			until = clock.Later(until, f.until)
		}
	}
	return until
}

// earlierInForceUntil returns until when a grant to an earlier run of the owner may be in force.
func (l *lease) earlierInForceUntil() time.Time {
	if l.Server.Start().IsZero() {
		return l.earlierIncarnationUntil
	}
	return clock.Later(l.earlierIncarnationUntil, l.previousUntil)
}

// recordSent notes that a grant is sent.
func (l *lease) recordSent(hold time.Duration, timing Timing, now time.Time) {
	l.inFlight = append(l.inFlight, inFlightGrant{hold: hold, until: now.Add(timing.maxTimeInForce(hold))})
}

// recordResult takes the end of the call that goes on.
func (l *lease) recordResult(result Result, timing Timing, now time.Time) {
	i := slices.IndexFunc(l.inFlight, func(f inFlightGrant) bool { return f.endedAt.IsZero() })
	if i < 0 {
		return
	}
	f := l.inFlight[i]
	l.inFlight = slices.Delete(l.inFlight, i, i+1)
	switch {
	case result.Fenced, result.Failed && !result.Fate.mayExecute():
	case result.Failed && result.Fate == Underway:
		f.endedAt = now
		f.until = now.Add(timing.maxArrivalDelay() + timing.holdAfterArrival(f.hold))
		l.inFlight = append(l.inFlight, f)
	case result.Failed:
		l.extendHeld(result.arrivedBy(now).Add(serverReadDelay+timing.holdAfterArrival(f.hold)), true)
	default:
		l.extendHeld(now.Add(timing.holdAfterArrival(f.hold)), false)
	}
}

// arrivedBy returns by when a call that ended at a time had reached the server's machine.
func (r Result) arrivedBy(endedAt time.Time) time.Time {
	if r.ArrivedBy.IsZero() || r.ArrivedBy.After(endedAt) {
		return endedAt
	}
	return r.ArrivedBy
}

// extendHeld takes until when a grant is in force that has arrived.
func (l *lease) extendHeld(until time.Time, isUncertain bool) {
	l.heldUntil = clock.Later(l.heldUntil, until)
	if isUncertain {
		l.uncertainUntil = clock.Later(l.uncertainUntil, until)
	}
}

// settleAbandoned takes that what was reset by a time has left the node's own link.
func (l *lease) settleAbandoned(resetBy time.Time, timing Timing, now time.Time) {
	kept := l.inFlight[:0]
	for _, f := range l.inFlight {
		if f.endedAt.IsZero() || f.endedAt.After(resetBy) {
			kept = append(kept, f)
			continue
		}
		until := now.Add(pathAndReadDelay + timing.holdAfterArrival(f.hold))
		if until.After(f.until) {
			until = f.until
		}
		l.extendHeld(until, true)
	}
	l.inFlight = kept
}

// Answered takes that a call which was counted as sent at a time has its answer now. Bytes
// leave the node's own link in the order in which they were written: what was reset before
// the call has left it. It answers links that are full for seconds, in which a grant waits
// that its lessor has abandoned.
func (alloc *Allocator) Answered(sentAt, now time.Time) {
	if !alloc.hasAbandonedGrants {
		return
	}
	alloc.hasAbandonedGrants = false
	for _, leases := range alloc.leases {
		for _, l := range leases {
			l.settleAbandoned(sentAt, alloc.timing, now)
			alloc.hasAbandonedGrants = alloc.hasAbandonedGrants || l.hasAbandonedGrants()
		}
	}
}

// hasAbandonedGrants reports whether calls have ended whose bytes may be under way.
func (l *lease) hasAbandonedGrants() bool {
	return slices.ContainsFunc(l.inFlight, func(f inFlightGrant) bool { return !f.endedAt.IsZero() })
}
