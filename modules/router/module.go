// Package router is the module "duty.router": it routes callers' requests to the
// servers that own their keys, through the admission point of each server,
// which is the lessor of its group. docs/design/request-path.md describes it.
package router

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/health"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/shed"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/tlsfiles"
	"github.com/burdockspindle/burdockspindle/topo"
)

func init() { kernel.Register(&Module{}) }

// pickerChoices is D, the number of random choices of the built-in picker.
const pickerChoices = 2

// Module is the router.
type Module struct {
	kernel   *kernel.Context
	logger   hclog.Logger
	self     route.Self
	settings *settings.Settings
	source   state.Source
	driver   backend.Driver
	observer load.Observer
	recorder *load.Recorder   // nil if another observer was provided
	lessors  lessor.Directory // nil if no lessor module is loaded
	picker   pick.Picker
	tickets  *ticket.Source

	overlay     *route.Holder
	gates       *limit.Set // of servers whose admission point is this node
	deputyGates *limit.Set // of servers whose admission point is unreachable
	node        *limit.Node
	buffer      *buffer.Buffer
	servers     *health.Set[topo.ServerID]
	nodes       *health.Set[topo.NodeID]
	shed        *shed.Set
	budgets     *budgets
	records     *records
	remote      remoteLoads
	index       serverIndex
	forwarder   *forwarder
	inFlight    atomic.Int64
	sweeper     *sweeper

	cancel     context.CancelFunc
	background sync.WaitGroup
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "duty.router", New: func() kernel.Module { return &Module{} }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.kernel = ctx
	m.logger = ctx.Logger.Named("router")
	m.self = route.Self{Node: ctx.Identity.Node, Boot: ctx.Identity.Boot}
	var missing [4]error
	var handlers *peer.Handlers
	m.settings, missing[0] = kernel.Use[*settings.Settings](ctx)
	m.source, missing[1] = kernel.Use[state.Source](ctx)
	m.driver, missing[2] = kernel.Use[backend.Driver](ctx)
	handlers, missing[3] = kernel.Use[*peer.Handlers](ctx)
	if err := errors.Join(missing[:]...); err != nil {
		return err
	}
	if err := m.build(ctx); err != nil {
		return err
	}
	if handlers.HTTP == nil {
		handlers.HTTP = map[string]http.Handler{}
	}
	handlers.HTTP[ForwardPrefix] = http.HandlerFunc(m.serveForward)
	return errors.Join(
		m.provideObserver(ctx),
		kernel.Provide[exchange.Handler](ctx, m),
		kernel.Provide[route.ActivationSink](ctx, m.overlay),
		kernel.Provide[load.StatsSource](ctx, m),
	)
}

// provideObserver uses the observer that was provided, or provides a recorder
// from which the balancer reads the observations.
func (m *Module) provideObserver(ctx *kernel.Context) error {
	if observer, err := kernel.Use[load.Observer](ctx); err == nil {
		m.observer = load.OrDiscard(observer)
		return nil
	}
	m.recorder = load.NewRecorder(load.DefaultConfig())
	m.observer = m.recorder
	return errors.Join(
		kernel.Provide(ctx, m.recorder),
		kernel.Provide[load.Observer](ctx, m.recorder),
	)
}

// build creates the components that hold the router's state.
func (m *Module) build(ctx *kernel.Context) error {
	limits := m.settings.Limits
	m.overlay = route.NewHolder()
	m.gates = limit.NewSet(limits.MaxQueued)
	m.deputyGates = limit.NewSet(limits.MaxQueued)
	m.node = limit.NewNode(limits.MaxInFlight)
	m.buffer = buffer.New(limits.MaxBuffered)
	m.servers = health.NewSet[topo.ServerID]()
	m.nodes = health.NewSet[topo.NodeID]()
	m.shed = shed.NewSet()
	m.budgets = newBudgets(limits.RetryBudget)
	m.records = newRecords()
	m.sweeper = newSweeper()
	m.picker = pick.DChoices{D: pickerChoices}
	if err := m.buildForwarder(); err != nil {
		return err
	}
	issuer := ticket.Issuer{Node: ctx.Identity.Node, Boot: ctx.Identity.Boot, StartMillis: time.Now().UnixMilli()}
	var err error
	m.tickets, err = ticket.NewSource(issuer, randomUint64)
	return err
}

// buildForwarder prepares connections to other nodes, over TLS if their
// listeners use it.
func (m *Module) buildForwarder() error {
	m.forwarder = &forwarder{scheme: "http", stallTimeout: forwardStallTimeout(m.settings.Timing.LeaseTTL)}
	var config clientTLS
	if files := m.settings.Peer.TLS; files != nil {
		loader, err := tlsfiles.New(*files, m.logger)
		if err != nil {
			return err
		}
		m.forwarder.scheme = "https"
		m.forwarder.files = loader
		config = loader.Peer
	}
	connect := m.settings.Limits.ConnectTimeout
	open := Dial((&net.Dialer{Timeout: connect}).DialContext)
	if replaced, err := kernel.Use[Dial](m.kernel); err == nil {
		open = replaced
	}
	m.forwarder.transport = newForwardTransport(open, connect, config)
	return nil
}

// randomUint64 returns a random number that callers cannot guess. The system's
// source never fails.
func randomUint64() uint64 {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return binary.LittleEndian.Uint64(bytes[:])
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	m.resolve()
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.background.Go(func() { m.maintain(ctx) })
	if m.recorder != nil {
		m.background.Go(func() { m.recorder.Run(ctx) })
	}
	return nil
}

// resolve looks up services that modules loaded after this one may provide.
func (m *Module) resolve() {
	if lessors, err := kernel.Use[lessor.Directory](m.kernel); err == nil {
		m.lessors = lessors
	}
	if picker, err := kernel.Use[pick.Picker](m.kernel); err == nil {
		m.picker = picker
	}
}

// maySend reports whether this node may send to the server of a decision. A
// service without ownership, or whose servers check fencing tokens, requires no
// lease.
func (m *Module) maySend(d route.Decision) bool {
	if !d.Service.Keyed || d.Service.ChecksFencing {
		return true
	}
	return m.lessors != nil && m.lessors.MaySend(d.Group, d.Shard, d.Server, d.Fence)
}

// Drain implements kernel.Drainer: it waits for the requests in flight. By then
// the front end refuses new requests and the node has resigned its terms.
func (m *Module) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for m.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			eventDrainTimeout.Log(m.logger, "in_flight", m.inFlight.Load())
			return ctx.Err()
		}
	}
	eventDrained.Log(m.logger)
	return nil
}

const drainPollInterval = 10 * time.Millisecond

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.cancel()
	m.background.Wait()
	m.forwarder.transport.CloseIdleConnections()
	return nil
}
