package follow

import (
	"encoding/json"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Keys of the ownership topic.
const (
	TableKey     = "table"
	HeartbeatKey = "heartbeat"
)

// Heartbeat is the lessor's record that its lease goes on.
type Heartbeat struct {
	Boot     string `json:"boot"`
	Serial   uint64 `json:"serial"`
	Resigned bool   `json:"resigned,omitempty"` // it grants nothing any more
	// HeldMs is, with Resigned, for how long what it granted may be in force.
	HeldMs int64 `json:"heldMs,omitempty"`
	// DoubtMs is the same of those grants that had no answer; nil: not told.
	DoubtMs *int64 `json:"doubtMs,omitempty"`
	// FormerMs is for how long grants of lessors before this one may be in force; nil: not
	// told.
	FormerMs *int64 `json:"formerMs,omitempty"`
}

// Ownership is the state of the ownership topic as of an offset. Its parts belong
// together: a claim at End that rests on an older table would give ranges to
// owners that they were taken from.
type Ownership struct {
	Known    bool         // every record before End is in it
	End      store.Offset // of the topic
	Table    view.Table   // the newest; without a table before the first
	Resigned bool         // the lessor gave its lease up
	// Held is, with Resigned, for how long what the lessor granted may be in force
	// after that record.
	Held  time.Duration
	Doubt time.Duration // the same of grants without an answer
	// FormerHeld is for how long after the newest record grants of lessors before the
	// present one may be in force; KnowsFormer: the record tells it.
	FormerHeld  time.Duration
	KnowsFormer bool
	formerAt    store.Offset // of that record
	ReadAt      time.Time    // when the topic was read last
	MovedAt     time.Time    // when End was first seen

	unreadable bool // the newest table cannot be understood
}

// RecordError reports a record that cannot be understood.
type RecordError struct {
	Key    string
	Offset store.Offset
	Cause  error
}

// Error implements error.
func (e *RecordError) Error() string { return "record of key " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// fold takes a batch of records, which follows what was read before or is a
// snapshot, and returns those that cannot be understood.
func (o *Ownership) fold(batch store.Batch, now time.Time) []*RecordError {
	var problems []*RecordError
	for _, record := range batch.Records {
		if err := o.take(record); err != nil {
			problems = append(problems, &RecordError{Key: record.Key, Offset: record.Offset, Cause: err})
		}
	}
	if o.MovedAt.IsZero() || batch.End != o.End {
		o.MovedAt = now
	}
	o.End = batch.End
	o.ReadAt = now
	o.Known = batch.Next == batch.End && !o.unreadable
	return problems
}

func (o *Ownership) take(record store.Record) error {
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
		o.Table = view.Table{Offset: record.Offset, Table: &table}
		o.Resigned = false
		o.takeFormer(record.Offset, table.FormerMs)
	case HeartbeatKey:
		var beat Heartbeat
		if err := json.Unmarshal(record.Value, &beat); err != nil {
			return err
		}
		o.Resigned = beat.Resigned
		o.Held = time.Duration(beat.HeldMs) * time.Millisecond
		o.Doubt = o.Held
		o.takeFormer(record.Offset, beat.FormerMs)
		if beat.DoubtMs != nil {
			o.Doubt = time.Duration(*beat.DoubtMs) * time.Millisecond
		}
	}
	return nil
}

// takeFormer takes what a record tells of the lessors before the one that wrote it. Of a
// snapshot's records the newest counts.
func (o *Ownership) takeFormer(at store.Offset, told *int64) {
	if at < o.formerAt {
		return
	}
	o.formerAt = at
	o.KnowsFormer = told != nil
	if told != nil {
		o.FormerHeld = time.Duration(*told) * time.Millisecond
	}
}
