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
	checkpointPoll   = 500 * time.Millisecond // between two looks at what is due
	checkpointLimit  = time.Minute            // for writing one checkpoint
	expiredRankDelay = 2 * time.Second        // by rank, when the last one is lost
	rankSteps        = 20                     // ranks that take over within every records
)

// checkpointSchedule knows what has to be written since the last whole checkpoint.
// It is safe for concurrent use.
type checkpointSchedule struct {
	mu        sync.Mutex
	last      checkpoint.Whole
	lastAt    time.Time // when last was seen, or the start
	records   int       // applied since
	bytes     int       // of those records
	first     topo.Offset
	expiredAt time.Time // when retention was seen to have passed last
}

func newCheckpointSchedule() *checkpointSchedule { return &checkpointSchedule{lastAt: time.Now()} }

// noteRecord notes an applied record of some bytes that is no chunk.
func (s *checkpointSchedule) noteRecord(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records++
	s.bytes += bytes
}

// noteComplete notes a whole checkpoint in the log.
func (s *checkpointSchedule) noteComplete(whole checkpoint.Whole) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole.Applied < s.last.Applied {
		return
	}
	s.last = whole
	s.lastAt = time.Now()
	s.records = 0
	s.bytes = 0
	s.expiredAt = time.Time{}
}

// noteFirst notes the lowest offset that the log retains.
func (s *checkpointSchedule) noteFirst(first topo.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = first
	if first > max(s.last.FirstChunk, 1) && s.expiredAt.IsZero() {
		s.expiredAt = time.Now()
	}
}

// logFirst returns the lowest offset that the log is known to retain.
func (s *checkpointSchedule) logFirst() topo.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// lastApplied returns what the last whole checkpoint contains.
func (s *checkpointSchedule) lastApplied() topo.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last.Applied
}

// due reports whether the node of a rank should write a checkpoint. The records
// since the last one make it due when there are as many as threshold says and
// they are at least as long as the last checkpoint, so that checkpoints at most
// double what every node reads. Time, and the loss of the last one, make it due
// too.
func (s *checkpointSchedule) due(now time.Time, rank, every int, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records >= threshold(rank, every) && s.bytes >= s.last.Bytes {
		return true
	}
	if s.records > 0 && now.Sub(s.lastAt) >= age*time.Duration(rank+1) {
		return true
	}
	return !s.expiredAt.IsZero() && now.Sub(s.expiredAt) >= expiredRankDelay*time.Duration(rank)
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
	for index, id := range ids {
		if id == node {
			return index
		}
	}
	return len(ids)
}

// runCheckpoints is the goroutine that writes checkpoints when they are due.
func (f *Follower) runCheckpoints(ctx context.Context) {
	number := 0
	for clock.Wait(ctx, checkpointPoll) {
		if !f.isCheckpointDue() {
			continue
		}
		number++
		f.writeCheckpoint(ctx, f.writer+"/"+strconv.Itoa(number))
	}
}

// isCheckpointDue reports whether this node should write one now; only a node
// that has applied the whole log does.
func (f *Follower) isCheckpointDue() bool {
	if f.now().Sub(f.LastContact()) > f.config.PollWait+f.config.CallTimeout {
		return false
	}
	position := rank(f.View(), f.config.Node, f.schedule.lastApplied())
	return f.schedule.due(time.Now(), position, f.config.CheckpointEvery, f.config.CheckpointAge)
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
		eventCheckpointFailed.Log(f.config.Logger, "checkpoint", id, "error", err)
		return
	}
	for _, chunk := range chunks {
		if f.schedule.lastApplied() >= frozen.View().Applied() {
			return // another node's is as good
		}
		body := &bspb.Record_CheckpointChunk{CheckpointChunk: chunk}
		if _, err := f.Submit(limited, &bspb.Record{Body: body}); err != nil {
			eventCheckpointFailed.Log(f.config.Logger, "checkpoint", id, "error", err)
			return
		}
	}
	count(metricCheckpoints, 1)
	eventCheckpointWritten.Log(f.config.Logger, "checkpoint", id, "applied", frozen.View().Applied(), "chunks", len(chunks))
}
