// Package store is the interface to the platform's store: topics of keyed
// records in one total order each, with appends on the condition of an offset.
// What must outlast the nodes is kept there and nowhere else.
package store

import (
	"context"
	"fmt"
	"time"
)

// Offset numbers the records of a topic from 0, without gaps.
type Offset int64

// Topic is a topic that gateway nodes read or write.
type Topic string

// The topics of a gateway.
const (
	// Configurations holds what the operator publishes.
	Configurations Topic = "configurations"
	// Servers holds what the backend servers register.
	Servers Topic = "servers"
	// Ownership holds the lessor's lease and the table of ranges. Only gateway
	// nodes write it, each append on the condition of the offset.
	Ownership Topic = "ownership"
)

// Record is one keyed record. A record without a value drops its key.
type Record struct {
	Offset Offset
	Key    string
	Value  []byte
}

// Batch is what a read returned: records in order, the offset to read on from,
// and the offset after the topic's newest record. A store may return fewer
// records than there are; then Next is below End.
type Batch struct {
	Records []Record
	Next    Offset
	End     Offset
}

// Store is the platform's store. Errors are *TrimmedError, *ConflictError or
// *UnavailableError.
type Store interface {
	// Newest returns the newest record of each key, by offset. It may be put together from
	// several pages: reading on from End, then the records after it, gives the
	// present state.
	Newest(ctx context.Context, topic Topic) (Batch, error)
	// Read returns the records from an offset on, and waits for the first of
	// them for at most wait.
	Read(ctx context.Context, topic Topic, from Offset, wait time.Duration) (Batch, error)
	// AppendAt appends one record if the topic ends at the offset given.
	AppendAt(ctx context.Context, topic Topic, at Offset, record Record) error
}

// TrimmedError reports that records from the offset asked for are gone.
type TrimmedError struct {
	Topic Topic
	First Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("topic %s: records before offset %d are gone", e.Topic, e.First)
}

// ConflictError reports an append whose topic does not end where it must.
type ConflictError struct {
	Topic Topic
	End   Offset
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("topic %s ends at offset %d, nothing appended", e.Topic, e.End)
}

// UnavailableError reports a call without a usable answer.
type UnavailableError struct {
	Topic Topic
	// NotDone tells that the store answered that it did nothing. Otherwise an
	// append may take effect, also later while its condition holds.
	NotDone bool
	Cause   error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("topic %s: store unavailable: %v", e.Topic, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
