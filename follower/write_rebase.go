package follower

import (
	"context"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// unreachableFactor multiplies RebaseAfter while a node cannot be reached,
// because that node may have applied more records.
const unreachableFactor = 6

// proposeRebase publishes this node's state again when the log dropped records
// that no node has applied and this node has applied the most. Several nodes may
// do so concurrently: the first Rebase record in the log takes effect.
func (r *logReader) proposeRebase(ctx context.Context, first topo.Offset) error {
	now := time.Now()
	if r.gapSince.IsZero() {
		r.gapSince = now
		eventNoCheckpoint.Log(r.f.config.Logger, "applied", r.f.applied(), "first", first)
	}
	if r.f.applied() == 0 {
		return &RebaseProblemError{Problem: "this node has no state to publish"}
	}
	wait := r.f.config.RebaseAfter
	furthest, complete := r.comparePeers(ctx)
	if !complete {
		wait *= unreachableFactor
	}
	if !furthest {
		return &RebaseProblemError{Problem: "left to a node that takes precedence"}
	}
	if now.Sub(r.gapSince) < wait {
		return &RebaseProblemError{Problem: "waiting for a rebase record in the log"}
	}
	return r.writeRebase(ctx, first)
}

// comparePeers reports whether this node has applied the most records, ties
// resolved by the lower node ID, and whether every node of the state responded.
func (r *logReader) comparePeers(ctx context.Context) (furthest, complete bool) {
	if r.f.config.Peers == nil {
		return true, len(r.f.View().Nodes()) <= 1
	}
	responded := map[topo.NodeID]bool{r.f.config.Node: true}
	applied := r.f.applied()
	for _, id := range r.f.config.Peers.Known() {
		limited, cancel := context.WithTimeout(ctx, peerTimeout)
		response, err := r.f.config.Peers.ReadLog(limited, id, &bspb.ReadLogRequest{
			Sender: r.f.config.Peers.Sender(),
			From:   uint64(applied + 1),
			Max:    1,
		})
		cancel()
		if err != nil {
			continue
		}
		responded[id] = true
		theirs := topo.Offset(response.GetApplied())
		if theirs > applied || theirs == applied && id < r.f.config.Node {
			return false, true
		}
	}
	for id := range r.f.View().Nodes() {
		if !responded[id] {
			return true, false
		}
	}
	return true, true
}

// writeRebase appends a checkpoint of the state and the Rebase record that
// names it.
func (r *logReader) writeRebase(ctx context.Context, first topo.Offset) error {
	limited, cancel := context.WithTimeout(ctx, checkpointLimit)
	defer cancel()
	frozen, alive := r.f.freeze(limited)
	if !alive {
		return limited.Err()
	}
	r.rebases++
	id := r.f.writer + "/rebase/" + strconv.Itoa(r.rebases)
	chunks, err := checkpoint.Split(frozen.Snapshot(), id, checkpoint.ChunkBytes)
	if err != nil {
		return err
	}
	var firstChunk topo.Offset
	for _, chunk := range chunks {
		body := &bspb.Record_CheckpointChunk{CheckpointChunk: chunk}
		offset, err := r.f.appendOnly(limited, &bspb.Record{Body: body})
		if err != nil {
			return err
		}
		if firstChunk == 0 {
			firstChunk = offset
		}
	}
	rebase := &bspb.Rebase{
		CheckpointId: id,
		Applied:      uint64(frozen.View().Applied()),
		Resume:       uint64(first),
		FirstChunk:   uint64(firstChunk),
		Digest:       chunks[0].GetDigest(),
		Lineage:      uint64(frozen.View().Lineage()),
	}
	offset, err := r.f.appendOnly(limited, &bspb.Record{Body: &bspb.Record_Rebase{Rebase: rebase}})
	if err != nil {
		return err
	}
	eventRebaseWritten.Log(r.f.config.Logger, "offset", offset, "applied", rebase.GetApplied(), "resume", first)
	return nil
}
