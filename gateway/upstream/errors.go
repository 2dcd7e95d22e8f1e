package upstream

import (
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// AttemptError reports an attempt without a usable answer.
type AttemptError struct {
	Server site.ServerID
	// Sent tells that bytes of the request may have reached the server, so that
	// it may have run.
	Sent bool
	// AcknowledgedAt is by when the server's machine had acknowledged all bytes of the
	// request, or had ended the connection, by package clock. Zero: it had not, or that is
	// not known; then bytes may wait in this machine's own link and reach the server later.
	AcknowledgedAt time.Time
	// TurnedAway tells that the server took a new connection and ended it at once, as
	// servers do that have as many as they take: it lives, and is full.
	TurnedAway bool
	Cause      error
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

// MismatchError reports an answer that belongs to another request.
type MismatchError struct{ Want, Got string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not to %q", e.Got, e.Want)
}

// TooLongError reports an answer that is longer than a node keeps in memory.
type TooLongError struct{ Most int }

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("answer is longer than %d bytes", e.Most) }

// UnacceptedError reports a new connection that the server's machine has taken and its
// process has not answered on yet.
type UnacceptedError struct{}

// Error implements error.
func (*UnacceptedError) Error() string { return "the server has not accepted the connection yet" }

// NotOpenedError reports a call that was given up before it had a connection.
type NotOpenedError struct{ Cause error }

// Error implements error.
func (e *NotOpenedError) Error() string { return fmt.Sprintf("no connection was opened: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotOpenedError) Unwrap() error { return e.Cause }

// NotKeptError reports a server that ends each connection with its answer.
type NotKeptError struct{}

// Error implements error.
func (*NotKeptError) Error() string { return "the server keeps no connection" }
