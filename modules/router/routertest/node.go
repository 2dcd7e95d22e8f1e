package routertest

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/modules/frontend"
	"github.com/burdockspindle/burdockspindle/modules/router"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Boot is the incarnation of every node.
const Boot = topo.BootID("b1")

// World is the environment that the nodes of a test share.
type World struct {
	Site    *routetest.Site
	Driver  backend.Driver
	Network Network
	// TLS returns each node's certificate files; nil for no TLS.
	TLS func(topo.NodeID) settings.TLS
}

// Node is an entry node with a router that serves its peers over HTTP.
type Node struct {
	ID      topo.NodeID
	Router  *router.Module
	Handler exchange.Handler
	Sink    route.ActivationSink
	Kernel  *kernel.Context

	address string
	peers   *http.Server
	mux     *http.ServeMux
	fault   atomic.Pointer[http.HandlerFunc]
}

// Option changes a node before its modules are provisioned.
type Option func(s *settings.Settings, ctx *kernel.Context)

// With provides a service to the node's modules.
func With[T any](service T) Option {
	return func(_ *settings.Settings, ctx *kernel.Context) { _ = kernel.Provide(ctx, service) }
}

// Start starts a node, adds it to the site, and stops it at the end of the test.
func (w *World) Start(t testing.TB, id topo.NodeID, options ...Option) *Node {
	t.Helper()
	n := &Node{ID: id, Router: &router.Module{}}
	handlers := &peer.Handlers{}
	n.provision(t, w, handlers, options)
	n.listen(t, w, handlers)
	w.Site.Join(id, Boot, n.address)
	gomega.NewWithT(t).Expect(n.Router.Start(context.Background())).To(gomega.Succeed())
	n.Handler, _ = kernel.Use[exchange.Handler](n.Kernel)
	n.Sink, _ = kernel.Use[route.ActivationSink](n.Kernel)
	t.Cleanup(func() {
		_ = n.Router.Stop(context.Background())
		n.Kill()
	})
	return n
}

func (n *Node) provision(t testing.TB, w *World, handlers *peer.Handlers, options []Option) {
	g := gomega.NewWithT(t)
	identity := kernel.Identity{Node: n.ID, Boot: Boot, Zone: "zone-a", Region: "region"}
	n.Kernel = kernel.NewContext(identity, hclog.NewNullLogger())
	config := &settings.Settings{Node: n.ID, Limits: settings.DefaultLimits(), Timing: settings.DefaultTiming()}
	config.Limits.DrainDelay = 0
	if w.TLS != nil {
		files := w.TLS(n.ID)
		config.Peer.TLS = &files
	}
	g.Expect(kernel.Provide(n.Kernel, config)).To(gomega.Succeed())
	g.Expect(kernel.Provide[state.Source](n.Kernel, w.Site)).To(gomega.Succeed())
	g.Expect(kernel.Provide(n.Kernel, w.Driver)).To(gomega.Succeed())
	g.Expect(kernel.Provide(n.Kernel, handlers)).To(gomega.Succeed())
	g.Expect(kernel.Provide(n.Kernel, router.Dial(w.Network.Dial))).To(gomega.Succeed())
	g.Expect(kernel.Provide(n.Kernel, frontend.Listen(w.Network.Listen))).To(gomega.Succeed())
	for _, option := range options {
		option(config, n.Kernel)
	}
	g.Expect(n.Router.Provision(n.Kernel)).To(gomega.Succeed())
}

func (n *Node) listen(t testing.TB, w *World, handlers *peer.Handlers) {
	g := gomega.NewWithT(t)
	n.mux = http.NewServeMux()
	for prefix, handler := range handlers.HTTP {
		n.mux.Handle(prefix, handler)
	}
	listener, err := w.Network.Listen("tcp", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.address = listener.Addr().String()
	n.peers = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fault := n.fault.Load(); fault != nil {
			(*fault)(w, r)
			return
		}
		n.ServePeer(w, r)
	})}
	if w.TLS != nil {
		loader, err := tlsfiles.New(w.TLS(n.ID), hclog.NewNullLogger())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		listener = tls.NewListener(listener, loader.Server())
	}
	go func() { _ = n.peers.Serve(listener) }()
}

// PeerAddress returns the address of the node's peer listener.
func (n *Node) PeerAddress() string { return n.address }

// ServePeer serves a peer's request as the node does without a fault.
func (n *Node) ServePeer(w http.ResponseWriter, r *http.Request) { n.mux.ServeHTTP(w, r) }

// SetFault sets a handler that answers peers in place of the node; nil removes it.
func (n *Node) SetFault(fault http.HandlerFunc) {
	if fault == nil {
		n.fault.Store(nil)
		return
	}
	n.fault.Store(&fault)
}

// Kill closes the node's peer listener and its connections.
func (n *Node) Kill() { _ = n.peers.Close() }

// StartFrontend starts the node's front end and returns it with its address.
func (n *Node) StartFrontend(t testing.TB) (*frontend.Module, string) {
	t.Helper()
	g := gomega.NewWithT(t)
	m := &frontend.Module{}
	g.Expect(m.Provision(n.Kernel)).To(gomega.Succeed())
	g.Expect(m.Start(context.Background())).To(gomega.Succeed())
	t.Cleanup(func() { m.Kill() })
	_, address := m.ListenAddress()
	return m, address
}
