// Package dutytest runs the duties of several nodes in one process, for tests.
// Each node runs the production modules over an in-memory network with faults, a
// VM list that can lag and be wrong, and a log in memory. It works under
// testing/synctest.
package dutytest

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// networkSeed is the seed of the network's random faults.
const networkSeed = 1

// Cluster is a simulated cluster: its nodes and the services that they share.
type Cluster struct {
	t       *testing.T
	modules []kernel.ModuleID
	Site    *sitefake.Site
	Network *peermem.Network
	VMs     *vms.Platform
	nodes   map[topo.NodeID]*Node
}

// Node is one incarnation of a node.
type Node struct {
	ID       topo.NodeID
	Contact  *sitefake.Node
	Caller   *peermem.Node
	Handlers *peer.Handlers
	Context  *kernel.Context
	// Recorder measures the load that a test lets the node observe.
	Recorder     *load.Recorder
	runtime      *kernel.Runtime
	cluster      *Cluster
	stopped      bool
	stopRecorder context.CancelFunc // stops the recorder
}

// New returns a cluster whose nodes run the given modules, which must be
// registered. The test must call Close.
func New(t *testing.T, modules ...kernel.ModuleID) *Cluster {
	c := &Cluster{
		t: t, modules: modules, Site: sitefake.New(), Network: peermem.New(networkSeed),
		VMs: vms.New(), nodes: map[topo.NodeID]*Node{},
	}
	return c
}

// Close stops every node and drops every message. Under testing/synctest it must
// be called before the bubble ends.
func (c *Cluster) Close() {
	c.Network.Close()
	for _, node := range c.nodes {
		node.Kill()
	}
}

// Start starts an incarnation of a node and lists its VM as live.
func (c *Cluster) Start(id, zone, boot string) *Node {
	c.t.Helper()
	n := &Node{
		ID: topo.NodeID(id), Contact: c.Site.Node(id, boot), Handlers: &peer.Handlers{}, cluster: c,
		Recorder: load.NewRecorder(load.DefaultConfig()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stopRecorder = cancel
	go n.Recorder.Run(ctx)
	c.VMs.Put(vmlist.VM{ID: id, Role: vmlist.RoleEntry, Zone: topo.Zone(zone), Phase: vmlist.PhaseLive})
	n.Caller = c.Network.Join(&bspb.Sender{Node: id, Boot: boot, Zone: zone}, n.Handlers)
	n.Context = kernel.NewContext(kernel.Identity{
		Node: n.ID, Boot: topo.BootID(boot), Zone: topo.Zone(zone), Region: "region",
	}, hclog.NewNullLogger())
	n.provide()
	n.runtime = kernel.NewRuntime(n.Context)
	if err := n.runtime.Load(c.modules...); err != nil {
		c.t.Fatal(err)
	}
	if err := n.runtime.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	c.nodes[n.ID] = n
	return n
}

func (n *Node) provide() {
	s := &settings.Settings{Node: n.ID, Peer: settings.Listener{Address: "127.0.0.1:1"}}
	for _, err := range []error{
		kernel.Provide(n.Context, s),
		kernel.Provide[state.Source](n.Context, n.Contact),
		kernel.Provide[follower.Appender](n.Context, n.Contact),
		kernel.Provide[peer.Caller](n.Context, n.Caller),
		kernel.Provide(n.Context, n.Handlers),
		kernel.Provide[vmlist.List](n.Context, n.cluster.VMs),
		kernel.Provide[balance.Policy](n.Context, balance.Greedy{}),
		kernel.Provide(n.Context, n.Recorder),
	} {
		if err != nil {
			n.cluster.t.Fatal(err)
		}
	}
}

// Drain begins a graceful shutdown: the node resigns its duties and keeps running.
func (n *Node) Drain() {
	n.cluster.t.Helper()
	if err := n.runtime.Drain(context.Background()); err != nil {
		n.cluster.t.Error(err)
	}
}

// Stop shuts a node down gracefully.
func (n *Node) Stop() {
	n.cluster.t.Helper()
	n.Drain()
	if err := n.runtime.Stop(context.Background()); err != nil {
		n.cluster.t.Error(err)
	}
	n.stopped = true
	n.stopRecorder()
	n.cluster.Network.Leave(n.ID)
}

// Kill stops a node immediately: it sends no further message to any node.
func (n *Node) Kill() {
	if n.stopped {
		return
	}
	n.stopped = true
	n.stopRecorder()
	n.cluster.Network.Leave(n.ID)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.runtime.Stop(ended)
}

// Use returns a service that one of the node's modules provided.
func Use[T any](n *Node) T {
	service, err := kernel.Use[T](n.Context)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return service
}
