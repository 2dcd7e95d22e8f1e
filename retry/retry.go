// Package retry decides whether a request is tried again, when and where. The
// decision is pure: time, randomness and the budget come in as arguments.
package retry

import (
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Backoff before the n-th retry: a random time up to base × 2ⁿ, and no more
// than the most.
const (
	BackoffBase = 10 * time.Millisecond
	BackoffMost = 250 * time.Millisecond
	// MaxAttempts bounds the attempts at one request that cost budget.
	MaxAttempts = 4
)

// Action is what to do after an attempt.
type Action uint8

// Actions.
const (
	// Stop: the verdict is final.
	Stop Action = iota + 1
	// Reroute: wait until another owner, fence or lessor is known, or the
	// present one can be reached again, and only then try. The buffer bounds
	// it, and nobody is asked twice for nothing, so it costs no budget.
	Reroute
	// Again: try after the wait, at another server where there is a choice.
	Again
)

// Attempt describes an attempt and its request.
type Attempt struct {
	Verdict    outcome.Verdict
	Keyed      bool // one server alone may serve it
	Idempotent bool // may run more than once
	Replayable bool // its body can be sent again
	Canceled   bool // the caller went away
	Forwarded  bool // it came from another entry node, which decides on retries
	Settled    bool // another node has already waited for the owner
	Hop        int  // services through which the request came
	Attempts   int  // made so far, this one included
	Deadline   time.Time
	Busy       time.Duration // expected time of an attempt; 0 when not known
}

// Decision is what to do and after how long.
type Decision struct {
	Action Action
	Wait   time.Duration // before Again
}

// Decide returns what to do after an attempt. take draws one retry from the
// budget; uniform returns a random number in [0,1).
func Decide(now time.Time, a Attempt, take func() bool, uniform func() float64) Decision {
	if a.Canceled || !a.Replayable || !repeatable(a) {
		return Decision{Action: Stop}
	}
	if reroutes(a) {
		return Decision{Action: Reroute}
	}
	if a.Forwarded || a.Hop > 0 || a.Attempts >= MaxAttempts || final(a) {
		return Decision{Action: Stop}
	}
	wait := Backoff(a.Attempts-1, uniform())
	if !now.Add(wait + a.Busy).Before(a.Deadline) {
		return Decision{Action: Stop}
	}
	if !take() {
		return Decision{Action: Stop}
	}
	return Decision{Action: Again, Wait: wait}
}

// Backoff is the wait before the n-th retry, counted from 0, for a random
// number in [0,1).
func Backoff(n int, uniform float64) time.Duration {
	most := BackoffMost
	if n < 8 {
		most = min(BackoffBase<<n, BackoffMost)
	}
	return time.Duration(uniform * float64(most))
}

// repeatable reports whether another attempt cannot make the request run twice
// when it must not.
func repeatable(a Attempt) bool {
	switch a.Verdict.Outcome {
	case serverapi.OutcomeNotRun:
		return true
	case serverapi.OutcomeUnknown:
		return a.Idempotent && a.Verdict.Reason != callerapi.ReasonCanceled
	}
	return false
}

// reroutes reports whether the attempt went to the wrong place, or to one that
// cannot be reached and that alone could serve it.
func reroutes(a Attempt) bool {
	if a.Verdict.Outcome != serverapi.OutcomeNotRun || a.Settled {
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

// final reports whether trying again cannot help, or would add load where there
// is too much of it.
func final(a Attempt) bool {
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
		return a.Settled || a.Keyed
	}
	return false
}
