// Package follower keeps this process's state up to date from the log, or from
// peers while the log is unavailable. It appends records and determines their
// outcomes by reading them back. Its module is modules/follower.
package follower

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Outcome is the result of a submitted record, determined by applying it.
type Outcome struct {
	Offset topo.Offset
	// Accepted is false when the record's expectation failed and it changed
	// nothing. For AssignShards it is true when any assignment took effect; see
	// RejectedShards.
	Accepted bool
	// RejectedShards lists the indexes of assignments that did not take effect.
	RejectedShards []int
	// Conflict describes why a record that was not accepted had no effect.
	Conflict string
}

// Appender submits records. Submit returns when the record was read back from
// the log at its offset and applied, when it was certainly never appended, or
// when ctx ends (then the error is an *UnknownOutcomeError). Submit sets the
// record's writer and sequence.
type Appender interface {
	Submit(ctx context.Context, record *bspb.Record) (Outcome, error)
}

// Contact reports how recent this process's contact with the log is.
type Contact interface {
	// LastContact returns the start time of the latest log read that reached the
	// end of the log and whose records have all been applied, or the zero time
	// if there was none.
	LastContact() time.Time
	// Failing reports whether the latest completed log read failed.
	Failing() bool
}
