package follower

import (
	"context"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// minWindow is the minimum number of entries searched at once for a checkpoint.
const minWindow = 256

// foundCheckpoint is a complete checkpoint in the log.
type foundCheckpoint struct {
	info     checkpoint.Info
	snapshot *bspb.Snapshot
}

// recover handles a log that no longer retains the next record: it tries a
// checkpoint in the log, then the state of a peer, then a rebase.
func (r *logReader) recover(ctx context.Context) error {
	probe, err := r.f.read(ctx, r.f.applied()+1, 1, 0)
	first, end := probe.First, probe.End
	if err != nil {
		if first, end, err = r.bounds(ctx, err); err != nil {
			return err
		}
	}
	if r.f.applied()+1 >= first {
		return nil
	}
	if r.restoreNewest(ctx, first, end) {
		return nil
	}
	if r.f.restoreFromPeers(ctx) {
		return nil
	}
	return r.followRebase(ctx, first, end)
}

// bounds returns the log's bounds after a read below the first retained offset.
func (r *logReader) bounds(ctx context.Context, err error) (first, end topo.Offset, failed error) {
	truncated, isTruncated := asTruncated(err)
	if !isTruncated {
		return 0, 0, err
	}
	probe, err := r.f.read(ctx, truncated.First, 1, 0)
	return probe.First, probe.End, err
}

// restoreNewest restores the newest complete checkpoint that is newer than the
// state and that the retained records continue. It searches backwards from the
// end of the log in growing windows.
func (r *logReader) restoreNewest(ctx context.Context, first, end topo.Offset) bool {
	window := topo.Offset(max(2*r.f.config.CheckpointEvery, minWindow))
	for {
		start := first
		if end > first+window {
			start = end - window
		}
		newest, err := r.search(ctx, start, end)
		if err != nil {
			return false
		}
		if newest != nil && newest.info.Applied+1 >= first && newest.info.Applied > r.f.applied() {
			return r.restore(ctx, newest)
		}
		if start == first {
			return false
		}
		window *= 4
	}
}

// search returns the newest complete checkpoint with all chunks in a range, or
// nil if there is none.
func (r *logReader) search(ctx context.Context, start, end topo.Offset) (*foundCheckpoint, error) {
	var assembler checkpoint.Assembler
	var newest *foundCheckpoint
	err := r.f.scan(ctx, start, end, func(offset topo.Offset, rec *bspb.Record) bool {
		chunk := rec.GetCheckpointChunk()
		if chunk == nil {
			return true
		}
		info, snapshot, err := assembler.Add(offset, chunk)
		if err != nil {
			eventCheckpointDamaged.Log(r.f.config.Logger, "offset", offset, "error", err)
		}
		if info != nil && (newest == nil || info.Applied >= newest.info.Applied) {
			newest = &foundCheckpoint{info: *info, snapshot: snapshot}
		}
		return true
	})
	return newest, err
}

func (r *logReader) restore(ctx context.Context, newest *foundCheckpoint) bool {
	restored, err := state.Restore(newest.snapshot)
	if err != nil {
		eventCheckpointDamaged.Log(r.f.config.Logger, "checkpoint", newest.info.ID, "error", err)
		return false
	}
	if r.f.adopt(ctx, restored, false) != nil {
		return false
	}
	r.f.schedule.noteComplete(newest.info)
	eventCheckpointRestored.Log(r.f.config.Logger, "checkpoint", newest.info.ID, "applied", newest.info.Applied)
	return true
}

// scan visits the decodable records of a range in order until visit returns
// false. It fails with the log's error, a *GapError or a *RewoundError.
func (f *Follower) scan(ctx context.Context, start, end topo.Offset, visit func(topo.Offset, *bspb.Record) bool) error {
	for next := start; next < end; {
		batch, err := f.read(ctx, next, maxReadEntries, 0)
		if err != nil {
			return err
		}
		entries, err := contiguous(batch, next)
		if err != nil {
			return err
		}
		for _, entry := range entries {
			next = entry.Offset + 1
			if entry.Offset >= end {
				return nil
			}
			rec, err := record.Decode(entry.Data)
			if err == nil && !visit(entry.Offset, rec) {
				return nil
			}
		}
	}
	return nil
}

// contiguous returns the entries of a batch from next on, without duplicates. It
// fails if there are none or if entries are missing.
func contiguous(batch platlog.Batch, next topo.Offset) ([]platlog.Entry, error) {
	entries := make([]platlog.Entry, 0, len(batch.Entries))
	for _, entry := range batch.Entries {
		expected := next + topo.Offset(len(entries))
		if entry.Offset > expected {
			return nil, &GapError{Applied: expected - 1, Got: entry.Offset}
		}
		if entry.Offset == expected {
			entries = append(entries, entry)
		}
	}
	if len(entries) == 0 {
		return nil, &RewoundError{Applied: next - 1, End: batch.End}
	}
	return entries, nil
}
