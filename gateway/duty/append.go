package duty

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// pendingAppend is an append whose outcome is not known yet.
type pendingAppend struct {
	record          store.Record
	change          *ranges.Change  // nil for a heartbeat or claim
	claim           *ranges.Table   // not nil for a claim
	previousHold    time.Duration   // for a claim: how long grants of the previous lessor may be in force
	uncertainHold   time.Duration   // for a claim and with resigns: how long grants of uncertain outcome may be in force
	previousLessor  ranges.Lessor   // for a claim: the lessor before it, unless that has resigned
	earlierHold     time.Duration   // for a claim: how long grants of lessors before previousLessor may be in force
	resigns         bool            // the record releases the lease
	outstandingHold time.Duration   // with resigns: how long outstanding grants may be in force
	quarantined     quarantine.List // not nil for a list of quarantined requests
	offset          store.Offset
	// startedAt is the start of the first attempt.
	startedAt time.Time
}

type appendResult struct {
	pending        *pendingAppend
	startedAt      time.Time
	err            error
	alreadyApplied bool // after a conflict: the record at the offset is from this append
	// newEra is the state of the topic in the new era, after an append under an offset of an ended one.
	newEra *follow.Ownership
}

func (d *Duty) append(ctx context.Context, p *pendingAppend) {
	d.serial++
	p.offset = d.topicEnd
	record, err := p.encode(d.Self, d.serial, d.previousHold(p, clock.Now()))
	if err != nil {
		eventEncodeFailed.Log(d.Logger, "cause", err)
		return
	}
	p.record = record
	d.appending = p
	go d.sendAppend(ctx, p)
}

// previousHold returns how long grants of previous lessors may be in force, for the next
// record.
func (d *Duty) previousHold(p *pendingAppend, now time.Time) time.Duration {
	if p.claim != nil {
		return p.previousHold
	}
	return d.allocator.PreviousHeldFor(now)
}

func (p *pendingAppend) encode(self ranges.Lessor, serial uint64, previousHold time.Duration) (store.Record, error) {
	previousMs := follow.RoundUp(previousHold)
	era := p.offset.Era()
	table := p.claim
	if p.change != nil {
		table = p.change.Table
	}
	if table != nil {
		table.Serial = serial
		table.Era = &era
		table.PreviousMs = &previousMs
		text, err := json.Marshal(table)
		return store.Record{Key: follow.TableKey, Value: text}, err
	}
	if p.quarantined != nil {
		text, err := json.Marshal(follow.QuarantineRecord{Boot: self.Boot, Serial: serial, Era: &era, Requests: p.quarantined})
		return store.Record{Key: follow.QuarantineKey, Value: text}, err
	}
	heartbeat := follow.Heartbeat{Boot: self.Boot, Serial: serial, Era: &era, PreviousMs: &previousMs, Resigned: p.resigns, HeldMs: follow.RoundUp(p.outstandingHold)}
	if p.resigns {
		uncertainMs := follow.RoundUp(p.uncertainHold)
		heartbeat.UncertainMs = &uncertainMs
	}
	text, err := json.Marshal(heartbeat)
	return store.Record{Key: follow.HeartbeatKey, Value: text}, err
}

// sendAppend appends the record. After a conflict it compares the record at the offset with
// its own, because an earlier attempt whose response was lost may have succeeded.
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
			// It is unknown which attempt took effect, and another node may have claimed
			// since the first one.
			result.startedAt = p.startedAt
		}
	}
	var ended *store.EraError
	if errors.As(err, &ended) {
		newEra, readErr := d.readNewEra(ctx)
		result.newEra = newEra
		if readErr != nil {
			result.err = readErr
		}
	}
	d.appendResults <- result
}
