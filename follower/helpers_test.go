package follower_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/logfault"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// settle is long enough for every node to catch up with a healthy log or its
// peers.
const settle = 5 * time.Second

// site is a simulated cluster of nodes that share a log and a network.
type site struct {
	t       *testing.T
	g       *gomega.WithT
	store   *memlog.Store
	network *peermem.Network
	// every is the nodes' CheckpointEvery; 0 for the default.
	every int
	// relays is the nodes' Relays; 0 lets every node read the log.
	relays int
}

// member is one node's follower with its own connection to the log.
type member struct {
	*follower.Follower
	log   *logfault.Log
	reads *atomic.Int64 // log reads
}

func newSite(t *testing.T, retention memlog.Retention) *site {
	t.Helper()
	network := peermem.New(1)
	t.Cleanup(network.Close)
	return &site{t: t, g: gomega.NewWithT(t), store: memlog.New(retention), network: network}
}

// start runs a node until the test ends; change may alter its settings.
func (s *site) start(name string, change ...func(*follower.Config, *logfault.Log)) *member {
	s.t.Helper()
	reads := &readCounter{inner: s.store}
	log := logfault.Wrap(reads)
	handlers := &peer.Handlers{}
	sender := &bspb.Sender{Node: name, Boot: "b1", Zone: "zone-a"}
	config := follower.Config{
		Node: topo.NodeID(name), Boot: "b1", Log: log,
		Peers:           s.network.Join(sender, handlers),
		CheckpointEvery: s.every, Zone: "zone-a", Relays: s.relays, DriftPPM: 200,
	}
	for _, c := range change {
		c(&config, log)
	}
	f := follower.New(config)
	f.Serve(handlers)
	f.Start()
	s.t.Cleanup(f.Stop)
	return &member{Follower: f, log: log, reads: &reads.count}
}

// withLogDown starts a node whose log is down.
func withLogDown(_ *follower.Config, log *logfault.Log) { log.Down() }

func (s *site) within(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	s.t.Cleanup(cancel)
	return ctx
}

// submit submits a record that must be accepted.
func (s *site) submit(m *member, rec *bspb.Record) follower.Outcome {
	s.t.Helper()
	outcome, err := m.Submit(s.within(settle), rec)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.g.Expect(outcome.Accepted).To(gomega.BeTrue(), outcome.Conflict)
	return outcome
}

// sameState waits for settle and then expects all nodes to have the same state.
func (s *site) sameState(members ...*member) {
	s.t.Helper()
	time.Sleep(settle)
	want := members[0].View()
	for _, m := range members[1:] {
		view := m.View()
		s.g.Expect(view.Applied()).To(gomega.Equal(want.Applied()))
		s.g.Expect(view.Lineage()).To(gomega.Equal(want.Lineage()))
		s.g.Expect(view.SiteVersion()).To(gomega.Equal(want.SiteVersion()))
		s.g.Expect(view.Nodes()).To(gomega.Equal(want.Nodes()))
	}
}

// put appends a record to the log as if another process had written it.
func (s *site) put(writer string, sequence uint64, rec *bspb.Record) topo.Offset {
	s.t.Helper()
	rec.Format, rec.Writer, rec.Sequence = record.Format, writer, sequence
	data, err := record.Encode(rec)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	offset, err := s.store.Append(context.Background(), data)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	return offset
}

// replayed returns the state after applying all of the store's records.
func (s *site) replayed() *state.State {
	s.t.Helper()
	next := state.New()
	batch, err := s.store.Read(context.Background(), platlog.ReadRequest{From: 1, Max: 1 << 20})
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, entry := range batch.Entries {
		rec, err := record.Decode(entry.Data)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		next.Apply(entry.Offset, rec)
	}
	return next
}

// putCheckpoint appends a state's checkpoint; damage may alter its chunks.
func (s *site) putCheckpoint(of *state.State, id string, damage func([]*bspb.CheckpointChunk) []*bspb.CheckpointChunk) {
	s.t.Helper()
	chunks, err := checkpoint.Split(of.Snapshot(), id, 64)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	for i, chunk := range damage(chunks) {
		s.put(id, uint64(i+1), chunkRecord(chunk))
	}
}

func intact(chunks []*bspb.CheckpointChunk) []*bspb.CheckpointChunk { return chunks }

func truncated(chunks []*bspb.CheckpointChunk) []*bspb.CheckpointChunk { return chunks[:len(chunks)-1] }

func chunkRecord(chunk *bspb.CheckpointChunk) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_CheckpointChunk{CheckpointChunk: chunk}}
}

func join(name string) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: name, Boot: "b1", Zone: "zone-a",
	}}}
}

func remove(name string) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_RemoveNode{RemoveNode: &bspb.RemoveNode{Node: name, Boot: "b1"}}}
}

func publish(base uint64) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base: base,
		Compiled: &bspb.SiteConfig{Services: []*bspb.ServiceConfig{
			{Name: "wells", Keyed: true, Shards: 4},
		}},
	}}}
}

func hasNode(m *member, name string) bool {
	_, exists := m.View().Node(topo.NodeID(name))
	return exists
}

// records returns every record in the store.
func (s *site) records() []*bspb.Record {
	s.t.Helper()
	first, _ := s.store.Bounds()
	batch, err := s.store.Read(context.Background(), platlog.ReadRequest{From: first, Max: 1 << 20})
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	var records []*bspb.Record
	for _, entry := range batch.Entries {
		rec, err := record.Decode(entry.Data)
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		records = append(records, rec)
	}
	return records
}

// swappableLog is a log that can be replaced by another.
type swappableLog struct {
	mu  sync.Mutex
	log platlog.Log
}

func (l *swappableLog) set(log platlog.Log) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log = log
}

func (l *swappableLog) get() platlog.Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log
}

// Append implements platlog.Log.
func (l *swappableLog) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	return l.get().Append(ctx, data)
}

// Read implements platlog.Log.
func (l *swappableLog) Read(ctx context.Context, req platlog.ReadRequest) (platlog.Batch, error) {
	return l.get().Read(ctx, req)
}

// readCounter is a log that counts its reads.
type readCounter struct {
	inner platlog.Log
	count atomic.Int64
}

// Append implements platlog.Log.
func (l *readCounter) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	return l.inner.Append(ctx, data)
}

// Read implements platlog.Log.
func (l *readCounter) Read(ctx context.Context, req platlog.ReadRequest) (platlog.Batch, error) {
	l.count.Add(1)
	return l.inner.Read(ctx, req)
}

// entryCounter is a log that counts the entries read from it.
type entryCounter struct {
	inner   platlog.Log
	entries atomic.Int64
}

// Append implements platlog.Log.
func (l *entryCounter) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	return l.inner.Append(ctx, data)
}

// Read implements platlog.Log.
func (l *entryCounter) Read(ctx context.Context, req platlog.ReadRequest) (platlog.Batch, error) {
	batch, err := l.inner.Read(ctx, req)
	l.entries.Add(int64(len(batch.Entries)))
	return batch, err
}
