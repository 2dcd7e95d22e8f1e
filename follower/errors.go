package follower

import (
	"fmt"

	"github.com/burdockspindle/burdockspindle/topo"
)

// NotAppendedError reports a submitted record that was certainly not appended.
type NotAppendedError struct{ Cause error }

// Error implements error.
func (e *NotAppendedError) Error() string { return fmt.Sprintf("record not appended: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a submitted record that may or may not take effect.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("record may or may not have been appended: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// QueueFullError reports that too many records wait to be appended.
type QueueFullError struct{ Length int }

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("append queue is full with %d records", e.Length)
}

// StoppedError reports a follower that was stopped or never started.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "follower is not running" }

// NoContactError reports a relay that does not report the age of its contact
// with the log: it has no contact, or runs a release without that field.
type NoContactError struct{ Relay topo.NodeID }

// Error implements error.
func (e *NoContactError) Error() string {
	return fmt.Sprintf("relay %s reports no contact with the log", e.Relay)
}

// GapError reports entries that do not follow the last applied record.
type GapError struct {
	Applied topo.Offset // last record applied
	Got     topo.Offset // first entry received
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("records missing between %d and %d", e.Applied, e.Got)
}

// RewoundError reports a log that ends before a record that was applied from it.
type RewoundError struct {
	Applied topo.Offset
	End     topo.Offset
}

// Error implements error.
func (e *RewoundError) Error() string {
	return fmt.Sprintf("log ends before %d although %d was applied from it", e.End, e.Applied)
}

// SkippedError reports a submitted record that was skipped by restoring a
// checkpoint, a peer's snapshot or a rebase, so that its result is unknown.
type SkippedError struct{ Applied topo.Offset }

// Error implements error.
func (e *SkippedError) Error() string {
	return fmt.Sprintf("result skipped by the checkpoint at %d", e.Applied)
}
