package capacity

import (
	"fmt"
	"runtime"

	"github.com/burdockspindle/burdockspindle/checkpoint"
	"github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/record"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	serviceName     = "records"
	zones           = 5
	pureNodes       = 20
	chunkBytes      = 64 << 10
	textBytes       = 1 << 10 // size of the text of a site configuration
	shardsPerServer = 16
	serversPerGroup = 5
)

// shape is the size of a state or a site; groups is the number of groups per zone.
type shape struct{ nodes, servers, shards, groups int }

// build returns a state of a shape, built by applying records as a node does.
func build(s shape) *state.State {
	b := &builder{state: state.New()}
	b.apply(publish(s))
	for i := range s.nodes {
		b.apply(join(i))
	}
	b.apply(servers(s))
	for i := range zones * s.groups {
		b.apply(claim(i, s))
	}
	b.apply(assign(s))
	return b.state
}

// builder applies records at consecutive offsets.
type builder struct {
	state  *state.State
	offset topo.Offset
}

func (b *builder) apply(rec *bspb.Record) state.Result {
	b.offset++
	rec.Format = 1
	rec.Writer = "capacity@1"
	rec.Sequence = uint64(b.offset)
	return b.state.Apply(b.offset, rec)
}

func zoneOf(i int) string   { return fmt.Sprintf("zone-%d", i%zones) }
func serverID(i int) string { return fmt.Sprintf("server-%04d", i) }
func nodeID(i int) string   { return fmt.Sprintf("node-%04d", i) }

// groupOf returns the group of the i-th server or claim, which is in the zone of i.
func (s shape) groupOf(i int) string {
	return string(topo.MakeGroupID(topo.Zone(zoneOf(i)), i/zones%s.groups))
}

func publish(s shape) *bspb.Record {
	service := &bspb.ServiceConfig{
		Name: serviceName, Keyed: true, Shards: uint32(s.shards), ChecksFencing: true,
		ConcurrencyPerServer: 6, ConnectionsPerServer: 130, DeadlineMs: 5000, MaxDisconnectedMs: 600_000,
		Weighting: bspb.Weighting_WEIGHTING_IMBALANCE, IdempotentMethods: []string{"GET", "HEAD"},
	}
	return &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Text:     make([]byte, textBytes),
		Compiled: &bspb.SiteConfig{Services: []*bspb.ServiceConfig{service}, GroupsPerZone: uint32(s.groups)},
	}}}
}

func join(i int) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: nodeID(i), Boot: "0123456789abcdef", Zone: zoneOf(i), Region: "region-1", PeerAddress: "10.0.0.1:7300",
	}}}
}

func servers(s shape) *bspb.Record {
	body := &bspb.UpdateServers{}
	for i := range s.servers {
		body.Upsert = append(body.Upsert, &bspb.ServerEntry{
			Id: serverID(i), Service: serviceName, Zone: zoneOf(i), Address: "10.0.0.2:8080",
			Group: s.groupOf(i), Phase: bspb.ServerPhase_SERVER_PHASE_LIVE,
		})
	}
	return &bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: body}}
}

func claim(i int, s shape) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: &bspb.ClaimTerm{
		Group: s.groupOf(i), Node: nodeID(i % s.nodes), Boot: "0123456789abcdef",
		Standby: nodeID((i + zones) % s.nodes), StandbyBoot: "0123456789abcdef",
	}}}
}

// assign gives every unowned shard an owner and a standby server.
func assign(s shape) *bspb.Record {
	body := &bspb.AssignShards{Reason: "first assignment"}
	for i := range s.shards {
		body.Assignments = append(body.Assignments, &bspb.Assignment{
			Shard: &bspb.ShardRef{Service: serviceName, Index: uint32(i)},
			Owner: serverID(i % s.servers), Standby: serverID((i + zones) % s.servers),
		})
	}
	return &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: body}}
}

// shardSizes returns the numbers of shards at which parts without I/O are measured.
func shardSizes(quick bool) []int {
	if quick {
		return []int{1_000, 4_000}
	}
	return []int{5_000, 10_000, 20_000, 40_000, 80_000}
}

// nodeSizes returns the numbers of nodes at which parts without I/O are measured.
// Servers, shards and groups grow in proportion to the nodes.
func nodeSizes(quick bool) []int {
	if quick {
		return []int{40, 80}
	}
	return []int{165, 330, 660}
}

// pureSeries measures the parts without I/O.
func pureSeries(quick bool) ([]Series, error) {
	shards := shardSizes(quick)
	var all []Series
	for _, one := range []struct {
		name, input, unit string
		sizes             []int
		cost              func(size int) (float64, error)
	}{
		{"state memory", "shards", "bytes of live heap", shards, stateMemory},
		{"checkpoint size", "shards", "bytes", shards, checkpointBytes},
		{"checkpoint written", "shards", "µs of processor", shards, checkpointWritten},
		{"start from a checkpoint", "shards", "µs of processor", shards, checkpointRestored},
		{"move applied and view published", "shards", "µs of processor", shards, moveApplied},
		{"routing decision", "shards", "µs of processor", shards, routingCost},
		{"lessor's facts made anew", "shards", "µs of processor", shards, factsBuilt},
		{"record seen by groups without a part", "nodes", "µs of processor", nodeSizes(quick), otherGroupsChecked},
		{"membership record size", "servers", "bytes", []int{10, 100, 1000}, membershipBytes},
	} {
		points, err := sweep(one.sizes, one.cost)
		if err != nil {
			return nil, err
		}
		all = append(all, newSeries(one.name, one.input, one.unit, points))
	}
	return all, nil
}

