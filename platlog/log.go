// Package platlog is the interface to the platform's append-only log service,
// the only place where anything is agreed or kept. Drivers live in
// modules/log*; the contract that every driver must meet is tested by
// platlog/logtest.
package platlog

import (
	"context"
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Entry is one record at its offset.
type Entry struct {
	Offset topo.Offset
	Data   []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Entries in ascending offset order without gaps, starting at the offset
	// that was asked for. Empty when the reader is at the end.
	Entries []Entry
	// First is the lowest offset still retained.
	First topo.Offset
	// End is the offset that the next append will get, as known to the log
	// when it answered. A read begun at time t that returned End proves that
	// no record at End or beyond existed at t.
	End topo.Offset
}

// ReadRequest says what to read.
type ReadRequest struct {
	From topo.Offset   // first offset wanted; 0 and 1 both mean the beginning
	Max  int           // most entries to return; 0 means the driver's default
	Wait time.Duration // how long the log may hold the read open at the end
}

// Log appends to and reads from one stream of the platform's log. Methods may
// be called concurrently. Every method returns one of the typed errors below,
// or the context's error.
type Log interface {
	// Append adds a record and returns its offset. On *UnavailableError the
	// record was not appended. On *UncertainError it may have been: the caller
	// must read forward to learn its fate and never append it again blindly.
	Append(ctx context.Context, data []byte) (topo.Offset, error)
	// Read returns entries from an offset on. On *TruncatedError the offset is
	// older than the retention limit.
	Read(ctx context.Context, req ReadRequest) (Batch, error)
}

// UnavailableError reports that the log could not be reached or refused; for
// an append it proves that nothing was appended.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("log %s: unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError reports an append whose answer was lost: it may or may not
// have taken effect.
type UncertainError struct{ Cause error }

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("log append: answer lost, may have taken effect: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// TruncatedError reports a read below the retention limit.
type TruncatedError struct {
	From  topo.Offset // what was asked for
	First topo.Offset // lowest offset still retained
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log read: offset %d is gone, first retained is %d", e.From, e.First)
}
