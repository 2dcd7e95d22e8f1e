package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// Outcome describes what happened to the bytes of a call that had no response.
type Outcome uint8

// Outcomes of a call without a response.
const (
	// InFlight calls had bytes that the server's machine had not acknowledged when their
	// connection was reset. These bytes may wait in the node's own link and arrive later.
	InFlight Outcome = iota
	// NotSent calls sent no byte.
	NotSent
	// Arrived calls were acknowledged completely on a connection that the server's process
	// had accepted, or the server's machine closed their connection, or the response was
	// not a valid result. The process may still execute them.
	Arrived
	// Unaccepted calls sent no byte because the server's process has not accepted the
	// connection.
	Unaccepted
)

// String returns the outcome for the log.
func (outcome Outcome) String() string {
	switch outcome {
	case NotSent:
		return "not sent"
	case Arrived:
		return "arrived"
	case Unaccepted:
		return "not accepted"
	}
	return "under way"
}

// mayExecute reports whether the server may still execute the call.
func (outcome Outcome) mayExecute() bool { return outcome == InFlight || outcome == Arrived }

const (
	// serverReadDelay is the longest time until a server's process reads bytes that its
	// machine has acknowledged on an accepted connection. It equals the timeout of a call.
	serverReadDelay = 400 * time.Millisecond
	// pathAndReadDelay is the longest time until bytes that have left the node's own link
	// are executed.
	pathAndReadDelay = 100*time.Millisecond + serverReadDelay
)

// inFlightGrant is a grant whose arrival is unknown: its call is still running, or has
// ended while bytes were in flight.
type inFlightGrant struct {
	hold    time.Duration
	until   time.Time // when the grant expires if it arrives as late as possible
	endedAt time.Time // when the call's connection was reset; zero while the call is running
}

// holdAfterArrival returns how long after its arrival a grant may be in force.
func (t Timing) holdAfterArrival(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+clockDrift)) + holdMargin
}

// maxArrivalDelay returns how long after the end of its call a grant may arrive: its bytes
// may wait in the node's own link, or until the server's process reads them.
func (t Timing) maxArrivalDelay() time.Duration { return max(t.MaxLinkDelay, serverReadDelay) }

// maxTimeInForce returns how long after it was sent a grant may be in force.
func (t Timing) maxTimeInForce(hold time.Duration) time.Duration {
	return t.CallTimeout + t.maxArrivalDelay() + t.holdAfterArrival(hold)
}

// inForceUntil returns when the last grant that may be in force expires.
func (l *rangeState) inForceUntil() time.Time {
	until := clock.Later(l.heldUntil, l.previousUntil)
	for _, f := range l.inFlight {
		until = clock.Later(until, f.until)
	}
	return until
}

// likelyInForceUntil returns the same, assuming that no bytes wait in the node's own link.
func (l *rangeState) likelyInForceUntil(timing Timing) time.Time {
	until := clock.Later(l.heldUntil, l.previousUntil)
	for _, f := range l.inFlight {
		until = clock.Later(until, f.until.Add(serverReadDelay-timing.maxArrivalDelay()))
	}
	return until
}

// uncertainInForceUntil returns when the last uncertain grant that may be in force expires.
// Grants whose call is still running are not included.
func (l *rangeState) uncertainInForceUntil() time.Time {
	until := clock.Later(l.uncertainUntil, l.previousUncertainUntil)
	for _, f := range l.inFlight {
		if !f.endedAt.IsZero() {
			until = clock.Later(until, f.until)
		}
	}
	return until
}

// earlierInForceUntil returns when the last grant to an earlier incarnation of the owner
// that may be in force expires.
func (l *rangeState) earlierInForceUntil() time.Time {
	if l.Server.Start().IsZero() {
		return l.earlierIncarnationUntil
	}
	return clock.Later(l.earlierIncarnationUntil, l.previousUntil)
}

// recordSent records that a grant is sent.
func (l *rangeState) recordSent(hold time.Duration, timing Timing, now time.Time) {
	l.inFlight = append(l.inFlight, inFlightGrant{hold: hold, until: now.Add(timing.maxTimeInForce(hold))})
}

// recordResult records the result of the running call.
func (l *rangeState) recordResult(result Result, timing Timing, now time.Time) {
	i := slices.IndexFunc(l.inFlight, func(f inFlightGrant) bool { return f.endedAt.IsZero() })
	if i < 0 {
		return
	}
	f := l.inFlight[i]
	l.inFlight = slices.Delete(l.inFlight, i, i+1)
	switch {
	case result.Fenced, result.Failed && !result.Outcome.mayExecute():
	case result.Failed && result.Outcome == InFlight:
		f.endedAt = now
		f.until = now.Add(timing.maxArrivalDelay() + timing.holdAfterArrival(f.hold))
		l.inFlight = append(l.inFlight, f)
	case result.Failed:
		l.extendHeld(result.arrivedBy(now).Add(serverReadDelay+timing.holdAfterArrival(f.hold)), true)
	default:
		l.extendHeld(now.Add(timing.holdAfterArrival(f.hold)), false)
	}
}

// arrivedBy returns the time by which a call that ended at endedAt had reached the server's
// machine.
func (r Result) arrivedBy(endedAt time.Time) time.Time {
	if r.ArrivedBy.IsZero() || r.ArrivedBy.After(endedAt) {
		return endedAt
	}
	return r.ArrivedBy
}

// extendHeld records that a grant that has arrived is in force until the given time.
func (l *rangeState) extendHeld(until time.Time, isUncertain bool) {
	l.heldUntil = clock.Later(l.heldUntil, until)
	if isUncertain {
		l.uncertainUntil = clock.Later(l.uncertainUntil, until)
	}
}

// settleAbandoned records that calls whose connection was reset by resetBy have left the
// node's own link.
func (l *rangeState) settleAbandoned(resetBy time.Time, timing Timing, now time.Time) {
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

// Answered records that a call that was sent at sentAt has a response now. Bytes leave the
// node's own link in the order in which they were written, so calls that were reset before
// sentAt have left it. This shortens the wait for abandoned grants when the link has been
// full for seconds.
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

// hasAbandonedGrants reports whether calls have ended whose bytes may still be in flight.
func (l *rangeState) hasAbandonedGrants() bool {
	return slices.ContainsFunc(l.inFlight, func(f inFlightGrant) bool { return !f.endedAt.IsZero() })
}
