package lessor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/lease"
	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/platlog/memlog"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var errDown = errors.New("down") //nolint:err113 // a test's own

// world is a site of entry nodes and backend servers in one process under fake
// time, joined by a memory log and an in-memory network with faults.
type world struct {
	t       *testing.T
	store   *memlog.Store
	network *peermem.Network
	nodes   map[topo.NodeID]*testNode
	servers map[topo.ServerID]*testServer
	began   time.Time

	mu      sync.Mutex
	dual    []string                       // moments with two owners
	gap     map[topo.ShardID]time.Duration // longest time without an owner, once owned
	freeAt  map[topo.ShardID]time.Time     // since when without an owner
	ownedBy map[topo.ShardID]topo.ServerID // latest owner
	stop    context.CancelFunc
	checked sync.WaitGroup
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
	paused chan struct{}          // closed when it goes on; nil while it runs
	cut    map[topo.ServerID]bool // servers that it cannot reach
}

// testServer follows the protocol by lease.Holder on a clock of its own.
type testServer struct {
	id      topo.ServerID
	zone    topo.Zone
	mu      sync.Mutex
	holder  *lease.Holder
	boots   int
	started time.Time
	down    bool // does not answer; its clock goes on
}

func (s *testServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boots++
	s.started = time.Now()
	s.holder = lease.NewHolder(topo.BootID(fmt.Sprintf("%s-boot-%d", s.id, s.boots)))
}

// stop ends the server for good.
func (s *testServer) stop() {
	s.restart()
	s.setDown(true)
}

func (s *testServer) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *testServer) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *testServer) setDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.SetDraining(true)
}

// owns lists the shards that the server would serve now.
func (s *testServer) owns() []lease.Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holder.Valid(time.Since(s.started)) {
		return nil
	}
	return s.holder.Grants()
}

// testLog is a node's access to the log.
type testLog struct {
	log  platlog.Log
	mu   sync.Mutex
	down bool
	lose int // answers of appends to lose
}

func (l *testLog) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *testLog) loseAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lose == 0 {
		return false
	}
	l.lose--
	return true
}

func (l *testLog) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *testLog) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	if l.isDown() {
		return 0, &platlog.UnavailableError{Op: "append", Cause: errDown}
	}
	offset, err := l.log.Append(ctx, data)
	if err == nil && l.loseAnswer() {
		return 0, &platlog.UncertainError{Cause: errDown}
	}
	return offset, err
}

func (l *testLog) Read(ctx context.Context, req platlog.ReadRequest) (platlog.Batch, error) {
	if l.isDown() {
		return platlog.Batch{}, &platlog.UnavailableError{Op: "read", Cause: errDown}
	}
	batch, err := l.log.Read(ctx, req)
	if l.isDown() {
		return platlog.Batch{}, &platlog.UnavailableError{Op: "read", Cause: errDown}
	}
	return batch, err
}

// testDriver is a node's access to the servers.
type testDriver struct{ node *testNode }

const serverDelay = time.Millisecond

func (d *testDriver) reach(ctx context.Context, to backend.Target) (*testServer, error) {
	d.node.whileRunning()
	time.Sleep(serverDelay)
	s := d.node.world.servers[to.ID]
	d.node.mu.Lock()
	cut := d.node.cut[to.ID]
	d.node.mu.Unlock()
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down || cut {
		<-ctx.Done()
		return nil, &backend.ControlError{Server: to.ID, Op: "lease", Cause: ctx.Err()}
	}
	return s, nil
}

func (d *testDriver) Lease(ctx context.Context, to backend.Target, req serverapi.LeaseRequest) (serverapi.LeaseReply, error) {
	s, err := d.reach(ctx, to)
	if err != nil {
		return serverapi.LeaseReply{}, err
	}
	s.mu.Lock()
	reply := s.holder.Lease(time.Since(s.started), req)
	s.mu.Unlock()
	return d.back(ctx, to, reply)
}

