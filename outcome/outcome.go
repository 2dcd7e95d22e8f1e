// Package outcome maps what became of the attempts at a request to what the
// caller is told. "Not run" is said only where it is proven: nothing was sent,
// or the owner itself said so, and no earlier attempt may have run. The package
// is pure.
package outcome

import (
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Verdict is what is known of one attempt, or of a whole request.
type Verdict struct {
	Outcome serverapi.Outcome
	Reason  serverapi.Reason
	// RetryAfter is when to come back; 0 when coming back does not help.
	RetryAfter time.Duration
}

// Answered is the verdict on a whole answer of the owner.
func Answered() Verdict { return Verdict{Outcome: serverapi.OutcomeAnswered} }

// NotRun is the verdict on a request that is proven not to have run.
func NotRun(reason serverapi.Reason) Verdict {
	return Verdict{Outcome: serverapi.OutcomeNotRun, Reason: reason}
}

// Unknown is the verdict on a request that may have run.
func Unknown(reason serverapi.Reason) Verdict {
	return Verdict{Outcome: serverapi.OutcomeUnknown, Reason: reason}
}

// Later returns the verdict with a time to come back.
func (v Verdict) Later(wait time.Duration) Verdict {
	v.RetryAfter = wait
	return v
}

// NotRunProven reports whether the request did not run.
func (v Verdict) NotRunProven() bool { return v.Outcome == serverapi.OutcomeNotRun }

// Said reads the outcome and reason headers of an answer. No outcome means
// answered; one that is not known means unknown.
func Said(outcome serverapi.Outcome, reason serverapi.Reason) Verdict {
	switch outcome {
	case "", serverapi.OutcomeAnswered:
		return Answered()
	case serverapi.OutcomeNotRun:
		return NotRun(reason)
	}
	return Unknown(reason)
}

// Failure describes an attempt that brought no answer.
type Failure struct {
	Sent     bool // false only if it is proven that no byte of the request left
	Silent   bool // the connection made no progress
	Canceled bool // the caller went away
	Deadline bool // the deadline passed
}

// Failed is the verdict on an attempt that brought no answer.
func Failed(f Failure) Verdict {
	reason := f.reason()
	if f.Sent {
		return Unknown(reason)
	}
	return NotRun(reason)
}

func (f Failure) reason() serverapi.Reason {
	switch {
	case f.Canceled:
		return callerapi.ReasonCanceled
	case f.Deadline:
		return serverapi.ReasonDeadline
	case f.Silent && f.Sent:
		return callerapi.ReasonSilent
	case f.Sent:
		return callerapi.ReasonNoAnswer
	}
	return callerapi.ReasonNotSent
}

// Tally joins the verdicts of a request's attempts.
type Tally struct {
	attempts  int
	uncertain *Verdict // first attempt that may have run
}

// Add records one attempt.
func (t *Tally) Add(v Verdict) {
	t.attempts++
	if v.Outcome == serverapi.OutcomeUnknown && t.uncertain == nil {
		t.uncertain = &v
	}
}

// Attempts is the number of attempts recorded.
func (t *Tally) Attempts() int { return t.attempts }

// MayHaveRun reports whether an attempt may have run without an answer.
func (t *Tally) MayHaveRun() bool { return t.uncertain != nil }

// Final is what the caller is told when last is the last thing known: a whole
// answer stands, and a last attempt that ran nothing stands only if no earlier
// attempt may have run.
func (t *Tally) Final(last Verdict) Verdict {
	if ranNothing(last) && t.uncertain != nil {
		return t.uncertain.Later(last.RetryAfter)
	}
	return last
}

// ranNothing reports whether an attempt ran nothing itself. A stale ticket may
// have run in an earlier use, which makes the request's outcome unknown, but not
// in the attempt that is refused for it: a caller that uses a ticket for the
// first time may rely on that.
func ranNothing(v Verdict) bool {
	return v.Outcome == serverapi.OutcomeNotRun || v.Reason == serverapi.ReasonStaleTicket
}

// notRunStatus lists the statuses of requests that did not run; the others have
// 503.
var notRunStatus = map[serverapi.Reason]int{
	callerapi.ReasonNoSuchPath:       http.StatusNotFound,
	callerapi.ReasonUnknownService:   http.StatusNotFound,
	callerapi.ReasonMissingKey:       http.StatusBadRequest,
	callerapi.ReasonUnexpectedKey:    http.StatusBadRequest,
	callerapi.ReasonBadKey:           http.StatusBadRequest,
	callerapi.ReasonBadPath:          http.StatusBadRequest,
	callerapi.ReasonBadDeadline:      http.StatusBadRequest,
	callerapi.ReasonBadHop:           http.StatusBadRequest,
	callerapi.ReasonTooManyHops:      http.StatusBadRequest,
	callerapi.ReasonBadCaller:        http.StatusBadRequest,
	callerapi.ReasonBadTicket:        http.StatusBadRequest,
	callerapi.ReasonBodyUnreadable:   http.StatusBadRequest,
	serverapi.ReasonBadRequest:       http.StatusBadRequest,
	callerapi.ReasonMethodNotAllowed: http.StatusMethodNotAllowed,
	callerapi.ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
	callerapi.ReasonTicketRequired:   http.StatusPreconditionRequired,
	callerapi.ReasonQueueFull:        http.StatusTooManyRequests,
	callerapi.ReasonBusy:             http.StatusTooManyRequests,
	callerapi.ReasonTooLate:          http.StatusGatewayTimeout,
	serverapi.ReasonDeadline:         http.StatusGatewayTimeout,
}

// unknownStatus lists the statuses of requests that may have run; the others
// have 502.
var unknownStatus = map[serverapi.Reason]int{
	callerapi.ReasonSilent:        http.StatusGatewayTimeout,
	serverapi.ReasonDeadline:      http.StatusGatewayTimeout,
	serverapi.ReasonStaleTicket:   http.StatusConflict,
	serverapi.ReasonDuplicate:     http.StatusConflict,
	serverapi.ReasonAnswerGone:    http.StatusConflict,
	serverapi.ReasonOwnershipLost: http.StatusConflict,
}

// Status is the HTTP status of an answer that an entry node gives itself.
func (v Verdict) Status() int {
	statuses, status := notRunStatus, http.StatusServiceUnavailable
	if v.Outcome != serverapi.OutcomeNotRun {
		statuses, status = unknownStatus, http.StatusBadGateway
	}
	if listed, exists := statuses[v.Reason]; exists {
		return listed
	}
	return status
}
