// Package retry decides whether and when a request is retried, and whether it is
// routed again first. The decision is a pure function: time, randomness and the
// budget are arguments.
package retry

import (
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// The backoff before the n-th retry is a random duration up to
// BackoffBase × 2ⁿ, and never longer than BackoffMax.
const (
	BackoffBase = 10 * time.Millisecond
	BackoffMax  = 250 * time.Millisecond
	// MaxAttempts bounds the attempts at one request that draw on the retry budget.
	MaxAttempts = 4
)

// Action is what to do after an attempt.
type Action uint8

// Actions.
const (
	// Stop returns the verdict to the caller.
	Stop Action = iota + 1
	// Reroute waits until another owner, fence or lessor is known, or the current
	// one is reachable again, and only then sends the next attempt. It draws on
	// no retry budget, because the buffer bounds the waiting requests and no
	// server receives an attempt that cannot succeed.
	Reroute
	// Retry sends another attempt after Decision.Wait, to another server if the
	// service has a choice of servers.
	Retry
)

// Attempt describes an attempt and its request.
type Attempt struct {
	Verdict          outcome.Verdict
	Keyed            bool // only the owner of the key may serve the request
	Idempotent       bool // the request may run more than once
	Replayable       bool // the body can be sent again
	Canceled         bool // the caller disconnected
	Forwarded        bool // received from another entry node, which decides on retries
	OwnerAwaited     bool // another node has already waited for the owner
	Hop              int  // number of services that the request has passed through
	Attempts         int  // attempts made so far, including this one
	Deadline         time.Time
	ExpectedDuration time.Duration // expected duration of an attempt; 0 if unknown
}

// Decision is the action to take after an attempt.
type Decision struct {
	Action Action
	Wait   time.Duration // backoff before the next attempt if Action is Retry
}

// Decide returns the action to take after an attempt. takeRetry draws one retry
// from the budget and reports whether it was available; uniform returns a random
// number in [0,1).
func Decide(now time.Time, a Attempt, takeRetry func() bool, uniform func() float64) Decision {
	if a.Canceled || !a.Replayable || !repeatable(a) {
		return Decision{Action: Stop}
	}
	if needsReroute(a) {
		return Decision{Action: Reroute}
	}
	if a.Forwarded || a.Hop > 0 || a.Attempts >= MaxAttempts || isFinal(a) {
		return Decision{Action: Stop}
	}
	wait := Backoff(a.Attempts-1, uniform())
	if !now.Add(wait + a.ExpectedDuration).Before(a.Deadline) {
		return Decision{Action: Stop}
	}
	if !takeRetry() {
		return Decision{Action: Stop}
	}
	return Decision{Action: Retry, Wait: wait}
}

// Backoff returns the wait before the n-th retry, where n starts at 0 and
// uniform is a random number in [0,1).
func Backoff(n int, uniform float64) time.Duration {
	limit := BackoffMax
	if n < 8 {
		limit = min(BackoffBase<<n, BackoffMax)
	}
	return time.Duration(uniform * float64(limit))
}

// repeatable reports whether another attempt is safe: either this attempt did not
// run, or the request may run more than once.
func repeatable(a Attempt) bool {
	switch a.Verdict.Outcome {
	case serverapi.OutcomeNotRun:
		return true
	case serverapi.OutcomeUnknown:
		return a.Idempotent && a.Verdict.Reason != callerapi.ReasonCanceled
	}
	return false
}

// needsReroute reports whether the attempt went to a node or server that may not
// serve it, or to the only server that may serve it and is unreachable.
func needsReroute(a Attempt) bool {
	if a.Verdict.Outcome != serverapi.OutcomeNotRun || a.OwnerAwaited {
		return false
	}
	switch a.Verdict.Reason {
	case serverapi.ReasonNotOwner, callerapi.ReasonNotLessor, callerapi.ReasonNoLease, callerapi.ReasonNoOwner:
		return true
	case serverapi.ReasonDraining, callerapi.ReasonNotSent:
		return a.Keyed
	}
	return false
}

// isFinal reports whether a retry cannot succeed, or would add load to an
// overloaded server.
func isFinal(a Attempt) bool {
	switch a.Verdict.Reason {
	case serverapi.ReasonDeadline, serverapi.ReasonDuplicate, serverapi.ReasonStaleTicket,
		serverapi.ReasonAnswerGone, serverapi.ReasonBadRequest,
		callerapi.ReasonBadTicket, callerapi.ReasonBodyTooLarge, callerapi.ReasonBodyUnreadable,
		callerapi.ReasonLoop, callerapi.ReasonTooLate, callerapi.ReasonDependency,
		callerapi.ReasonBusy, callerapi.ReasonBufferFull:
		return true
	case callerapi.ReasonQueueFull:
		return a.Keyed
	case serverapi.ReasonNotOwner, callerapi.ReasonNotLessor, callerapi.ReasonNoLease,
		callerapi.ReasonNoOwner, callerapi.ReasonNoServer:
		return a.OwnerAwaited || a.Keyed
	}
	return false
}
