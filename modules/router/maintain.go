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
	// sweepInterval is the interval between checks of waiting requests while
	// requests are in flight.
	sweepInterval = 10 * time.Millisecond
	// retainInterval is the interval between removals of data about servers and
	// nodes that are no longer in the state.
	retainInterval = 2 * time.Second
	// rampDuration is the time in which a server's limit rises from one concurrent
	// request to its configured value, after the server or its admission point
	// is new.
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
			changed = m.source.Changed() // before View, so that no change is missed
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

// gauges is one node's contribution to gauges that all nodes of a process share.
type gauges struct {
	queued  int
	waiting int
}

func (g *gauges) set(queued, waiting int) {
	metricQueued.Add(int64(queued - g.queued))
	metricWaiting.Add(int64(waiting - g.waiting))
	g.queued, g.waiting = queued, waiting
}

// retain removes data about servers and nodes that are not in the state.
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

// resetNewGroups resets the servers of groups that this node newly leads to one
// concurrent request, because their previous admission point may still have
// requests in flight there.
func (m *Module) resetNewGroups(view *state.View, terms map[topo.GroupID]topo.Term) {
	for id, group := range view.Groups() {
		if group.Lessor != m.self.Node || terms[id] == group.Term {
			continue
		}
		terms[id] = group.Term
		for server, gate := range m.gates.Gates() {
			if known, exists := view.Server(server); exists && known.Group == id {
				gate.RestartRamp()
			}
		}
	}
}

// gate returns the queue of a server for which this node is the admission point.
func (m *Module) gate(d route.Decision) *limit.Gate {
	return m.gates.Gate(d.Service.Name, d.Server, limit.Spec{
		Limit:     d.Service.ConcurrencyPerServer,
		MaxQueued: m.settings.Limits.MaxQueued,
		Ramp:      rampDuration,
	})
}

// deputyGate returns the queue of a server whose admission point is unreachable and
// for which this node is a deputy.
func (m *Module) deputyGate(d route.Decision) *limit.Gate {
	return m.deputyGates.Gate(d.Service.Name, d.Server, limit.Spec{
		Limit:     d.Slots,
		MaxQueued: m.settings.Limits.MaxQueued,
	})
}
