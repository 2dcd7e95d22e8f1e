package routertest

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/modules/router"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Boot is the run of every node.
const Boot = topo.BootID("b1")

// Node is an entry node with a router, whose peers reach it over real HTTP.
type Node struct {
	ID      topo.NodeID
	Router  *router.Module
	Handler exchange.Handler
	Sink    route.ActivationSink
	Kernel  *kernel.Context

	peers *httptest.Server
	fault atomic.Pointer[http.HandlerFunc]
}

// alone is a peer address that nobody listens on.
const alone = "127.0.0.1:9"

// Option changes a node before its modules are provisioned.
type Option func(s *settings.Settings, ctx *kernel.Context)

// With provides a service to the node's modules.
func With[T any](service T) Option {
	return func(_ *settings.Settings, ctx *kernel.Context) { _ = kernel.Provide(ctx, service) }
}

// Start starts a node, adds it to the site, and ends it with the test.
func Start(t testing.TB, site *routetest.Site, driver backend.Driver, id topo.NodeID, options ...Option) *Node {
	t.Helper()
	n := &Node{ID: id}
	handlers := n.provision(t, site, driver, options)
	n.listen(handlers)
	site.Run(id, Boot, n.PeerAddress())
	n.start(t)
	return n
}

// StartAlone is Start without a peer listener, for tests with a faked clock.
func StartAlone(t testing.TB, site *routetest.Site, driver backend.Driver, id topo.NodeID, options ...Option) *Node {
	t.Helper()
	n := &Node{ID: id}
	n.provision(t, site, driver, options)
	site.Run(id, Boot, alone)
	n.start(t)
	return n
}

func (n *Node) provision(t testing.TB, site *routetest.Site, driver backend.Driver, options []Option) *peer.Handlers {
	g := gomega.NewWithT(t)
	id := n.ID
	identity := kernel.Identity{Node: id, Boot: Boot, Zone: "zone-a", Region: "region"}
	n.Kernel = kernel.NewContext(identity, hclog.NewNullLogger())
	config := &settings.Settings{Node: id, Limits: settings.DefaultLimits(), Timing: settings.DefaultTiming()}
	config.Frontend.Address = "127.0.0.1:0"
	config.Limits.DrainDelay = 0
	handlers := &peer.Handlers{}
	g.Expect(kernel.Provide(n.Kernel, config)).To(gomega.Succeed())
	g.Expect(kernel.Provide[state.Source](n.Kernel, site)).To(gomega.Succeed())
	g.Expect(kernel.Provide(n.Kernel, driver)).To(gomega.Succeed())
	g.Expect(kernel.Provide(n.Kernel, handlers)).To(gomega.Succeed())
	for _, option := range options {
		option(config, n.Kernel)
	}
	n.Router = &router.Module{}
	g.Expect(n.Router.Provision(n.Kernel)).To(gomega.Succeed())
	return handlers
}

func (n *Node) start(t testing.TB) {
	gomega.NewWithT(t).Expect(n.Router.Start(context.Background())).To(gomega.Succeed())
	n.Handler, _ = kernel.Use[exchange.Handler](n.Kernel)
	n.Sink, _ = kernel.Use[route.ActivationSink](n.Kernel)
	t.Cleanup(func() {
		_ = n.Router.Stop(context.Background())
		if n.peers != nil {
			n.Kill()
		}
	})
}

func (n *Node) listen(handlers *peer.Handlers) {
	mux := http.NewServeMux()
	for prefix, handler := range handlers.HTTP {
		mux.Handle(prefix, handler)
	}
	n.peers = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fault := n.fault.Load(); fault != nil {
			(*fault)(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// PeerAddress is where peers reach the node.
func (n *Node) PeerAddress() string { return strings.TrimPrefix(n.peers.URL, "http://") }

// Fault answers peers in place of the node; nil ends it.
func (n *Node) Fault(fault http.HandlerFunc) {
	if fault == nil {
		n.fault.Store(nil)
		return
	}
	n.fault.Store(&fault)
}

// Kill closes the node's peer listener.
func (n *Node) Kill() {
	n.peers.CloseClientConnections()
	n.peers.Close()
}
