// Package lessor is the module "duty.lessor". For each group of backend servers it
// runs this node's member (package lessor) and connects it with the state, the log,
// the other nodes and the servers.
package lessor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/lease"
	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// successionHeartbeats is how many heartbeat intervals each further node in the
	// order of succession waits before it claims a group in place of the earlier ones.
	successionHeartbeats = 5
	// moveTimeout bounds how long a planned move waits for the owner to release the
	// shard.
	moveTimeout = 30 * time.Second
	// handoverTimeout bounds how long a drain waits for the handover of the terms.
	handoverTimeout      = 5 * time.Second
	handoverPollInterval = 10 * time.Millisecond
)

func init() { kernel.Register(&Module{}) }

// Module needs *settings.Settings, state.Source, follower.Appender,
// follower.Contact, peer.Caller, *peer.Handlers and backend.Driver. It uses
// route.ActivationSink and *membership.ServerReports if they are provided, and
// provides lessor.Directory.
type Module struct {
	logger   hclog.Logger
	self     core.Incarnation
	zone     topo.Zone
	timing   settings.Timing
	source   state.Source
	appender follower.Appender
	contact  follower.Contact
	caller   peer.Caller
	driver   backend.Driver
	sink     route.ActivationSink
	reports  *membership.ServerReports

	started  time.Time // origin of the members' clock
	draining atomic.Bool
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu      sync.RWMutex
	workers map[topo.GroupID]*worker

	nodesMu  sync.Mutex
	nodes    []state.Node // the nodes of nodesFor, see core.NodesOf
	nodesFor *state.View
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "duty.lessor", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.logger = ctx.Logger.Named("lessor")
	m.self = core.Incarnation{Node: ctx.Identity.Node, Boot: ctx.Identity.Boot}
	m.zone = ctx.Identity.Zone
	m.workers = map[topo.GroupID]*worker{}
	m.started = clock.Now()
	var config *settings.Settings
	var handlers *peer.Handlers
	var missing [7]error
	config, missing[0] = kernel.Use[*settings.Settings](ctx)
	m.source, missing[1] = kernel.Use[state.Source](ctx)
	m.appender, missing[2] = kernel.Use[follower.Appender](ctx)
	m.contact, missing[3] = kernel.Use[follower.Contact](ctx)
	m.caller, missing[4] = kernel.Use[peer.Caller](ctx)
	handlers, missing[5] = kernel.Use[*peer.Handlers](ctx)
	m.driver, missing[6] = kernel.Use[backend.Driver](ctx)
	if err := errors.Join(missing[:]...); err != nil {
		return err
	}
	m.timing = config.Timing
	m.sink, _ = kernel.Use[route.ActivationSink](ctx)         // optional
	m.reports, _ = kernel.Use[*membership.ServerReports](ctx) // optional
	handlers.Heartbeat = m.serveHeartbeat
	handlers.Move = m.serveMove
	handlers.Announce = m.serveAnnounce
	return kernel.Provide[core.Directory](ctx, m)
}

// Validate implements kernel.Validator.
func (m *Module) Validate() error {
	return m.leaseTiming().Validate(m.timing.RenewEvery)
}

func (m *Module) leaseTiming() lease.Timing {
	return lease.Timing{TTL: m.timing.LeaseTTL, Margin: m.timing.Margin, DriftPPM: m.timing.DriftPPM}
}

func (m *Module) config(group topo.GroupID) core.Config {
	return core.Config{
		Node:           m.self.Node,
		Boot:           m.self.Boot,
		Zone:           m.zone,
		Group:          group,
		Lease:          m.leaseTiming(),
		RenewEvery:     m.timing.RenewEvery,
		HeartbeatEvery: m.timing.HeartbeatEvery,
		SuspectAfter:   m.timing.SuspectAfter,
		StandInAfter:   successionHeartbeats * m.timing.HeartbeatEvery,
		RetryAfter:     m.timing.HeartbeatEvery,
		MoveTimeout:    moveTimeout,
	}
}

// now reads the members' clock. The clock advances while the machine is suspended, so
// that a right to renew leases does not outlast a suspension.
func (m *Module) now() time.Duration { return clock.Since(m.started) }

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.running.Go(func() { m.superviseGroups(ctx) })
	return nil
}

// superviseGroups runs one worker for each group in the state, and wakes idle workers
// whose facts a new view changes.
func (m *Module) superviseGroups(ctx context.Context) {
	for {
		changed := m.source.Changed()
		view := m.source.View()
		nodes := m.nodesOf(view)
		for _, group := range core.GroupsOf(view) {
			m.ensureWorker(ctx, group)
		}
		for _, w := range m.allWorkers() {
			w.wakeFor(view, nodes)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// nodesOf returns core.NodesOf of a view. All groups share the result.
func (m *Module) nodesOf(view *state.View) []state.Node {
	m.nodesMu.Lock()
	defer m.nodesMu.Unlock()
	if m.nodesFor != view {
		m.nodes, m.nodesFor = core.NodesOf(view, m.nodes), view
	}
	return m.nodes
}

func (m *Module) ensureWorker(ctx context.Context, group topo.GroupID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, exists := m.workers[group]; exists {
		return
	}
	w := newWorker(m, group)
	m.workers[group] = w
	m.running.Go(func() { w.run(ctx) })
}

func (m *Module) worker(group topo.GroupID) (*worker, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	w, exists := m.workers[group]
	return w, exists
}

func (m *Module) allWorkers() []*worker {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := make([]*worker, 0, len(m.workers))
	for _, w := range m.workers {
		list = append(list, w)
	}
	return list
}

// Drain implements kernel.Drainer. The node hands its terms over while it still
// renews leases. Drain returns when the node is no longer the lessor of a group that
// another node could take over, or after handoverTimeout.
func (m *Module) Drain(ctx context.Context) error {
	m.draining.Store(true)
	for _, w := range m.allWorkers() {
		_ = w.inbox.Put(ctx, drainRequested{}) // a full inbox refuses it
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for {
		if m.transferableTerms() == 0 {
			eventHandedOver.Log(m.logger)
			return nil
		}
		select {
		case <-ctx.Done():
			eventHandoverTimeout.Log(m.logger, "terms", m.transferableTerms())
			return nil
		case <-ticker.C:
		}
	}
}

// transferableTerms returns the number of groups of which this node is the lessor and that
// another node could take over.
func (m *Module) transferableTerms() int {
	count := 0
	for _, w := range m.allWorkers() {
		current := w.current.Load()
		if current.role == core.RoleLessor && !current.alone {
			count++
		}
	}
	return count
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	m.running.Wait()
	return nil
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	dumps := []core.Dump{}
	for _, w := range m.allWorkers() {
		if dump := w.dump.Load(); dump != nil {
			dumps = append(dumps, *dump)
		}
	}
	return dumps
}