func (d *testDriver) Acknowledge(ctx context.Context, to backend.Target, req serverapi.AcknowledgeRequest) (serverapi.LeaseReply, error) {
	s, err := d.reach(ctx, to)
	if err != nil {
		return serverapi.LeaseReply{}, err
	}
	s.mu.Lock()
	reply := s.holder.Acknowledge(time.Since(s.started), req)
	s.mu.Unlock()
	return d.back(ctx, to, reply)
}

func (d *testDriver) back(ctx context.Context, to backend.Target, reply serverapi.LeaseReply) (serverapi.LeaseReply, error) {
	time.Sleep(serverDelay)
	d.node.whileRunning()
	if ctx.Err() != nil {
		return serverapi.LeaseReply{}, &backend.ControlError{Server: to.ID, Op: "lease", Cause: ctx.Err()}
	}
	return reply, nil
}

func (*testDriver) Do(context.Context, backend.Target, backend.Request) (*backend.Response, error) {
	return nil, &backend.AttemptError{Cause: errDown}
}

func (*testDriver) Forget(topo.ServerID) {}

// whileRunning blocks while the node is paused.
func (n *testNode) whileRunning() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// timing is the default one.
func timing() settings.Timing { return settings.DefaultTiming() }

// newWorld starts nodes "a1", "a2", … in each zone and servers "sa1", … of the
// service "wells" in each zone.
func newWorld(t *testing.T, zones []string, nodes int, limit time.Duration) *world {
	w := &world{
		t:       t,
		store:   memlog.New(memlog.Retention{}),
		network: peermem.New(1),
		nodes:   map[topo.NodeID]*testNode{},
		servers: map[topo.ServerID]*testServer{},
		gap:     map[topo.ShardID]time.Duration{},
		freeAt:  map[topo.ShardID]time.Time{},
		ownedBy: map[topo.ShardID]topo.ServerID{},
		began:   time.Now(),
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

// siteRecord publishes the site configuration on a base version, changed by the
// functions given.
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

func (w *world) newNode(id topo.NodeID, zone topo.Zone) *testNode {
	n := &testNode{world: w, id: id, zone: zone, cut: map[topo.ServerID]bool{}}
	n.boot = topo.BootID(fmt.Sprintf("%s-boot-1", id))
	w.nodes[id] = n
	return n
}

func (n *testNode) joinRecord() *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: string(n.id), Boot: string(n.boot), Zone: string(n.zone), PeerAddress: string(n.id) + ":1",
	}}}
}

// lateCaller is the node's access to the others. The node joins the network
// when every handler is in place.
type lateCaller struct{ *peermem.Node }

// start runs the node's follower and lessor module.
func (n *testNode) start() {
	w := n.world
	n.log = &testLog{log: w.store}
	n.handlers = &peer.Handlers{}
	n.peers = &lateCaller{}
	n.follower = follower.New(follower.Config{Node: n.id, Boot: n.boot, Log: n.log, Peers: n.peers})
	n.follower.Serve(n.handlers)
	n.handlers.Status = func(context.Context) (*bspb.StatusResponse, error) { return &bspb.StatusResponse{}, nil }
	config := &settings.Settings{Node: n.id, Zone: n.zone, Timing: timing()}
	logger := hclog.NewNullLogger()
	if testing.Verbose() {
		logger = hclog.New(&hclog.LoggerOptions{Name: string(n.id), Level: hclog.Debug, Output: testOutput{w}, DisableTime: true})
	}
	ctx := kernel.NewContext(kernel.Identity{Node: n.id, Boot: n.boot, Zone: n.zone}, logger)
	n.module = &Module{}
	err := errors.Join(
		kernel.Provide(ctx, config),
		kernel.Provide[state.Source](ctx, n.follower),
		kernel.Provide[follower.Appender](ctx, n.follower),
		kernel.Provide[follower.Contact](ctx, n.follower),
		kernel.Provide[peer.Caller](ctx, n.peers),
		kernel.Provide(ctx, n.handlers),
		kernel.Provide[backend.Driver](ctx, &testDriver{n}),
		n.module.Provision(ctx),
		n.module.Validate(),
	)
	if err != nil {
		w.t.Fatal(err)
	}
	sender := &bspb.Sender{Node: string(n.id), Boot: string(n.boot), Zone: string(n.zone)}
	n.peers.Node = w.network.Join(sender, n.handlers)
	n.follower.Start()
	if err := n.module.Start(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	n.running = true
}

// kill ends the node without any goodbye.
func (n *testNode) kill() {
	if !n.running {
		return
	}
	n.running = false
	n.world.network.Leave(n.id)
	n.follower.Stop()
	_ = n.module.Stop(context.Background())
}

// restart begins another run of the node.
func (n *testNode) restart(run int) {
	n.kill()
	n.boot = topo.BootID(fmt.Sprintf("%s-boot-%d", n.id, run))
	n.start()
	n.submit(n.joinRecord())
}

func (n *testNode) submit(record *bspb.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	fate, err := n.follower.Submit(ctx, record)
	if err != nil || !fate.Accepted {
		n.world.t.Errorf("record not accepted: %v %v", fate.Conflict, err)
	}
}

func (n *testNode) pause() {
	n.mu.Lock()
	n.paused = make(chan struct{})
	n.mu.Unlock()
	n.world.network.Pause(n.id)
}

func (n *testNode) resume() {
	n.mu.Lock()
	close(n.paused)
	n.paused = nil
	n.mu.Unlock()
	n.world.network.Resume(n.id)
}

func (n *testNode) cutServers(cut bool, ids ...topo.ServerID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		n.cut[id] = cut
	}
}

