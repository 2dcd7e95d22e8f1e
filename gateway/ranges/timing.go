package ranges

import (
	"context"
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Hold is for how long a server owns a range, from the arrival of the grant.
type Hold = time.Duration

// Timing holds the intervals of ownership.
type Timing struct {
	// Hold is the hold of every grant. A lost server's keys are served again
	// after it; a lessor must be replaced within it for its loss to go unseen.
	Hold time.Duration
	// Renew is the interval between grants of a range. It leaves a lost grant
	// time to be repeated within Hold.
	Renew time.Duration
	// GrantPeriod is for how long a lessor goes on granting after it last confirmed its
	// lease in the store; what it grants ends a Hold later. Ownership lives through
	// outages of the store of that length, and a new lessor waits as long for an
	// owner that does not answer.
	GrantPeriod time.Duration
	// CallTimeout ends a call to a server.
	CallTimeout time.Duration
	// Underway is how long bytes may wait in the node's own link after their connection was
	// reset: a VM of 10 Mbit/s whose link is full holds them for more than two seconds.
	Underway time.Duration
	// ReleaseTimeout ends a release, which the server answers when the work on
	// the keys has ended.
	ReleaseTimeout time.Duration
}

// DefaultTiming suits servers whose hold may be 10 s: a replaced lessor needs
// about 2 s, and outages of the store of up to 8 s are lived through.
func DefaultTiming() Timing {
	return Timing{
		Hold:           3 * time.Second,
		Renew:          700 * time.Millisecond,
		GrantPeriod:    5 * time.Second,
		CallTimeout:    400 * time.Millisecond,
		Underway:       3 * time.Second,
		ReleaseTimeout: 3 * time.Second,
	}
}

// Servers measure a hold by their own clock.
const (
	clockDrift = 0.02                   // share by which it may be slow
	holdMargin = 100 * time.Millisecond // for timers that fire late
)

// Granter calls servers.
type Granter interface {
	// Grant gives a range to a server or renews it. It returns a *FencedError if
	// the server has seen a higher fence, and a *CallError if it had no answer; then the
	// grant may take effect late.
	Grant(ctx context.Context, server site.Server, grant Grant) error
	// Release takes a range back. It returns when the server's work on the keys
	// has ended, with what the next owner needs.
	Release(ctx context.Context, server site.Server, span Span, fence Fence) (handover string, err error)
}

// CallError reports a call without an answer.
type CallError struct {
	Fate Fate
	// ArrivedBy is by when an Arrived call had reached the server's machine, by package
	// clock; zero: by its end.
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
