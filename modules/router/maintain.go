package router

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// sweepInterval is how often waiting requests are looked at, while there are
	// requests.
	sweepInterval = 10 * time.Millisecond
	// retainInterval is how often what is gone from the state is forgotten.
	retainInterval = 2 * time.Second
	// rampDuration is how long a server takes from one request at once to its
	// whole limit after it, or its admission point, is new.
	rampDuration = time.Second
)

// maintain sweeps queues while requests are in flight, and follows the state until ctx ends.
func (m *Module) maintain(ctx context.Context) {
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	retains := time.NewTicker(retainInterval)
	defer retains.Stop()
	gauges := &gauges{}
	defer gauges.set(0, 0)
	terms := map[topo.GroupID]topo.Term{}
	changed := m.source.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweeps.C:
			m.sweep(gauges)
			if m.sweeper.pauseIfIdle(&m.inFlight) {
				sweeps.Stop()
			}
		case <-m.sweeper.wake:
			m.sweeper.resume()
			sweeps.Reset(sweepInterval)
		case <-retains.C:
			m.sweep(gauges)
			m.retain()
		case <-changed:
			changed = m.source.Changed() // before the view, or a change is missed
			view := m.source.View()
			m.overlay.Prune(view)
			m.resetNewGroups(view, terms)
		}
	}
}

func (m *Module) sweep(g *gauges) {
	now := time.Now()
	queued := m.gates.Sweep(now) + m.deputyGates.Sweep(now)
	m.buffer.Sweep(now)
	g.set(queued, m.buffer.Stats().Waiting)
}

// gauges shows totals that several nodes of one process add to.
type gauges struct {
	queued  int
	waiting int
}

func (g *gauges) set(queued, waiting int) {
	metricQueued.Add(int64(queued - g.queued))
	metricWaiting.Add(int64(waiting - g.waiting))
	g.queued, g.waiting = queued, waiting
}

// retain forgets what the state no longer has.
func (m *Module) retain() {
	view := m.source.View()
	knownServer := func(id topo.ServerID) bool {
		_, exists := view.Server(id)
		return exists
	}
	knownNode := func(id topo.NodeID) bool {
		_, exists := view.Node(id)
		return exists
	}
	m.gates.Retain(knownServer)
	m.deputyGates.Retain(knownServer)
	m.servers.Retain(knownServer)
	m.nodes.Retain(knownNode)
	m.remote.retain(knownServer)
}

// resetNewGroups starts the servers of groups that this node newly leads with
// one request at once: their earlier admission point may still have requests in
// flight there.
func (m *Module) resetNewGroups(view *state.View, terms map[topo.GroupID]topo.Term) {
	for id, group := range view.Groups() {
		if group.Lessor != m.self.Node || terms[id] == group.Term {
			continue
		}
		terms[id] = group.Term
		for server, gate := range m.gates.Gates() {
			if known, exists := view.Server(server); exists && known.Group == id {
				gate.Cold()
			}
		}
	}
}

// gate returns the queue of a server whose admission point this node is.
func (m *Module) gate(d route.Decision) *limit.Gate {
	return m.gates.Gate(d.Service.Name, d.Server, limit.Spec{
		Limit:     d.Service.ConcurrencyPerServer,
		MaxQueued: m.settings.Limits.MaxQueued,
		Ramp:      rampDuration,
	})
}

// deputyGate returns the queue of a server whose admission point cannot be
// reached and whose deputy this node is.
func (m *Module) deputyGate(d route.Decision) *limit.Gate {
	return m.deputyGates.Gate(d.Service.Name, d.Server, limit.Spec{
		Limit:     d.Places,
		MaxQueued: m.settings.Limits.MaxQueued,
	})
}
