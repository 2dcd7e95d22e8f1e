package lessor

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peermem"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// whileRunning blocks while the node is paused.
func (n *testNode) whileRunning() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
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

// lateCaller is the node's connection to the other nodes. The node joins the network
// after every handler has been registered.
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

// kill stops the node without a graceful shutdown.
func (n *testNode) kill() {
	if !n.running {
		return
	}
	n.running = false
	n.world.network.Leave(n.id)
	n.follower.Stop()
	_ = n.module.Stop(context.Background())
}

// restart starts another incarnation of the node.
func (n *testNode) restart(incarnation int) {
	n.kill()
	n.boot = topo.BootID(fmt.Sprintf("%s-boot-%d", n.id, incarnation))
	n.start()
	n.submit(n.joinRecord())
}

func (n *testNode) submit(record *bspb.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	outcome, err := n.follower.Submit(ctx, record)
	if err != nil || !outcome.Accepted {
		n.world.t.Errorf("record not accepted: %v %v", outcome.Conflict, err)
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
