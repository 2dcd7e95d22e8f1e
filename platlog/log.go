// Package platlog defines the interface to the platform's append-only log
// service, the only means of agreement and durable storage. Drivers are in
// modules/log*; platlog/logtest tests the contract that every driver must meet.
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

// Batch is the result of one read.
type Batch struct {
	// Entries are in ascending offset order without gaps, starting at the
	// requested offset. Empty if the reader is at the end.
	Entries []Entry
	// First is the lowest offset still retained.
	First topo.Offset
	// End is the offset of the next append, as known to the log when it
	// responded. A read that started at time t and returned End proves that no
	// record at End or beyond existed at t.
	End topo.Offset
}

// ReadRequest describes one read.
type ReadRequest struct {
	From topo.Offset   // first offset to read; 0 and 1 both mean the beginning
	Max  int           // maximum number of entries; 0 means the driver's default
	Wait time.Duration // maximum time that a read at the end waits for a record
}

// Log appends to and reads from one stream of the platform's log. Its methods are
// safe for concurrent use. Every method returns one of the typed errors below, or
// the context's error.
type Log interface {
	// Append adds a record and returns its offset. On *UnavailableError the
	// record was not appended. On *UncertainError it may have been: the caller
	// must read forward to determine the outcome and must not append the record
	// again before that.
	Append(ctx context.Context, data []byte) (topo.Offset, error)
	// Read returns entries starting at an offset. It returns *TruncatedError if
	// the offset is older than the retention limit.
	Read(ctx context.Context, req ReadRequest) (Batch, error)
}

// UnavailableError reports that the log was unreachable or refused the call. For
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

// UncertainError reports an append whose response was lost: it may or may not
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
	From  topo.Offset // requested offset
	First topo.Offset // lowest offset still retained
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log read: offset %d is gone, first retained is %d", e.From, e.First)
}