func sweep(sizes []int, cost func(size int) (float64, error)) ([]Point, error) {
	var points []Point
	for _, size := range sizes {
		y, err := cost(size)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{X: float64(size), Y: y})
	}
	return points, nil
}

// shapeOfShards returns the shape with one server for every shardsPerServer shards,
// and one group for every serversPerGroup servers.
func shapeOfShards(shards int) shape {
	servers := max(shards/shardsPerServer, zones*2)
	return shape{nodes: pureNodes, servers: servers, shards: shards, groups: max(servers/zones/serversPerGroup, 1)}
}

func stateMemory(shards int) (float64, error) {
	before := liveHeap()
	built := build(shapeOfShards(shards))
	view := built.View()
	after := liveHeap()
	runtime.KeepAlive(built)
	runtime.KeepAlive(view)
	return after - before, nil
}

func checkpointBytes(shards int) (float64, error) {
	chunks, err := checkpoint.Split(build(shapeOfShards(shards)).Snapshot(), "capacity", chunkBytes)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, chunk := range chunks {
		total += len(chunk.GetData())
	}
	return float64(total), nil
}

func checkpointWritten(shards int) (float64, error) {
	built := build(shapeOfShards(shards))
	var failed error
	cost := costOf(func() { _, failed = checkpoint.Split(built.Snapshot(), "capacity", chunkBytes) })
	return cost, failed
}

func checkpointRestored(shards int) (float64, error) {
	chunks, err := checkpoint.Split(build(shapeOfShards(shards)).Snapshot(), "capacity", chunkBytes)
	if err != nil {
		return 0, err
	}
	var failed error
	cost := costOf(func() {
		snapshot, err := checkpoint.Join(chunks)
		if err == nil {
			_, err = state.Restore(snapshot)
		}
		failed = err
	})
	return cost, failed
}

// moveApplied measures a record that moves one shard: applying it and publishing
// the view.
func moveApplied(shards int) (float64, error) {
	size := shapeOfShards(shards)
	b := &builder{state: build(size), offset: topo.Offset(size.nodes + zones*size.groups + 3)}
	next := 0
	rejected := false
	cost := costOf(func() {
		current, _ := b.state.View().Shard(topo.ShardID{Service: serviceName, Index: uint32(next % shards)})
		rejected = rejected || !b.apply(moveOf(b.state.View(), current, size)).Accepted
		b.state.View()
		next++
	})
	if rejected {
		return 0, &RejectedError{Record: "move"}
	}
	return cost, nil
}

// moveOf returns a record that moves a shard to the next server.
func moveOf(view *state.View, current state.Assignment, size shape) *bspb.Record {
	owner, _ := view.Server(current.Owner)
	group, _ := view.Group(owner.Group)
	var index int
	_, _ = fmt.Sscanf(string(current.Owner), "server-%d", &index)
	return &bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: &bspb.AssignShards{
		Group: string(group.ID),
		Term:  &bspb.Ordinal{Offset: uint64(group.Term.Offset), Rank: group.Term.Rank},
		Assignments: []*bspb.Assignment{{
			Shard:    &bspb.ShardRef{Service: string(current.Shard.Service), Index: current.Shard.Index},
			Expected: &bspb.Ordinal{Offset: uint64(current.Fence.Offset), Rank: current.Fence.Rank},
			Owner:    serverID((index + 1) % size.servers),
			Standby:  serverID((index + 1 + zones) % size.servers),
		}},
	}}}
}

func routingCost(shards int) (float64, error) {
	view := build(shapeOfShards(shards)).View()
	self := route.Self{Node: topo.NodeID(nodeID(0)), Boot: "0123456789abcdef"}
	const batch = 1000
	keys := make([]string, batch)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", i)
	}
	cost := costOf(func() {
		for _, key := range keys {
			route.Keyed(view, nil, self, serviceName, key)
		}
	})
	return cost / batch, nil
}

func factsBuilt(shards int) (float64, error) {
	size := shapeOfShards(shards)
	view := build(size).View()
	group := topo.GroupID(size.groupOf(0))
	return costOf(func() { lessor.FactsOf(view, lessor.NodesOf(view, nil), group, true) }), nil
}

// otherGroupsChecked measures the cost of a record for the groups that the record
// does not concern, if it changes neither nodes nor terms.
func otherGroupsChecked(nodes int) (float64, error) {
	servers := serversPerNode * nodes
	size := shape{nodes: nodes, servers: servers, shards: servers * shardsPerServer, groups: servers / serversPerGroup / zones}
	view := build(size).View()
	listed := lessor.NodesOf(view, nil)
	var facts []*lessor.Facts
	for _, group := range lessor.GroupsOf(view) {
		facts = append(facts, lessor.FactsOf(view, listed, group, false))
	}
	return costOf(func() {
		lessor.GroupsOf(view)
		listed = lessor.NodesOf(view, listed)
		for _, one := range facts {
			one.Current(view, listed)
		}
	}), nil
}

func membershipBytes(count int) (float64, error) {
	rec := servers(shape{servers: count, groups: 1})
	rec.Format, rec.Writer, rec.Sequence = 1, "capacity@1", 1
	data, err := record.Encode(rec)
	return float64(len(data)), err
}