func (w *world) close() {
	w.stop()
	w.checked.Wait()
	for _, id := range w.nodeIDs() {
		w.nodes[id].kill()
	}
	w.network.Close()
	for _, moment := range w.dual {
		w.t.Errorf("two owners: %s", moment)
	}
}

const checkEvery = 2 * time.Millisecond

// check looks at who owns what, as the servers see it.
func (w *world) check(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.checkNow()
	}
}

func (w *world) checkNow() {
	owners, serving := map[topo.ShardID][]topo.ServerID{}, map[topo.ShardID][]topo.ServerID{}
	for _, s := range w.servers {
		for _, held := range s.owns() {
			owners[held.Shard] = append(owners[held.Shard], s.id)
			if !s.isDown() {
				serving[held.Shard] = append(serving[held.Shard], s.id)
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for i := range shardCount {
		id := topo.ShardID{Service: "wells", Index: uint32(i)}
		list := owners[id]
		if len(list) > 1 && len(w.dual) < 5 {
			w.dual = append(w.dual, fmt.Sprintf("%v %v %v", time.Since(w.began), id, list))
		}
		w.note(id, serving[id], now)
	}
}

func (w *world) note(id topo.ShardID, owners []topo.ServerID, now time.Time) {
	since, free := w.freeAt[id]
	if len(owners) == 0 {
		if !free {
			w.freeAt[id] = now
			since = now
		}
		if _, everOwned := w.ownedBy[id]; everOwned {
			w.gap[id] = max(w.gap[id], now.Sub(since))
		}
		return
	}
	delete(w.freeAt, id)
	w.ownedBy[id] = owners[0]
}

// reset forgets the gaps so far.
func (w *world) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.gap)
	clear(w.freeAt)
}

// gaps returns the longest time without an owner among the shards chosen.
func (w *world) gaps(chosen func(topo.ShardID) bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := time.Duration(0)
	for id, gap := range w.gap {
		if chosen == nil || chosen(id) {
			longest = max(longest, gap)
		}
	}
	return longest
}

// owners returns who serves each shard now.
func (w *world) owners() map[topo.ShardID]topo.ServerID {
	owners := map[topo.ShardID]topo.ServerID{}
	for _, s := range w.servers {
		for _, held := range s.owns() {
			owners[held.Shard] = s.id
		}
	}
	return owners
}

// shardsOn lists the shards that a server serves now.
func (w *world) shardsOn(ids ...topo.ServerID) map[topo.ShardID]bool {
	shards := map[topo.ShardID]bool{}
	for shard, owner := range w.owners() {
		if slices.Contains(ids, owner) {
			shards[shard] = true
		}
	}
	return shards
}

// until lets time pass until a condition holds, and fails after limit.
func (w *world) until(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			w.t.Fatalf("not within %v: %s; owners %v\n%s", limit, what, w.owners(), w.dumps())
		}
		time.Sleep(checkEvery)
	}
	return time.Since(began)
}

