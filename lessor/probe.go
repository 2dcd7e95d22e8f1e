package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// overduePerHeartbeat divides the heartbeat interval. The first watcher in turn probes a
	// lessor that answers every three quarters of it, and a reply is overdue after a quarter.
	// So when lessor and standby lessor are lost, both have been probed within one interval.
	overduePerHeartbeat = 4
	// laterPerStandIn divides StandInAfter: watchers later in turn probe both
	// nodes within that time.
	laterPerStandIn = 2
	// minPause bounds how often a member whose probe cannot begin checks again.
	minPause = time.Millisecond
)

// planProbes probes the lessor and the standby lessor. While the lessor answers,
// only the lessor is probed, because the group needs a watcher only once both
// are unresponsive.
func (m *Member) planProbes(now time.Duration, actions []Action) []Action {
	if m.facts.Group.Term.IsZero() || m.role == RoleLessor {
		return actions
	}
	group := m.facts.Group
	if m.role == RoleStandby {
		if now-m.standbyState.lastHeartbeat.at >= m.cfg.SuspectAfter/2 {
			actions = m.planProbe(now, group.Lessor, m.cfg.HeartbeatEvery, actions)
		}
		return actions
	}
	if !m.isWatcher {
		return actions
	}
	if !m.suspectsLessor(now) {
		return m.planProbe(now, group.Lessor, m.healthyEvery(), actions)
	}
	actions = m.planProbe(now, group.Lessor, m.cfg.HeartbeatEvery, actions)
	return m.planProbe(now, group.Standby, m.cfg.HeartbeatEvery, actions)
}

// planProbe probes a node if the latest probe is at least every ago.
func (m *Member) planProbe(now time.Duration, id topo.NodeID, every time.Duration, actions []Action) []Action {
	if id == "" || id == m.cfg.Node {
		return actions
	}
	known := m.watch.node(id)
	if known.inFlight || (known.askedAt.set && now-known.askedAt.at < every) {
		return actions
	}
	return append(actions, Probe{Node: id})
}

// healthyEvery returns the interval at which this watcher probes a lessor that
// answers.
func (m *Member) healthyEvery() time.Duration {
	if m.turnIndex == 0 {
		return m.cfg.HeartbeatEvery - m.overdueAfter()
	}
	return m.cfg.StandInAfter/laterPerStandIn - m.overdueAfter()
}

func (m *Member) overdueAfter() time.Duration { return m.cfg.HeartbeatEvery / overduePerHeartbeat }

// suspectsLessor reports whether this watcher has a reason to probe the standby
// lessor too: the lessor's incarnation has ended, or its reply failed or is
// overdue.
func (m *Member) suspectsLessor(now time.Duration) bool {
	lessor := m.facts.Group.Lessor
	if lessor == "" || lessor == m.cfg.Node || m.lessorGone.set || m.watch.failed(lessor) {
		return true
	}
	known := m.watch.node(lessor)
	return known.inFlight && now-known.askedAt.at >= m.overdueAfter()
}

// WatchPause returns how long a watching member may wait before its next check,
// unless another input arrives earlier.
func (m *Member) WatchPause(now time.Duration) (time.Duration, bool) {
	if m.role != RoleNone || !m.isWatcher || m.facts.Group.Term.IsZero() || m.claim.pending() {
		return 0, false
	}
	known := m.watch.node(m.facts.Group.Lessor)
	if known.inFlight || m.suspectsLessor(now) {
		return m.overdueAfter(), true
	}
	return max(known.askedAt.at+m.healthyEvery()-now, minPause), true
}
