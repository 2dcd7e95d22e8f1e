package follower

import (
	"context"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	maxServedWait          = 2 * time.Second // upper bound of the wait that a peer may request
	maxServedBytes         = 1 << 20         // of entries in one response
	snapshotCacheTTL       = 5 * time.Second // for which an encoded snapshot is reused
	maxConcurrentSnapshots = 1               // snapshots encoded concurrently
	snapshotChunkID        = "peer"
)

// Serve registers the handlers of peers' ReadLog and FetchSnapshot calls.
func (f *Follower) Serve(handlers *peer.Handlers) {
	snapshots := &snapshotServer{f: f, encoding: make(chan struct{}, maxConcurrentSnapshots)}
	handlers.ReadLog = f.serveReadLog
	handlers.Snapshot = snapshots.serve
}

// serveReadLog returns recent entries, and waits for new ones if requested.
// A follower's wait also ends when contact is renewed, so that its next request
// arrives just after a read of the log began. A response without entries whose
// applied offset is not below the requested one means that the caller needs a
// snapshot.
func (f *Follower) serveReadLog(ctx context.Context, req *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error) {
	from := max(topo.Offset(req.GetFrom()), 1)
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxServedWait)
	arrived := f.now()
	if wait > 0 && f.applied() < from {
		f.awaitChange(ctx, from, wait, req.GetFollows())
	}
	if req.GetFollows() && f.stopped() {
		return nil, &StoppedError{}
	}
	age := f.contactAgeAt(arrived) // read before applied, which then covers every record of this contact
	entries, first := f.ring.read(from, min(max(int(req.GetMax()), 1), maxReadEntries))
	response := &bspb.ReadLogResponse{
		First: uint64(first), Applied: uint64(f.applied()),
		ContactAgeMs: age, LogFirst: uint64(f.schedule.logFirst()),
	}
	bytes := 0
	for _, entry := range entries {
		if bytes += len(entry.Data); bytes > maxServedBytes && len(response.Entries) > 0 {
			break
		}
		count(metricServedBytes, len(entry.Data))
		response.Entries = append(response.Entries, &bspb.LogEntry{Offset: uint64(entry.Offset), Data: entry.Data})
	}
	return response, nil
}

// awaitChange waits for records from an offset on, for the end of the wait, and
// if contact is set, for newer contact.
func (f *Follower) awaitChange(ctx context.Context, from topo.Offset, wait time.Duration, contact bool) {
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var renewed <-chan struct{}
	if contact {
		renewed = f.contact.Load().renewed
	}
	for {
		now := f.published.Load()
		if now.view.Applied() >= from {
			return
		}
		select {
		case <-now.changed:
		case <-renewed:
			return
		case <-limited.Done():
			return
		case <-f.done:
			return
		}
	}
}

// stopped reports whether Stop has completed. The state no longer advances then,
// so no node should follow it.
func (f *Follower) stopped() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// contactAgeAt returns the age of the contact at a time, in milliseconds rounded
// up, 0 if the contact is newer, or nil without contact.
func (f *Follower) contactAgeAt(at time.Time) *uint32 {
	contact := f.LastContact()
	if contact.IsZero() {
		return nil
	}
	age := max(at.Sub(contact), 0)
	rounded := uint32(min((age+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
	return &rounded
}

// snapshotServer serves the whole state to peers. An encoded snapshot is reused
// for snapshotCacheTTL, because many peers may start at once; they read later
// records as entries. The fields after encoding are guarded by its slot.
type snapshotServer struct {
	f         *Follower
	encoding  chan struct{} // a slot for each snapshot being encoded
	chunks    []*bspb.CheckpointChunk
	applied   topo.Offset
	encodedAt time.Time
}

// serve returns the chunks of a snapshot, or none if the state has no records
// beyond an offset.
func (s *snapshotServer) serve(ctx context.Context, beyond topo.Offset) ([]*bspb.CheckpointChunk, error) {
	if s.f.applied() <= beyond {
		return nil, nil
	}
	select {
	case s.encoding <- struct{}{}:
		defer func() { <-s.encoding }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.applied > beyond && time.Since(s.encodedAt) < snapshotCacheTTL {
		return s.chunks, nil
	}
	frozen, alive := s.f.freeze(ctx)
	if !alive {
		return nil, &StoppedError{}
	}
	chunks, err := checkpoint.Split(frozen.Snapshot(), snapshotChunkID, checkpoint.ChunkBytes)
	if err != nil {
		return nil, err
	}
	count(metricSnapshots, 1)
	s.chunks, s.applied, s.encodedAt = chunks, frozen.View().Applied(), time.Now()
	return chunks, nil
}