func (w *world) dumps() string {
	text := ""
	for _, id := range w.nodeIDs() {
		if n := w.nodes[id]; n.running {
			text += fmt.Sprintf("%s: %+v\n", id, n.module.Dump())
		}
	}
	return text
}

func (w *world) allServed() bool { return len(w.owners()) == shardCount }

// lessorOfA returns the node that is the lessor of zone a's group and may renew.
func (w *world) lessorOfA() *testNode {
	for _, id := range w.nodeIDs() {
		if n := w.nodes[id]; n.running && n.module.MayRenew("a/0") {
			return n
		}
	}
	return nil
}

// standby returns the node that is a group's standby lessor.
func (w *world) standby(group topo.GroupID) *testNode {
	for _, id := range w.nodeIDs() {
		n := w.nodes[id]
		if !n.running {
			continue
		}
		if worker, exists := n.module.worker(group); exists && worker.current.Load().role == core.RoleStandby {
			return n
		}
	}
	return nil
}

func (w *world) view() *state.View {
	for _, id := range w.nodeIDs() {
		if n := w.nodes[id]; n.running && !n.log.isDown() {
			return n.follower.View()
		}
	}
	return nil
}

// testOutput passes log lines on with the fake time.
type testOutput struct{ world *world }

func (o testOutput) Write(line []byte) (int, error) {
	o.world.t.Logf("%8.3fs %s", time.Since(o.world.began).Seconds(), line)
	return len(line), nil
}

// serving returns which server answers for each shard now.
func (w *world) serving() map[topo.ShardID]topo.ServerID {
	serving := w.owners()
	for shard, id := range serving {
		if w.servers[id].isDown() {
			delete(serving, shard)
		}
	}
	return serving
}

// fences returns the fence under which each shard is owned.
func (w *world) fences() map[topo.ShardID]topo.Fence {
	fences := map[topo.ShardID]topo.Fence{}
	for _, s := range w.servers {
		for _, held := range s.owns() {
			fences[held.Shard] = held.Fence
		}
	}
	return fences
}

// zoneA is the zone that the scenarios hurt.
const zoneA topo.Zone = "a"

// shardsInA lists the shards that the servers of zone a own now.
func (w *world) shardsInA() map[topo.ShardID]bool {
	shards := map[topo.ShardID]bool{}
	for shard, owner := range w.owners() {
		if w.servers[owner].zone == zoneA {
			shards[shard] = true
		}
	}
	return shards
}

func (w *world) anyNode() *testNode {
	for _, id := range w.nodeIDs() {
		if w.nodes[id].running {
			return w.nodes[id]
		}
	}
	return nil
}

// logDown takes the log away from every node, or gives it back.
func (w *world) logDown(down bool) {
	for _, n := range w.nodes {
		n.log.set(down)
	}
}

// cutA cuts zone a's nodes off from the log and from the nodes and servers
// of other zones, and its servers from the nodes of other zones.
func (w *world) cutA(cut bool) {
	if cut {
		w.network.CutZone(zoneA)
	} else {
		w.network.Heal()
	}
	for _, n := range w.nodes {
		if n.zone == zoneA {
			n.log.set(cut)
		}
		for _, s := range w.servers {
			if (s.zone == zoneA) != (n.zone == zoneA) {
				n.cutServers(cut, s.id)
			}
		}
	}
}

func (w *world) listServer(id topo.ServerID, phase bspb.ServerPhase) {
	s := w.servers[id]
	w.anyNode().submit(&bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: &bspb.UpdateServers{
		Upsert: []*bspb.ServerEntry{{
			Id: string(id), Service: "wells", Zone: string(s.zone), Address: string(id) + ":1",
			Group: string(s.zone) + "/0", Phase: phase,
		}},
	}}})
}
