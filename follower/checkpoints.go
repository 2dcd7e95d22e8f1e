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
	checkpointPoll   = 500 * time.Millisecond // between two checks whether one is due
	checkpointLimit  = time.Minute            // for writing one checkpoint
	expiredRankDelay = 2 * time.Second        // per rank, after the log dropped the last checkpoint
	rankSteps        = 20                     // ranks whose thresholds are spread over CheckpointEvery records
)

// checkpointSchedule decides when the next checkpoint is due, from the records
// applied since the last complete one. It is safe for concurrent use.
type checkpointSchedule struct {
	mu        sync.Mutex
	last      checkpoint.Info
	lastAt    time.Time // when last was applied, or the start time
	records   int       // applied since last, without chunks
	bytes     int       // total size of these records
	first     topo.Offset
	expiredAt time.Time // when retention was seen to have dropped last; zero if it is retained
}

func newCheckpointSchedule() *checkpointSchedule { return &checkpointSchedule{lastAt: time.Now()} }

// noteRecord counts an applied record that is not a checkpoint chunk.
func (s *checkpointSchedule) noteRecord(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records++
	s.bytes += bytes
}

// noteComplete restarts the count at a complete checkpoint in the log.
func (s *checkpointSchedule) noteComplete(info checkpoint.Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if info.Applied < s.last.Applied {
		return
	}
	s.last = info
	s.lastAt = time.Now()
	s.records = 0
	s.bytes = 0
	s.expiredAt = time.Time{}
}

// noteFirst stores the lowest offset that the log retains.
func (s *checkpointSchedule) noteFirst(first topo.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = first
	if first > max(s.last.FirstChunk, 1) && s.expiredAt.IsZero() {
		s.expiredAt = time.Now()
	}
}

// logFirst returns the lowest offset known to be retained by the log.
func (s *checkpointSchedule) logFirst() topo.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// lastApplied returns the offset of the last record in the last complete
// checkpoint.
func (s *checkpointSchedule) lastApplied() topo.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last.Applied
}

// due reports whether the node with this rank should write a checkpoint. One is
// due when the number of records since the last checkpoint reaches the threshold
// and their size reaches that checkpoint's size, so that checkpoints at most
// double the bytes that every node reads. One is also due when the last
// checkpoint is too old or is no longer retained by the log.
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

// threshold returns the number of records after which the node with this rank
// writes a checkpoint: rank 0 after every records, rank 1 after twice as many,
// and each further rank slightly later, so that it takes over if the nodes
// before it do not write.
func threshold(rank, every int) int {
	if rank == 0 {
		return every
	}
	return 2*every + (rank-1)*max(1, every/rankSteps)
}

// rank returns the node's position in the order in which nodes write the next
// checkpoint. The order differs for each checkpoint.
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

// runCheckpoints is the goroutine that writes due checkpoints.
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

// isCheckpointDue reports whether this node should write a checkpoint now. Only
// a node that has applied the whole log writes one.
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
			return // another node has written an equivalent checkpoint
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
