package follower

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// peerInterval is the delay after a peer that had no new records.
const peerInterval = 50 * time.Millisecond

// snapshotTimeout bounds the transfer of a peer's whole state.
const snapshotTimeout = 10 * time.Second

// peerReader reads records from peers while the log cannot be read.
type peerReader struct {
	f       *Follower
	started time.Time
	next    int         // index into the known peers
	source  topo.NodeID // the peer that sent records last; may be empty
}

// runPeerReader is the peer reader's goroutine.
func (f *Follower) runPeerReader(ctx context.Context) {
	if f.config.Peers == nil {
		return
	}
	r := &peerReader{f: f, started: f.now()}
	for ctx.Err() == nil {
		if !r.needed() {
			clock.Wait(ctx, f.config.PeersAfter/2)
			continue
		}
		r.step(ctx)
	}
}

// needed reports whether there was no contact with the log for PeersAfter.
func (r *peerReader) needed() bool {
	since := r.f.LastContact()
	if since.IsZero() {
		since = r.started
	}
	return r.f.now().Sub(since) >= r.f.config.PeersAfter
}

// step reads from one peer: the one that sent records last, otherwise the next
// one in round-robin order.
func (r *peerReader) step(ctx context.Context) {
	from, wait := r.source, r.f.config.PeerWait
	if from == "" {
		from, wait = r.nextPeer(), 0
	}
	if from == "" {
		clock.Wait(ctx, r.f.config.PeerWait)
		return
	}
	if r.readFrom(ctx, from, wait) {
		r.source = from
		return
	}
	r.source = ""
	clock.Wait(ctx, peerInterval)
}

// nextPeer returns the next known peer in round-robin order, or "" if there is
// none.
func (r *peerReader) nextPeer() topo.NodeID {
	known := r.f.config.Peers.Known()
	if len(known) == 0 {
		return ""
	}
	r.next = (r.next + 1) % len(known)
	return known[r.next]
}

// readFrom reads from a peer and has the result applied. It returns false if the
// state did not advance.
func (r *peerReader) readFrom(ctx context.Context, from topo.NodeID, wait time.Duration) bool {
	before := r.f.applied()
	limited, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	response, err := r.f.config.Peers.ReadLog(limited, from, &bspb.ReadLogRequest{
		Sender: r.f.config.Peers.Sender(),
		From:   uint64(before + 1),
		Max:    maxReadEntries,
		WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		eventPeerFailed.Log(r.f.config.Logger, "peer", from, "error", err)
		return false
	}
	if topo.Offset(response.GetApplied()) <= before {
		return false
	}
	entries := entriesFromProto(response.GetEntries())
	if len(entries) == 0 {
		return r.f.fetchSnapshot(ctx, from)
	}
	for _, entry := range entries {
		count(metricPeerBytes, len(entry.Data))
	}
	count(metricPeerCatchups, 1)
	if err := r.f.applyEntries(ctx, entries); err != nil {
		eventGap.Log(r.f.config.Logger, "peer", from, "error", err)
		return r.f.fetchSnapshot(ctx, from)
	}
	return r.f.applied() > before
}

func entriesFromProto(encoded []*bspb.LogEntry) []platlog.Entry {
	entries := make([]platlog.Entry, len(encoded))
	for i, entry := range encoded {
		entries[i] = platlog.Entry{Offset: topo.Offset(entry.GetOffset()), Data: entry.GetData()}
	}
	return entries
}

// restoreFromPeers restores the state of the first known peer that has applied
// more records. It returns false if there is none.
func (f *Follower) restoreFromPeers(ctx context.Context) bool {
	if f.config.Peers == nil {
		return false
	}
	for _, from := range f.config.Peers.Known() {
		if f.fetchSnapshot(ctx, from) {
			return true
		}
	}
	return false
}

// fetchSnapshot restores a peer's state if that peer has applied more records.
func (f *Follower) fetchSnapshot(ctx context.Context, from topo.NodeID) bool {
	limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	before := f.applied()
	chunks, err := f.config.Peers.FetchSnapshot(limited, from, before)
	if err != nil || len(chunks) == 0 {
		return false
	}
	snapshot, err := checkpoint.Join(chunks)
	if err != nil {
		eventCheckpointDamaged.Log(f.config.Logger, "peer", from, "error", err)
		return false
	}
	applied := topo.Offset(snapshot.GetApplied())
	if applied <= before {
		return false
	}
	restored, err := state.Restore(snapshot)
	if err != nil {
		eventCheckpointDamaged.Log(f.config.Logger, "peer", from, "error", err)
		return false
	}
	if f.adopt(ctx, restored, false) != nil {
		return false
	}
	count(metricPeerCatchups, 1)
	eventPeerSnapshot.Log(f.config.Logger, "peer", from, "applied", applied)
	return f.applied() > before
}
