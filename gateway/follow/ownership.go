package follow

import (
	"encoding/json"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Keys of the ownership topic.
const (
	TableKey      = "table"
	HeartbeatKey  = "heartbeat"
	QuarantineKey = "quarantine"
)

// QuarantineRecord is the record by which the lessor publishes the quarantined requests.
type QuarantineRecord struct {
	Boot     string          `json:"boot"`
	Serial   uint64          `json:"serial"`
	Era      *store.Era      `json:"era,omitempty"` // see ranges.Table
	Requests quarantine.List `json:"requests"`
}

// Heartbeat is the record by which the lessor renews its lease.
type Heartbeat struct {
	Boot     string     `json:"boot"`
	Serial   uint64     `json:"serial"`
	Era      *store.Era `json:"era,omitempty"`      // see ranges.Table
	Resigned bool       `json:"resigned,omitempty"` // the lessor has stopped granting
	// HeldMs is how long outstanding grants may be in force after a resignation, in
	// milliseconds.
	HeldMs int64 `json:"heldMs,omitempty"`
	// UncertainMs is the same for grants without a response; nil if not reported.
	UncertainMs *int64 `json:"doubtMs,omitempty"`
	// PreviousMs is how long grants of previous lessors may be in force, in milliseconds;
	// nil if not reported.
	PreviousMs *int64 `json:"formerMs,omitempty"`
}

// Ownership is the state of the ownership topic as of an offset. Its fields are consistent
// with each other: a claim at End that is based on an older table would assign ranges to
// owners that have lost them.
type Ownership struct {
	Known    bool         // every record before End is included
	End      store.Offset // end of the topic
	Table    view.Table   // the newest; Table.Table is nil before the first
	Resigned bool         // the lessor has resigned
	// Held is how long the lessor's outstanding grants may be in force after the record of
	// its resignation.
	Held      time.Duration
	Uncertain time.Duration // the same for grants without a response
	// PreviousHeld is how long after the newest record the grants of previous lessors may
	// be in force. KnowsPrevious reports whether that record contains it.
	PreviousHeld  time.Duration
	KnowsPrevious bool
	previousAt    store.Offset // offset of that record
	ReadAt        time.Time    // time of the latest read of the topic
	EraObservedAt time.Time    // when the era of End was first observed
	EraHasRisen   bool         // an earlier era was observed before
	EndObservedAt time.Time    // when End was first observed
	Quarantine    view.Quarantine

	unreadable bool // the newest table is invalid
}

// OwnershipOf returns the state of the ownership topic that a snapshot contains.
func OwnershipOf(snapshot store.Batch, now time.Time) Ownership {
	var o Ownership
	o.fold(snapshot, now)
	return o
}

// RecordError reports an invalid record.
type RecordError struct {
	Key    string
	Offset store.Offset
	Cause  error
}

// Error implements error.
func (e *RecordError) Error() string {
	return "invalid record of key " + e.Key + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// fold applies a batch of records, which is a snapshot or continues the previous read, and
// returns an error for each invalid record.
func (o *Ownership) fold(batch store.Batch, now time.Time) []*RecordError {
	var problems []*RecordError
	for _, record := range batch.Records {
		if err := o.apply(record); err != nil {
			problems = append(problems, &RecordError{Key: record.Key, Offset: record.Offset, Cause: err})
		}
	}
	if o.EndObservedAt.IsZero() || batch.End != o.End {
		o.EndObservedAt = now
	}
	if o.ReadAt.IsZero() || batch.End.Era() > o.End.Era() {
		o.EraHasRisen = !o.ReadAt.IsZero()
		o.EraObservedAt = now
	}
	o.End = batch.End
	o.ReadAt = now
	o.Known = batch.Next == batch.End && !o.unreadable
	return problems
}

// IsFromCopy reports whether the table may not be the newest, because the store has come back from a copy and
// no lessor has written in its present era.
func (o Ownership) IsFromCopy() bool {
	if o.Table.Table == nil {
		return o.EraHasRisen
	}
	return o.Table.Offset.Era() < o.End.Era()
}

// writtenAt returns the offset at which a record was written. In a copy it stands at the same place of a later
// era. Releases that state no era are assumed to have written in the present one.
func writtenAt(record store.Record, era *store.Era) store.Offset {
	if era == nil || *era >= record.Offset.Era() {
		return record.Offset
	}
	return store.At(*era, record.Offset.Place())
}

func (o *Ownership) apply(record store.Record) error {
	switch record.Key {
	case TableKey:
		if record.Offset < o.Table.Offset {
			return nil // pages of a snapshot may overlap
		}
		var table ranges.Table
		err := json.Unmarshal(record.Value, &table)
		o.unreadable = err != nil
		if err != nil {
			return err
		}
		offset := writtenAt(record, table.Era)
		if offset < o.Table.Offset {
			return nil // a copy may be older than what is known
		}
		o.Table = view.Table{Offset: offset, Table: &table}
		o.Resigned = false
		o.applyPrevious(record.Offset, table.PreviousMs)
	case QuarantineKey:
		if record.Offset < o.Quarantine.Offset {
			return nil // pages of a snapshot may overlap
		}
		var published QuarantineRecord
		if err := json.Unmarshal(record.Value, &published); err != nil {
			return err
		}
		offset := writtenAt(record, published.Era)
		if offset < o.Quarantine.Offset {
			return nil // as for tables
		}
		o.Quarantine = view.Quarantine{Offset: offset, List: published.Requests}
	case HeartbeatKey:
		var heartbeat Heartbeat
		if err := json.Unmarshal(record.Value, &heartbeat); err != nil {
			return err
		}
		if writtenAt(record, heartbeat.Era) < record.Offset {
			return nil // another lessor may have followed
		}
		o.Resigned = heartbeat.Resigned
		o.Held = time.Duration(heartbeat.HeldMs) * time.Millisecond
		o.Uncertain = o.Held
		o.applyPrevious(record.Offset, heartbeat.PreviousMs)
		if heartbeat.UncertainMs != nil {
			o.Uncertain = time.Duration(*heartbeat.UncertainMs) * time.Millisecond
		}
	}
	return nil
}

// applyPrevious applies what a record reports about the lessors before its writer. In a
// snapshot, the record with the highest offset takes precedence.
func (o *Ownership) applyPrevious(at store.Offset, previousMs *int64) {
	if at < o.previousAt {
		return
	}
	o.previousAt = at
	o.KnowsPrevious = previousMs != nil
	if previousMs != nil {
		o.PreviousHeld = time.Duration(*previousMs) * time.Millisecond
	}
}
