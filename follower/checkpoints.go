package follower

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	checkpointPoll  = 500 * time.Millisecond // between two looks at what is due
	checkpointLimit = time.Minute            // for writing one checkpoint
	lostRankDelay   = 2 * time.Second        // by rank, when the last one is lost
	rankSteps       = 20                     // ranks that take over within every records
)

// checkpointDue knows what has to be written since the last whole checkpoint.
// It is safe for concurrent use.
type checkpointDue struct {
	mu      sync.Mutex
	last    checkpoint.Whole
	at      time.Time // when last was seen, or the start
	records int       // applied since
	bytes   int       // of those records
	first   topo.Offset
	lostAt  time.Time // when retention was seen to have passed last
}

func newCheckpointDue() *checkpointDue { return &checkpointDue{at: time.Now()} }

// noteRecord notes an applied record of some bytes that is no chunk.
func (d *checkpointDue) noteRecord(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records++
	d.bytes += bytes
}

// noteWhole notes a whole checkpoint in the log.
func (d *checkpointDue) noteWhole(whole checkpoint.Whole) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if whole.Applied < d.last.Applied {
		return
	}
	d.last = whole
	d.at = time.Now()
	d.records = 0
	d.bytes = 0
	d.lostAt = time.Time{}
}

// noteFirst notes the lowest offset that the log retains.
func (d *checkpointDue) noteFirst(first topo.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first = first
	if first > max(d.last.FirstChunk, 1) && d.lostAt.IsZero() {
		d.lostAt = time.Now()
	}
}

// logFirst returns the lowest offset that the log is known to retain.
func (d *checkpointDue) logFirst() topo.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.first
}

// lastApplied returns what the last whole checkpoint contains.
func (d *checkpointDue) lastApplied() topo.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last.Applied
}

// due reports whether the node of a rank should write a checkpoint. The records
// since the last one make it due when there are as many as threshold says and
// they are at least as long as the last checkpoint, so that checkpoints at most
// double what every node reads. Time, and the loss of the last one, make it due
// too.
func (d *checkpointDue) due(now time.Time, rank, every int, age time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records >= threshold(rank, every) && d.bytes >= d.last.Bytes {
		return true
	}
	if d.records > 0 && now.Sub(d.at) >= age*time.Duration(rank+1) {
		return true
	}
	return !d.lostAt.IsZero() && now.Sub(d.lostAt) >= lostRankDelay*time.Duration(rank)
}

// threshold returns after how many records the node of a rank writes: the first
// at every, the next takes over at twice that, and each further one a little
// later.
func threshold(rank, every int) int {
	if rank == 0 {
		return every
	}
	return 2*every + (rank-1)*max(1, every/rankSteps)
}

// rank returns the node's place in the order, different for each checkpoint, in
// which the state's nodes write it.
func rank(view *state.View, node topo.NodeID, last topo.Offset) int {
	salt := strconv.FormatUint(uint64(last), 10)
	weight := func(id topo.NodeID) uint64 { return xxhash.Sum64String(string(id) + "#" + salt) }
	ids := make([]topo.NodeID, 0, len(view.Nodes()))
	for id := range view.Nodes() {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return weight(ids[i]) > weight(ids[j]) })
	for place, id := range ids {
		if id == node {
			return place
		}
	}
	return len(ids)
}

// runCheckpoints is the goroutine that writes checkpoints when they are due.
func (f *Follower) runCheckpoints(ctx context.Context) {
	number := 0
	for clock.Wait(ctx, checkpointPoll) {
		if !f.checkpointIsDue() {
			continue
		}
		number++
		f.writeCheckpoint(ctx, f.writer+"/"+strconv.Itoa(number))
	}
}

// checkpointIsDue reports whether this node should write one now; only a node
// that has applied the whole log does.
func (f *Follower) checkpointIsDue() bool {
	if f.now().Sub(f.LastContact()) > f.config.PollWait+f.config.CallTimeout {
		return false
	}
	place := rank(f.View(), f.config.Node, f.due.lastApplied())
	return f.due.due(time.Now(), place, f.config.CheckpointEvery, f.config.CheckpointAge)
}

func (f *Follower) writeCheckpoint(ctx context.Context, id string) {
	limited, cancel := context.WithTimeout(ctx, checkpointLimit)
	defer cancel()
	frozen, alive := f.freeze(limited)
	if !alive {
		return
	}
	chunks, err := checkpoint.Split(frozen.Snapshot(), id, checkpoint.ChunkBytes)
	if err != nil {
		eventCheckpointFail.Log(f.config.Logger, "checkpoint", id, "error", err)
		return
	}
	for _, chunk := range chunks {
		if f.due.lastApplied() >= frozen.View().Applied() {
			return // another node's is as good
		}
		body := &bspb.Record_CheckpointChunk{CheckpointChunk: chunk}
		if _, err := f.Submit(limited, &bspb.Record{Body: body}); err != nil {
			eventCheckpointFail.Log(f.config.Logger, "checkpoint", id, "error", err)
			return
		}
	}
	count(metricCheckpoints, 1)
	eventCheckpoint.Log(f.config.Logger, "checkpoint", id, "applied", frozen.View().Applied(), "chunks", len(chunks))
}
