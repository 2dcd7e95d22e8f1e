package follower

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// applier is the only owner of the state. It handles messages from the inbox.
type applier struct {
	f          *Follower
	state      *state.State
	tracker    checkpoint.Tracker
	ownResults []ownResult
}

// ownResult is the result of applying one of this follower's own records.
type ownResult struct {
	sequence uint64
	result   state.Result
}

// message is an operation that the applier executes.
type message interface {
	apply(a *applier)
}

// runApplier is the applier's goroutine.
func (f *Follower) runApplier(ctx context.Context) {
	a := &applier{f: f, state: state.New()}
	for {
		select {
		case m := <-f.inbox:
			m.apply(a)
		case <-ctx.Done():
			return
		}
	}
}

// send passes a message to the applier. It returns false when ctx ends.
func (f *Follower) send(ctx context.Context, m message) bool {
	select {
	case f.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// call sends a message to the applier and waits for its outcome.
func (f *Follower) call(ctx context.Context, m message, outcome <-chan error) error {
	if !f.send(ctx, m) {
		return ctx.Err()
	}
	select {
	case err := <-outcome:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// entriesMessage carries entries from the log or a peer.
type entriesMessage struct {
	entries []platlog.Entry
	outcome chan<- error
	// log is set for entries read from the log itself, relay for entries read
	// through a relay.
	log   *logResponse
	relay *relayResponse
}

// logResponse is a log read, with the details that prove contact with the log.
type logResponse struct {
	begun time.Time
	from  topo.Offset // first offset requested
	batch platlog.Batch
}

// applyEntries applies entries from a peer.
func (f *Follower) applyEntries(ctx context.Context, entries []platlog.Entry) error {
	outcome := make(chan error, 1)
	return f.call(ctx, &entriesMessage{entries: entries, outcome: outcome}, outcome)
}

// applyBatch applies the result of a log read.
func (f *Follower) applyBatch(ctx context.Context, response logResponse) error {
	outcome := make(chan error, 1)
	return f.call(ctx, &entriesMessage{
		entries: response.batch.Entries,
		outcome: outcome,
		log:     &response,
	}, outcome)
}

// applyRelayed applies a relay's response to a request that was sent at begun.
func (f *Follower) applyRelayed(ctx context.Context, begun time.Time, response *bspb.ReadLogResponse) error {
	outcome := make(chan error, 1)
	return f.call(ctx, &entriesMessage{
		entries: entriesFromProto(response.GetEntries()),
		outcome: outcome,
		relay: &relayResponse{
			begun:   begun,
			applied: topo.Offset(response.GetApplied()),
			age:     time.Duration(response.GetContactAgeMs()) * time.Millisecond,
			known:   response.ContactAgeMs != nil,
		},
	}, outcome)
}

func (m *entriesMessage) apply(a *applier) {
	err := a.applyEntries(m.entries)
	a.publish()
	if m.log != nil && err == nil {
		err = a.noteContact(m.log)
	}
	if m.relay != nil && err == nil {
		a.noteRelayed(m.relay)
	}
	m.outcome <- err
}

// applyEntries applies entries in order. Entries that were already applied are
// skipped, so that the state never moves backwards.
func (a *applier) applyEntries(entries []platlog.Entry) error {
	for _, entry := range entries {
		applied := a.state.Applied()
		if entry.Offset <= applied {
			count(metricDuplicates, 1)
			continue
		}
		if entry.Offset != applied+1 {
			return &GapError{Applied: applied, Got: entry.Offset}
		}
		if err := a.applyEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (a *applier) applyEntry(entry platlog.Entry) error {
	rec, err := record.Decode(entry.Data)
	if err != nil {
		count(metricSkipped, 1)
		eventEntrySkipped.Log(a.f.config.Logger, "offset", entry.Offset, "error", err)
		a.state.Skip(entry.Offset)
		a.f.ring.add(entry)
		return nil
	}
	result := a.state.Apply(entry.Offset, rec)
	if result.Rebase != nil {
		return &rebaseError{offset: entry.Offset, rec: rec}
	}
	count(metricApplied, 1)
	a.f.ring.add(entry)
	a.noteCheckpoint(entry, rec)
	if rec.GetWriter() == a.f.writer {
		a.ownResults = append(a.ownResults, ownResult{rec.GetSequence(), result})
	}
	return nil
}

// noteCheckpoint counts a record towards the next checkpoint, or tracks a
// checkpoint chunk.
func (a *applier) noteCheckpoint(entry platlog.Entry, rec *bspb.Record) {
	chunk := rec.GetCheckpointChunk()
	if chunk == nil {
		a.f.schedule.noteRecord(len(entry.Data))
		return
	}
	if info, complete := a.tracker.Add(entry.Offset, chunk); complete {
		a.f.schedule.noteComplete(info)
	}
}

// publish makes the state visible, and then resolves this follower's records
// that were applied to it.
func (a *applier) publish() {
	view := a.state.View()
	if view.Applied() != a.f.applied() || view.Lineage() != a.f.View().Lineage() {
		a.f.publish(view)
	}
	for _, own := range a.ownResults {
		a.f.outcomes.resolve(own.sequence, own.result)
	}
	a.ownResults = a.ownResults[:0]
}

// noteContact renews contact after a read that was applied up to the end of the
// log. Peers may have sent later records while the read was in flight; an end
// before the requested offset, however, means that the log lost records.
func (a *applier) noteContact(response *logResponse) error {
	applied := a.state.Applied()
	if response.batch.End < response.from {
		return &RewoundError{Applied: applied, End: response.batch.End}
	}
	if response.batch.End > applied+1 {
		return nil
	}
	a.renewContact(response.begun)
	return nil
}

// noteRelayed adopts a relay's contact once this node has applied every record
// that the relay had applied.
func (a *applier) noteRelayed(response *relayResponse) {
	if response.known && a.state.Applied() >= response.applied {
		a.renewContact(contactOf(*response, a.f.config.DriftPPM))
	}
}

func (a *applier) renewContact(at time.Time) {
	previous := a.f.LastContact()
	if !at.After(previous) {
		return
	}
	a.f.renewContact(at)
	if previous.IsZero() {
		eventCaughtUp.Log(a.f.config.Logger, "applied", a.state.Applied())
	}
}

// adoptMessage replaces the state by one with a higher offset, or by a rebased
// one.
type adoptMessage struct {
	state   *state.State
	rebased bool // a Rebase record replaces the state, possibly by one with a lower offset
	outcome chan<- error
}

// adopt replaces the state. Only a rebase may lower the applied offset. A state
// that is not newer, or has a lower lineage, is ignored without an error.
func (f *Follower) adopt(ctx context.Context, next *state.State, rebased bool) error {
	outcome := make(chan error, 1)
	return f.call(ctx, &adoptMessage{state: next, rebased: rebased, outcome: outcome}, outcome)
}

func (m *adoptMessage) apply(a *applier) {
	further := m.state.Applied() > a.state.Applied()
	if !further && !m.rebased || m.state.Lineage() < a.state.Lineage() {
		m.outcome <- nil
		return
	}
	a.state = m.state
	a.tracker = checkpoint.Tracker{}
	a.f.ring.clear()
	count(metricRestores, 1)
	a.publish()
	a.f.outcomes.failThrough(a.state.LastSequence(a.f.writer), &UnknownOutcomeError{Cause: &SkippedError{Applied: a.state.Applied()}})
	m.outcome <- nil
}

// freezeMessage requests an immutable snapshot of the whole state.
type freezeMessage struct {
	reply chan<- state.Frozen
}

func (m *freezeMessage) apply(a *applier) { m.reply <- a.state.Freeze() }

// freeze returns an immutable snapshot of the whole state, or false when ctx
// ends.
func (f *Follower) freeze(ctx context.Context) (state.Frozen, bool) {
	reply := make(chan state.Frozen, 1)
	if !f.send(ctx, &freezeMessage{reply: reply}) {
		return state.Frozen{}, false
	}
	select {
	case frozen := <-reply:
		return frozen, true
	case <-ctx.Done():
		return state.Frozen{}, false
	}
}

// rebaseError ends the application of a batch at a Rebase record: the snapshot
// that the record refers to must be read first.
type rebaseError struct {
	offset topo.Offset
	rec    *bspb.Record
}

// Error implements error.
func (e *rebaseError) Error() string { return "state must be replaced according to a rebase record" }

// asRebase returns the Rebase record at which applying stopped.
func asRebase(err error) (*rebaseError, bool) {
	var rebase *rebaseError
	return rebase, errors.As(err, &rebase)
}
