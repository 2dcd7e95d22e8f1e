package lessor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var errDown = errors.New("down") //nolint:err113 // a test's own

// world is a simulated site of entry nodes and backend servers in one process with
// fake time. They share an in-memory log and an in-memory network with injected
// faults.
type world struct {
	t       *testing.T
	store   *memlog.Store
	network *peermem.Network
	nodes   map[topo.NodeID]*testNode
	servers map[topo.ServerID]*testServer
	began   time.Time

	mu           sync.Mutex
	dualOwners   []string                       // times at which a shard had two owners
	longestGap   map[topo.ShardID]time.Duration // longest time without an owner, once owned
	unownedSince map[topo.ShardID]time.Time     // start of the present time without an owner
	ownedBy      map[topo.ShardID]topo.ServerID // latest owner
	stop         context.CancelFunc
	checked      sync.WaitGroup
}

type testNode struct {
	world    *world
	id       topo.NodeID
	zone     topo.Zone
	boot     topo.BootID
	log      *testLog
	follower *follower.Follower
	module   *Module
	peers    *lateCaller
	handlers *peer.Handlers
	running  bool

	mu     sync.Mutex
	paused chan struct{}          // closed when the node resumes; nil while it runs
	cut    map[topo.ServerID]bool // servers that the node cannot reach
}

// timing returns the default timing.
func timing() settings.Timing { return settings.DefaultTiming() }

// newWorld starts nodes "a1", "a2", … in each zone and servers "sa1", … of the
// service "wells" in each zone.
func newWorld(t *testing.T, zones []string, nodes int, limit time.Duration) *world {
	w := &world{
		t:            t,
		store:        memlog.New(memlog.Retention{}),
		network:      peermem.New(1),
		nodes:        map[topo.NodeID]*testNode{},
		servers:      map[topo.ServerID]*testServer{},
		longestGap:   map[topo.ShardID]time.Duration{},
		unownedSince: map[topo.ShardID]time.Time{},
		ownedBy:      map[topo.ShardID]topo.ServerID{},
		began:        time.Now(),
	}
	var records []*bspb.Record
	records = append(records, siteRecord(0, limit))
	update := &bspb.UpdateServers{}
	for _, zone := range zones {
		for i := range serversPerZone {
			s := &testServer{id: topo.ServerID(fmt.Sprintf("s%s%d", zone, i+1)), zone: topo.Zone(zone)}
			s.restart()
			w.servers[s.id] = s
			update.Upsert = append(update.Upsert, &bspb.ServerEntry{
				Id: string(s.id), Service: "wells", Zone: zone, Address: string(s.id) + ":1",
				Group: zone + "/0", Phase: bspb.ServerPhase_SERVER_PHASE_LIVE,
			})
		}
	}
	records = append(records, &bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: update}})
	for _, zone := range zones {
		for i := range nodes {
			n := w.newNode(topo.NodeID(fmt.Sprintf("%s%d", zone, i+1)), topo.Zone(zone))
			records = append(records, n.joinRecord())
		}
	}
	records = append(records, w.initialAssignments(update))
	for i, record := range records {
		record.Format, record.Writer, record.Sequence = 1, "setup@1", uint64(i+1)
		w.appendRecord(record)
	}
	for _, id := range w.nodeIDs() {
		w.nodes[id].start()
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.checked.Go(func() { w.check(ctx) })
	t.Cleanup(w.close)
	return w
}

// siteRecord publishes the site configuration on top of a base version, modified by
// the given functions.
func siteRecord(base uint64, limit time.Duration, changes ...func(*siteconfig.Service)) *bspb.Record {
	site := &siteconfig.Site{
		GroupsPerZone: 1,
		TrustVMList:   true,
		Services: map[topo.Service]*siteconfig.Service{"wells": {
			Name: "wells", Keyed: true, Shards: shardCount, ConcurrencyPerServer: 4, ConnectionsPerServer: 100,
			ChecksFencing: true, MaxDisconnected: limit, Deadline: time.Second, Weighting: siteconfig.WeightUnavailability,
			MaxBodyBytes: 1 << 20,
		}},
	}
	for _, change := range changes {
		change(site.Services["wells"])
	}
	return &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base: base, Text: []byte("{}"), Compiled: siteconfig.ToProto(site),
	}}}
}

const shardCount = 12

// initialAssignments spreads the shards over the servers; each shard's standby
// server is the next one of the same zone.
func (w *world) initialAssignments(update *bspb.UpdateServers) *bspb.Record {
	body := &bspb.AssignShards{Reason: "initial"}
	entries := update.Upsert
	for i := range shardCount {
		owner := entries[i%len(entries)]
		standby := ""
		for j := 1; j <= len(entries); j++ {
			next := entries[(i+j)%len(entries)]
			if next.Zone == owner.Zone && next.Id != owner.Id {
				standby = next.Id
				break
			}
		}
		body.Assignments = append(body.Assignments, &bspb.Assignment{
			Shard: &bspb.ShardRef{Service: "wells", Index: uint32(i)}, Owner: owner.Id, Standby: standby,
		})
	}
	return &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: body}}
}

func (w *world) appendRecord(record *bspb.Record) {
	data, err := protoMarshal(record)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.store.Append(context.Background(), data); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) nodeIDs() []topo.NodeID {
	ids := make([]topo.NodeID, 0, len(w.nodes))
	for id := range w.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) close() {
	w.stop()
	w.checked.Wait()
	for _, id := range w.nodeIDs() {
		w.nodes[id].kill()
	}
	w.network.Close()
	for _, moment := range w.dualOwners {
		w.t.Errorf("two owners: %s", moment)
	}
}
