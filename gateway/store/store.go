// Package store defines the interface to the platform's store: topics of keyed records,
// each in a total order, with appends that are conditional on an offset. State that must
// outlast the nodes is kept only in the store.
package store

import (
	"context"
	"fmt"
	"time"
)

// Offset is the position of a record in its topic: the era of the store, and the place in the topic. Offsets of
// a later era are above all of earlier ones, so that comparing two tells which record is newer.
type Offset int64

// Topic names a topic that gateway nodes read or write.
type Topic string

// The topics of a gateway.
const (
	// Configurations holds the configurations that the operator publishes.
	Configurations Topic = "configurations"
	// Servers holds the registrations of backend servers.
	Servers Topic = "servers"
	// Ownership holds the lessor's lease and the table of ranges. Only gateway nodes write
	// it, and each append is conditional on the offset.
	Ownership Topic = "ownership"
)

// Record is a keyed record. A record without a value deletes its key.
type Record struct {
	Offset Offset
	Key    string
	Value  []byte
}

// Batch is the result of a read: records in order, the offset of the next read, and the
// offset after the topic's newest record. If a store returns fewer records than exist, Next
// is less than End.
type Batch struct {
	Records []Record
	Next    Offset
	End     Offset
}

// Store is the platform's store. Errors are *TrimmedError, *ConflictError, *EraError or
// *UnavailableError.
type Store interface {
	// Newest returns the newest record of each key, ordered by offset. The result may
	// combine several pages; reading the records from End on then gives the current state.
	Newest(ctx context.Context, topic Topic) (Batch, error)
	// Read returns the records from an offset on. If there are none, it waits for the first
	// one for at most wait. If the offset is of an era that has ended, the error is a *TrimmedError.
	Read(ctx context.Context, topic Topic, from Offset, wait time.Duration) (Batch, error)
	// AppendAt appends a record if the topic ends at the given offset. If the offset is of an era that has
	// ended, the error is an *EraError.
	AppendAt(ctx context.Context, topic Topic, at Offset, record Record) error
}

// TrimmedError reports that records from the requested offset on have been trimmed.
type TrimmedError struct {
	Topic Topic
	First Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("topic %s: records before offset %d have been trimmed", e.Topic, e.First)
}

// ConflictError reports an append that failed because the topic does not end at the given
// offset.
type ConflictError struct {
	Topic Topic
	End   Offset
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("topic %s ends at offset %d; record not appended", e.Topic, e.End)
}

// UnavailableError reports a call without a usable response.
type UnavailableError struct {
	Topic Topic
	// NotApplied reports that the store rejected the request without effect. Otherwise an
	// append may take effect, possibly later, as long as its condition holds.
	NotApplied bool
	Cause      error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("topic %s: store unavailable: %v", e.Topic, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
