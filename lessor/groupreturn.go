package lessor

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/state"
)

// A lessor of another zone, which claimed a group because the nodes of the
// group's zone were unresponsive, returns it through a standby lessor of that
// zone: it names one as soon as a node of the zone answers, and then asks it to
// take over.

// shouldReturnGroup reports whether a lessor of another zone should hand the group
// over to the standby lessor of the group's own zone.
func (m *Member) shouldReturnGroup(now time.Duration) bool {
	return m.isOutsider() && m.termSettled() && m.standbyInside() && m.right.promise.fresher(now, m.cfg.Lease.TTL)
}

// returnDue reports whether a lessor of another zone should name a standby lessor
// of the group's own zone, because a node of that zone answers again.
func (m *Member) returnDue(now time.Duration) bool {
	if !m.awaitsReturn() || m.claim.returnedAt.fresher(now, outsiderPause) {
		return false
	}
	return slices.ContainsFunc(m.nodesInside(), func(n state.Node) bool { return m.unresponsive.rank(nodeIncarnation(n)) == 0 })
}

// planReturn probes the unresponsive nodes of the group's zone.
func (m *Member) planReturn(now time.Duration, actions []Action) []Action {
	if !m.awaitsReturn() {
		return actions
	}
	for _, n := range m.nodesInside() {
		if m.unresponsive.rank(nodeIncarnation(n)) > 0 {
			actions = m.planProbe(now, n.ID, m.cfg.StandInAfter, actions)
		}
	}
	return actions
}

// awaitsReturn reports whether this is a settled lessor of another zone whose
// standby lessor belongs to another zone too.
func (m *Member) awaitsReturn() bool {
	return m.role == RoleLessor && !m.offLog && m.isOutsider() && m.termSettled() && !m.standbyInside()
}

func (m *Member) standbyInside() bool {
	standby := m.standbyIncarnation()
	return slices.ContainsFunc(m.nodesInside(), func(n state.Node) bool { return n.ID == standby.Node })
}

// nodesInside returns the nodes of the group's zone in the order of their
// turns.
func (m *Member) nodesInside() []state.Node {
	var list []state.Node
	for _, n := range m.facts.Nodes {
		if n.Zone == m.cfg.Group.Zone() {
			list = append(list, n)
		}
	}
	m.order(list)
	return list
}

func nodeIncarnation(n state.Node) Incarnation { return Incarnation{Node: n.ID, Boot: n.Boot} }
