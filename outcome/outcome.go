// Package outcome maps the results of a request's attempts to the outcome that
// is reported to the caller. "Not run" is reported only when it is proven: nothing
// was sent, or the owner itself reported it, and no earlier attempt may have run.
// The functions of the package have no side effects.
package outcome

import (
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Verdict is the known outcome of one attempt or of a whole request.
type Verdict struct {
	Outcome serverapi.Outcome
	Reason  serverapi.Reason
	// RetryAfter is the retry delay; 0 when a retry does not help.
	RetryAfter time.Duration
}

// Answered returns the verdict on a complete answer of the owner.
func Answered() Verdict { return Verdict{Outcome: serverapi.OutcomeAnswered} }

// NotRun returns the verdict on a request that is proven not to have run.
func NotRun(reason serverapi.Reason) Verdict {
	return Verdict{Outcome: serverapi.OutcomeNotRun, Reason: reason}
}

// Unknown returns the verdict on a request that may have run.
func Unknown(reason serverapi.Reason) Verdict {
	return Verdict{Outcome: serverapi.OutcomeUnknown, Reason: reason}
}

// WithRetryAfter returns the verdict with a retry delay.
func (v Verdict) WithRetryAfter(wait time.Duration) Verdict {
	v.RetryAfter = wait
	return v
}

// NotRunProven reports whether the request did not run.
func (v Verdict) NotRunProven() bool { return v.Outcome == serverapi.OutcomeNotRun }

// FromHeaders returns the verdict for the outcome and reason headers of an answer. An
// empty outcome means answered; an unrecognized outcome means unknown.
func FromHeaders(outcome serverapi.Outcome, reason serverapi.Reason) Verdict {
	switch outcome {
	case "", serverapi.OutcomeAnswered:
		return Answered()
	case serverapi.OutcomeNotRun:
		return NotRun(reason)
	}
	return Unknown(reason)
}

// Failure describes an attempt that ended without an answer.
type Failure struct {
	Sent     bool // false only if it is proven that no byte of the request left
	Stalled  bool // the connection made no progress
	Canceled bool // the caller canceled the request
	Deadline bool // the deadline passed
}

// Failed returns the verdict on an attempt that ended without an answer.
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
	case f.Stalled && f.Sent:
		return callerapi.ReasonUnresponsive
	case f.Sent:
		return callerapi.ReasonNoAnswer
	}
	return callerapi.ReasonNotSent
}

// Tally combines the verdicts of a request's attempts.
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

// Attempts returns the number of attempts recorded.
func (t *Tally) Attempts() int { return t.attempts }

// MayHaveRun reports whether an attempt may have run without an answer.
func (t *Tally) MayHaveRun() bool { return t.uncertain != nil }

// Final returns the verdict for the caller after the last verdict: a complete
// answer is final, and a last attempt that did not run is final only if no
// earlier attempt may have run.
func (t *Tally) Final(last Verdict) Verdict {
	if didNotRun(last) && t.uncertain != nil {
		return t.uncertain.WithRetryAfter(last.RetryAfter)
	}
	return last
}

// didNotRun reports whether an attempt itself did not run. A stale ticket may
// have run in an earlier use, which makes the request's outcome unknown, but not
// in the attempt that is refused because of it. A caller that uses a ticket for
// the first time may rely on that.
func didNotRun(v Verdict) bool {
	return v.Outcome == serverapi.OutcomeNotRun || v.Reason == serverapi.ReasonStaleTicket
}

// notRunStatus maps the reasons of requests that did not run to their statuses;
// all other reasons have 503.
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

// unknownStatus maps the reasons of requests that may have run to their
// statuses; all other reasons have 502.
var unknownStatus = map[serverapi.Reason]int{
	callerapi.ReasonUnresponsive:  http.StatusGatewayTimeout,
	serverapi.ReasonDeadline:      http.StatusGatewayTimeout,
	serverapi.ReasonStaleTicket:   http.StatusConflict,
	serverapi.ReasonDuplicate:     http.StatusConflict,
	serverapi.ReasonAnswerGone:    http.StatusConflict,
	serverapi.ReasonOwnershipLost: http.StatusConflict,
}

// Status returns the HTTP status of an answer that an entry node generates
// itself.
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
