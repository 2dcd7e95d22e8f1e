package upstream

import (
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// AttemptError reports an attempt without a usable answer.
type AttemptError struct {
	Server site.ServerID
	// Sent reports that bytes of the request may have reached the server, so that
	// it may have run.
	Sent bool
	// AcknowledgedAt is a time, by package clock, by which the server's machine had
	// acknowledged all bytes of the request or had closed the connection. Zero: it had not,
	// or that is unknown, and bytes may still be queued on this machine and arrive later.
	AcknowledgedAt time.Time
	// Rejected reports that the server accepted a new connection and closed it at once, as
	// servers at their connection limit do: it is running, but full.
	Rejected bool
	Cause    error
}

// Error implements error.
func (e *AttemptError) Error() string {
	if e.Sent {
		return fmt.Sprintf("server %s: no answer, the request may have run: %v", e.Server, e.Cause)
	}
	return fmt.Sprintf("server %s: not reached: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// ResetError reports an answer that was to end with its connection, which was reset.
type ResetError struct{ Cause error }

// Error implements error.
func (e *ResetError) Error() string { return fmt.Sprintf("the answer is not complete: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ResetError) Unwrap() error { return e.Cause }

// MismatchError reports an answer to a different request.
type MismatchError struct{ Want, Got string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not to %q", e.Got, e.Want)
}

// UnacceptedError reports a new connection that the server's kernel has accepted and on
// which its process has not answered yet.
type UnacceptedError struct{}

// Error implements error.
func (*UnacceptedError) Error() string { return "the server has not accepted the connection yet" }

// NotOpenedError reports a call that was canceled before it had a connection.
type NotOpenedError struct{ Cause error }

// Error implements error.
func (e *NotOpenedError) Error() string { return fmt.Sprintf("no connection was opened: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotOpenedError) Unwrap() error { return e.Cause }

// NoKeepAliveError reports a server that closes each connection after its answer.
type NoKeepAliveError struct{}

// Error implements error.
func (*NoKeepAliveError) Error() string { return "the server closes each connection after its answer" }
