// Package follower keeps this process's state up to date from the log, or from
// zone peers while the log is away, and appends records whose fate it learns by
// reading forward. Its module is modules/follower.
package follower

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Fate is what became of a submitted record, known by applying it.
type Fate struct {
	Offset topo.Offset
	// Accepted is false when the record's expectation failed and it changed
	// nothing. For AssignShards it is true when any assignment took effect; see
	// RejectedShards.
	Accepted bool
	// RejectedShards are the indexes of assignments that did not take effect.
	RejectedShards []int
	// Conflict says why an unaccepted record had no effect, for people.
	Conflict string
}

// Appender submits records. Submit returns only when the record's fate is
// known: it was read back from the log at its offset and applied, or proven
// never to have been appended, or ctx ended (then the error is an
// *UnknownFateError). The Record's writer and sequence are filled in by Submit.
type Appender interface {
	Submit(ctx context.Context, record *bspb.Record) (Fate, error)
}

// Contact tells how fresh this process's contact with the log is.
type Contact interface {
	// LastContact returns when the latest log read began that returned the end
	// of the log and whose records have all been applied; the zero time when
	// there was none.
	LastContact() time.Time
	// Failing reports whether the latest log read that ended had failed.
	Failing() bool
}
