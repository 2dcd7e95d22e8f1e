package duty

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// pendingAppend is an append whose fate is not known yet.
type pendingAppend struct {
	record          store.Record
	change          *ranges.Change // nil for a heartbeat or claim
	claim           *ranges.Table  // not nil for a claim
	previousHold    time.Duration  // for a claim: how long the former lessor's grants may be in force
	uncertainHold   time.Duration  // for a claim and with resigns: the same of grants without an answer
	previousLessor  ranges.Lessor  // for a claim: the lessor before it, if that has not resigned
	earlierHold     time.Duration  // for a claim: how long grants of lessors before that one may be in force
	resigns         bool           // it gives the lease up
	outstandingHold time.Duration  // with resigns: how long what was granted may be in force
	offset          store.Offset
	// startedAt is the start of the first try.
	startedAt time.Time
}

type appendResult struct {
	pending        *pendingAppend
	startedAt      time.Time
	err            error
	alreadyApplied bool // after a conflict: the record at the offset is this append's
}

func (d *Duty) append(ctx context.Context, p *pendingAppend) {
	d.serial++
	record, err := p.encode(d.Self, d.serial, d.previousHold(p, clock.Now()))
	if err != nil {
		eventEncodeFailed.Log(d.Logger, "cause", err)
		return
	}
	p.record = record
	p.offset = d.topicEnd
	d.appending = p
	go d.sendAppend(ctx, p)
}

// previousHold returns for how long grants of former lessors may be in force, for a record.
func (d *Duty) previousHold(p *pendingAppend, now time.Time) time.Duration {
	if p.claim != nil {
		return p.previousHold
	}
	return d.allocator.FormerHeld(now)
}

func (p *pendingAppend) encode(self ranges.Lessor, serial uint64, previousHold time.Duration) (store.Record, error) {
	previousMs := follow.RoundUp(previousHold)
	table := p.claim
	if p.change != nil {
		table = p.change.Table
	}
	if table != nil {
		table.Serial = serial
		table.FormerMs = &previousMs
		text, err := json.Marshal(table)
		return store.Record{Key: follow.TableKey, Value: text}, err
	}
	heartbeat := follow.Heartbeat{Boot: self.Boot, Serial: serial, FormerMs: &previousMs, Resigned: p.resigns, HeldMs: follow.RoundUp(p.outstandingHold)}
	if p.resigns {
		uncertainMs := follow.RoundUp(p.uncertainHold)
		heartbeat.DoubtMs = &uncertainMs
	}
	text, err := json.Marshal(heartbeat)
	return store.Record{Key: follow.HeartbeatKey, Value: text}, err
}

// sendAppend appends and, after a conflict, looks whose record stands at the offset:
// an earlier try whose answer was lost may have succeeded.
func (d *Duty) sendAppend(ctx context.Context, p *pendingAppend) {
	startedAt := clock.Now()
	if p.startedAt.IsZero() {
		p.startedAt = startedAt
	}
	err := d.Store.AppendAt(ctx, store.Ownership, p.offset, p.record)
	result := appendResult{pending: p, startedAt: startedAt, err: err}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		batch, readErr := d.Store.Read(ctx, store.Ownership, p.offset, 0)
		if readErr != nil {
			result.err = readErr
		} else if len(batch.Records) > 0 {
			first := batch.Records[0]
			result.alreadyApplied = first.Key == p.record.Key && string(first.Value) == string(p.record.Value)
			// Which try took effect is not known, and others may have claimed since.
			result.startedAt = p.startedAt
		}
	}
	d.appendResults <- result
}
