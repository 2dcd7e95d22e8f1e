package ranges

import (
	"context"
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Hold is how long a server owns a range, measured from the arrival of the grant.
type Hold = time.Duration

// Timing holds the intervals and timeouts of ownership.
type Timing struct {
	// Hold is the hold of every grant. The keys of a lost server get a new owner after it.
	// A lessor must be replaced within it for its loss to have no effect.
	Hold time.Duration
	// Renew is the interval between grants of a range. It leaves time to repeat a lost
	// grant within Hold.
	Renew time.Duration
	// GrantPeriod is how long a lessor continues granting after it last confirmed its lease
	// in the store; its last grant expires a Hold later. Ownership survives outages of the
	// store of that length, and a new lessor waits as long for an owner that does not
	// respond.
	GrantPeriod time.Duration
	// CallTimeout is the timeout of a call to a server.
	CallTimeout time.Duration
	// MaxLinkDelay is how long bytes may wait in the node's own link after their connection was
	// reset. A VM with a saturated link of 10 Mbit/s holds them for more than two seconds.
	MaxLinkDelay time.Duration
	// ReleaseTimeout is the timeout of a release, which the server answers when the work on
	// the keys has ended.
	ReleaseTimeout time.Duration
}

// DefaultTiming suits servers that allow a hold of 10 s: the replacement of a lessor takes
// about 2 s, and ownership survives outages of the store of up to 8 s.
func DefaultTiming() Timing {
	return Timing{
		Hold:           3 * time.Second,
		Renew:          700 * time.Millisecond,
		GrantPeriod:    5 * time.Second,
		CallTimeout:    400 * time.Millisecond,
		MaxLinkDelay:   3 * time.Second,
		ReleaseTimeout: 3 * time.Second,
	}
}

// PreviousHold returns how long after a claim grants of a previous lessor may be in force:
// its grant period plus the maximum time that a grant sent at its end is in force.
func (t Timing) PreviousHold() time.Duration { return t.GrantPeriod + t.HoldAfterExit() }

// HoldAfterExit returns how long after the end of a lessor's process its grants may be in
// force.
func (t Timing) HoldAfterExit() time.Duration { return t.maxTimeInForce(t.Hold) }

// idleMargin is subtracted from the time that PreviousHoldAfterIdle saves, because timers
// may fire late.
const idleMargin = 200 * time.Millisecond

// PreviousHoldAfterIdle returns PreviousHold for a claim on an ownership topic that has had
// no new record for the idle duration. The previous lessor's grant period began at or before
// its last record, so that duration (less idleMargin) has already passed.
func (t Timing) PreviousHoldAfterIdle(idle time.Duration) time.Duration {
	return max(t.PreviousHold()-max(idle-idleMargin, 0), 0)
}

// Servers measure a hold by their own clock.
const (
	clockDrift = 0.02                   // maximum fraction by which the clock may be slow
	holdMargin = 100 * time.Millisecond // for timers that fire late
)

// Granter calls servers.
type Granter interface {
	// Grant gives a range to a server or renews it. It returns a *FencedError if the server
	// has seen a higher fence, and a *CallError if there was no response; the grant may
	// then take effect late.
	Grant(ctx context.Context, server site.Server, grant Grant) error
	// Release takes a range back. It returns when the server's work on the keys has ended,
	// with the handover for the next owner.
	Release(ctx context.Context, server site.Server, span Span, fence Fence) (handover string, err error)
}

// CallError reports a call without a response.
type CallError struct {
	Outcome Outcome
	// ArrivedBy is the time by which an Arrived call had reached the server's machine, by
	// package clock; zero: the end of the call.
	ArrivedBy time.Time
	Cause     error
}

// Error implements error.
func (e *CallError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// FencedError reports that a server has seen a higher fence.
type FencedError struct{ Server site.ServerID }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("server %s has seen a higher fence", e.Server)
}
