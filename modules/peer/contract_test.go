package peer

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/kernel"
	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/peer/peertest"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/tlsfiles/tlstest"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// harness runs real modules on loopback, with a relay between each ordered pair
// of nodes. Every node has its own site, in which the addresses of the other
// nodes are those of its relays.
type harness struct {
	t         testing.TB
	authority *tlstest.Authority // nil for no TLS
	dir       string
	nodes     map[topo.NodeID]*runningNode
	relays    map[[2]topo.NodeID]*relay
}

type runningNode struct {
	module *Module
	sender *bspb.Sender
	site   *sitefake.Site
}

func newHarness(t testing.TB, authority *tlstest.Authority) *harness {
	return &harness{
		t: t, authority: authority, dir: t.TempDir(),
		nodes: map[topo.NodeID]*runningNode{}, relays: map[[2]topo.NodeID]*relay{},
	}
}

func (h *harness) settings(id string) *settings.Settings {
	s := &settings.Settings{
		Node:   topo.NodeID(id),
		Peer:   settings.Listener{Address: "127.0.0.1:0"},
		Limits: settings.Limits{StallTimeout: 10 * time.Second, ConnectTimeout: 5 * time.Second},
		Timing: settings.Timing{SuspectAfter: 300 * time.Millisecond},
	}
	if h.authority != nil {
		files := h.authority.Write(h.t, h.dir, id, h.authority)
		s.Peer.TLS = &files
	}
	return s
}

// start runs a module with the given handlers.
func start(t testing.TB, s *settings.Settings, sender *bspb.Sender, handlers *core.Handlers, site *sitefake.Site) *Module {
	g := gomega.NewWithT(t)
	identity := kernel.Identity{
		Node: topo.NodeID(sender.Node), Boot: topo.BootID(sender.Boot), Zone: topo.Zone(sender.Zone),
	}
	ctx := kernel.NewContext(identity, hclog.NewNullLogger())
	g.Expect(kernel.Provide(ctx, s)).To(gomega.Succeed())
	g.Expect(kernel.Provide[state.Source](ctx, site)).To(gomega.Succeed())
	module := &Module{}
	g.Expect(module.Provision(ctx)).To(gomega.Succeed())
	provided, err := kernel.Use[*core.Handlers](ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	*provided = *handlers
	g.Expect(module.Start(context.Background())).To(gomega.Succeed())
	return module
}

func kill(t testing.TB, m *Module) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	gomega.NewWithT(t).Expect(m.Stop(ended)).To(gomega.Succeed())
}

// Join implements peertest.Harness.
func (h *harness) Join(t testing.TB, sender *bspb.Sender, handlers *core.Handlers) core.Caller {
	node := &runningNode{sender: sender, site: sitefake.New()}
	node.module = start(t, h.settings(sender.Node), sender, handlers, node.site)
	t.Cleanup(func() { kill(t, node.module) })
	id := topo.NodeID(sender.Node)
	for otherID, other := range h.nodes {
		h.connect(otherID, other, id, node)
		h.connect(id, node, otherID, other)
	}
	h.nodes[id] = node
	return node.module.client
}

// connect places a relay on the path from one node to another.
func (h *harness) connect(fromID topo.NodeID, from *runningNode, toID topo.NodeID, to *runningNode) {
	r := newRelay(h.t, to.module.Address())
	h.relays[[2]topo.NodeID{fromID, toID}] = r
	from.site.Apply("test@1", &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: to.sender.Node, Boot: to.sender.Boot, Zone: to.sender.Zone, PeerAddress: r.address(),
	}}})
}

// Leave implements peertest.Harness.
func (h *harness) Leave(t testing.TB, id topo.NodeID) {
	kill(t, h.nodes[id].module)
	delete(h.nodes, id)
	for pair, r := range h.relays {
		if pair[1] == id {
			r.close()
		}
	}
}

// Stall implements peertest.Harness.
func (h *harness) Stall(_ testing.TB, from, to topo.NodeID) {
	h.relays[[2]topo.NodeID{from, to}].stall()
}

// Cut implements peertest.Harness.
func (h *harness) Cut(_ testing.TB, a, b topo.NodeID) {
	for _, pair := range [][2]topo.NodeID{{a, b}, {b, a}} {
		h.relays[pair].stallNew.Store(true)
		h.relays[pair].stall()
	}
}

// Heal implements peertest.Harness.
func (h *harness) Heal(testing.TB) {
	for _, r := range h.relays {
		r.stallNew.Store(false)
	}
}

func TestSpecs(t *testing.T) { spectest.Run(t, "modules/peer") }

var _ = peertest.Describe("peer.connect", func(t testing.TB) peertest.Harness { return newHarness(t, nil) })

var _ = peertest.Describe("peer.connect over TLS", func(t testing.TB) peertest.Harness {
	return newHarness(t, tlstest.NewAuthority(t, "site"))
})
