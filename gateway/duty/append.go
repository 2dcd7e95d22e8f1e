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
	record  store.Record
	change  *ranges.Change // nil for a heartbeat or claim
	claim   *ranges.Table  // not nil for a claim
	former  time.Duration  // for a claim: how long the former lessor's grants may be in force
	doubt   time.Duration  // for a claim and with resigns: the same of grants without an answer
	after   ranges.Lessor  // for a claim: the lessor before it, if that has not resigned
	before  time.Duration  // for a claim: how long grants of lessors before that one may be in force
	resigns bool           // it gives the lease up
	held    time.Duration  // with resigns: how long what was granted may be in force
	at      store.Offset
	// startedAt is the start of the first try.
	startedAt time.Time
}

type appendResult struct {
	pending   *pendingAppend
	startedAt time.Time
	err       error
	mine      bool // after a conflict: the record at the offset is this append's
}

func (d *Duty) append(ctx context.Context, p *pendingAppend) {
	d.serial++
	record, err := p.encode(d.Self, d.serial, d.formerHeld(p, clock.Now()))
	if err != nil {
		eventBadTable.Log(d.Logger, "cause", err)
		return
	}
	p.record = record
	p.at = d.end
	d.appending = p
	go d.send(ctx, p)
}

// formerHeld returns for how long grants of former lessors may be in force, for a record.
func (d *Duty) formerHeld(p *pendingAppend, now time.Time) time.Duration {
	if p.claim != nil {
		return p.former
	}
	return d.allocator.FormerHeld(now)
}

func (p *pendingAppend) encode(self ranges.Lessor, serial uint64, formerHeld time.Duration) (store.Record, error) {
	former := follow.RoundUp(formerHeld)
	table := p.claim
	if p.change != nil {
		table = p.change.Table
	}
	if table != nil {
		table.Serial = serial
		table.FormerMs = &former
		text, err := json.Marshal(table)
		return store.Record{Key: follow.TableKey, Value: text}, err
	}
	beat := follow.Heartbeat{Boot: self.Boot, Serial: serial, FormerMs: &former, Resigned: p.resigns, HeldMs: follow.RoundUp(p.held)}
	if p.resigns {
		doubt := follow.RoundUp(p.doubt)
		beat.DoubtMs = &doubt
	}
	text, err := json.Marshal(beat)
	return store.Record{Key: follow.HeartbeatKey, Value: text}, err
}

// send appends and, after a conflict, looks whose record stands at the offset:
// an earlier try whose answer was lost may have succeeded.
func (d *Duty) send(ctx context.Context, p *pendingAppend) {
	startedAt := clock.Now()
	if p.startedAt.IsZero() {
		p.startedAt = startedAt
	}
	err := d.Store.AppendAt(ctx, store.Ownership, p.at, p.record)
	result := appendResult{pending: p, startedAt: startedAt, err: err}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		batch, readErr := d.Store.Read(ctx, store.Ownership, p.at, 0)
		if readErr != nil {
			result.err = readErr
		} else if len(batch.Records) > 0 {
			first := batch.Records[0]
			result.mine = first.Key == p.record.Key && string(first.Value) == string(p.record.Value)
			// Which try took effect is not known, and others may have claimed since.
			result.startedAt = p.startedAt
		}
	}
	d.appended <- result
}
