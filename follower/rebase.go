package follower

import (
	"bytes"
	"context"
	"errors"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// RebaseProblemError reports that the state cannot be rebased at present.
type RebaseProblemError struct {
	Offset  topo.Offset // of the Rebase record; 0 if there is none
	Problem string
	Cause   error // may be nil
}

// Error implements error.
func (e *RebaseProblemError) Error() string {
	text := "rebase: " + e.Problem
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RebaseProblemError) Unwrap() error { return e.Cause }

// followRebase searches the log for a Rebase record that closes a gap which
// neither a checkpoint nor a peer could close. If there is none, it proposes one.
func (r *logReader) followRebase(ctx context.Context, first, end topo.Offset) error {
	var rebase *rebaseError
	lineage := r.f.View().Lineage()
	err := r.f.scan(ctx, first, end, func(offset topo.Offset, rec *bspb.Record) bool {
		body := rec.GetRebase()
		if body == nil || r.f.applied() > 0 && topo.Offset(body.GetLineage()) != lineage {
			return true
		}
		rebase = &rebaseError{offset: offset, rec: rec}
		return false
	})
	if err != nil {
		return err
	}
	if rebase != nil {
		return r.rebase(ctx, rebase)
	}
	return r.proposeRebase(ctx, first)
}

// rebase replaces the state according to a Rebase record. If the log no longer
// retains the needed records, it restores a peer's state.
func (r *logReader) rebase(ctx context.Context, rebase *rebaseError) error {
	next, err := r.f.buildRebased(ctx, rebase)
	if err != nil {
		if r.f.restoreFromPeers(ctx) {
			return nil
		}
		return err
	}
	if err := r.f.adopt(ctx, next, true); err != nil {
		return err
	}
	count(metricRebases, 1)
	eventRebased.Log(r.f.config.Logger, "offset", rebase.offset, "snapshot", rebase.rec.GetRebase().GetApplied(),
		"resume", rebase.rec.GetRebase().GetResume())
	return nil
}

// buildRebased returns the state after a Rebase record: its snapshot plus the
// records from resume up to the Rebase record.
func (f *Follower) buildRebased(ctx context.Context, rebase *rebaseError) (*state.State, error) {
	body := rebase.rec.GetRebase()
	snapshot, err := f.rebaseSnapshot(ctx, rebase.offset, body)
	if err != nil {
		return nil, err
	}
	next, err := state.Restore(snapshot)
	if err != nil {
		return nil, &RebaseProblemError{Offset: rebase.offset, Problem: "cannot restore its snapshot", Cause: err}
	}
	if uint64(next.Lineage()) != body.GetLineage() || uint64(next.Applied()) != body.GetApplied() {
		return nil, &RebaseProblemError{Offset: rebase.offset, Problem: "its snapshot has another lineage or offset"}
	}
	next.Resume(topo.Offset(body.GetResume()))
	if err := f.replay(ctx, next, rebase.offset); err != nil {
		return nil, err
	}
	next.CompleteRebase(rebase.offset, rebase.rec)
	return next, nil
}

// rebaseSnapshot reads the checkpoint that a Rebase record refers to.
func (f *Follower) rebaseSnapshot(ctx context.Context, before topo.Offset, body *bspb.Rebase) (*bspb.Snapshot, error) {
	var assembler checkpoint.Assembler
	var snapshot *bspb.Snapshot
	err := f.scan(ctx, topo.Offset(body.GetFirstChunk()), before, func(offset topo.Offset, rec *bspb.Record) bool {
		chunk := rec.GetCheckpointChunk()
		if chunk.GetId() != body.GetCheckpointId() || !bytes.Equal(chunk.GetDigest(), body.GetDigest()) {
			return true
		}
		_, complete, err := assembler.Add(offset, chunk)
		snapshot = complete
		return err == nil && complete == nil
	})
	if err != nil {
		return nil, &RebaseProblemError{Offset: before, Problem: "cannot read its checkpoint", Cause: err}
	}
	if snapshot == nil {
		return nil, &RebaseProblemError{Offset: before, Problem: "its checkpoint is incomplete"}
	}
	return snapshot, nil
}

// replay applies the log's entries after the state, up to but excluding an offset.
func (f *Follower) replay(ctx context.Context, next *state.State, before topo.Offset) error {
	for next.Applied()+1 < before {
		batch, err := f.read(ctx, next.Applied()+1, maxReadEntries, 0)
		if err != nil {
			return &RebaseProblemError{Offset: before, Problem: "cannot read the records after it", Cause: err}
		}
		entries, err := contiguous(batch, next.Applied()+1)
		if err != nil {
			return &RebaseProblemError{Offset: before, Problem: "records after it are missing", Cause: err}
		}
		for _, entry := range entries {
			if entry.Offset >= before {
				return nil
			}
			replayEntry(next, entry)
		}
	}
	return nil
}

func replayEntry(next *state.State, entry platlog.Entry) {
	rec, err := record.Decode(entry.Data)
	if err != nil {
		next.Skip(entry.Offset)
		return
	}
	next.Apply(entry.Offset, rec)
	if next.Applied() < entry.Offset {
		next.Skip(entry.Offset)
	}
}

func asTruncated(err error) (*platlog.TruncatedError, bool) {
	var truncated *platlog.TruncatedError
	return truncated, errors.As(err, &truncated)
}
