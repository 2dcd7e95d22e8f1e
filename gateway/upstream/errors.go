package upstream

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// AttemptError reports an attempt without a usable answer.
type AttemptError struct {
	Server site.ServerID
	// Sent tells that bytes of the request may have reached the server, so that
	// it may have run.
	Sent bool
	// Unacknowledged is how many bytes of the request the server's machine had not
	// acknowledged when the connection was reset. They may wait in this machine's own
	// link, and reach the server later.
	Unacknowledged int
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
