package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// firstPerHeartbeat and overduePerHeartbeat divide the heartbeat interval:
	// the watcher whose turn is first asks a lessor that answers every three
	// quarters of it, and an answer that takes a quarter is overdue. So when
	// lessor and standby lessor are lost, both have been asked within one.
	overduePerHeartbeat = 4
	// laterPerStandIn divides StandInAfter: within that the watchers whose turn
	// comes later have asked both.
	laterPerStandIn = 2
	// minPause bounds how often a member whose probe cannot begin looks again.
	minPause = time.Millisecond
)

// planProbes asks the lessor and the standby lessor for signs of life. While the
// lessor answers, only the lessor is asked: the group needs a watcher once both
// are silent.
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

// planProbe asks a node that was not asked for a while.
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

// healthyEvery is how often this watcher asks a lessor that answers.
func (m *Member) healthyEvery() time.Duration {
	if m.turnIndex == 0 {
		return m.cfg.HeartbeatEvery - m.overdueAfter()
	}
	return m.cfg.StandInAfter/laterPerStandIn - m.overdueAfter()
}

func (m *Member) overdueAfter() time.Duration { return m.cfg.HeartbeatEvery / overduePerHeartbeat }

// suspectsLessor reports whether this watcher has a reason to ask the standby
// lessor too: the lessor's run has ended, or its answer failed or is overdue.
func (m *Member) suspectsLessor(now time.Duration) bool {
	lessor := m.facts.Group.Lessor
	if lessor == "" || lessor == m.cfg.Node || m.lessorGone.set || m.watch.failed(lessor) {
		return true
	}
	known := m.watch.node(lessor)
	return known.inFlight && now-known.askedAt.at >= m.overdueAfter()
}

// WatchPause returns how long a member that watches may wait for its next look
// at the time, unless something is told before.
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
