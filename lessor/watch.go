package lessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Number of nodes that watch a group's lessor and standby lessor, besides these
// two: nodes of the group's zone, and nodes of other zones.
const (
	watchersInside  = 2
	watchersOutside = 1
)

// maxTurnsInside bounds the number of nodes of the group's zone that nodes of other
// zones wait for. A large zone that is unresponsive as a whole must not delay them
// by a turn for each of its nodes; a claim that is too early costs a term, but
// never safety.
const maxTurnsInside = 4

// probeFailures is the number of consecutive failed probes after which a node
// is treated as unresponsive.
const probeFailures = 2

// outsiderPause is how long a node of another zone that lost the term waits
// before it claims again, so that two zones that cannot reach each other, but
// both reach the log, do not take the term from each other in turn.
const outsiderPause = time.Minute

// watch is what this node has observed of the group's lessor and standby lessor
// by probing them.
type watch struct {
	began     time.Duration
	nodes     map[topo.NodeID]*watched
	notBefore moment // earliest time of the next claim
}

// watched is the probe state of one node.
type watched struct {
	askedAt  moment
	inFlight bool
	// firstUnanswered is the start time of the first of the consecutive probes
	// without a reply.
	firstUnanswered moment
	lastReply       moment
	failures        int
	replaced        moment // time at which another incarnation replied
}

// next returns the watch for a new term.
func (w watch) next(now time.Duration, lostByOutsider bool) watch {
	fresh := watch{began: now, nodes: map[topo.NodeID]*watched{}, notBefore: w.notBefore}
	if lostByOutsider {
		fresh.notBefore = momentAt(now + outsiderPause)
	}
	return fresh
}

func (w *watch) node(id topo.NodeID) *watched {
	known, exists := w.nodes[id]
	if !exists {
		known = &watched{}
		w.nodes[id] = known
	}
	return known
}

// unresponsiveSince returns the time from which a node is unresponsive, if it is.
// That time is at most lag before the first failed probe, because earlier probes
// may have been rare.
func (w *watch) unresponsiveSince(id topo.NodeID, lag time.Duration) (time.Duration, bool) {
	known, exists := w.nodes[id]
	if !exists {
		return 0, false
	}
	if known.replaced.set {
		return known.replaced.at, true
	}
	since := max(w.began, known.lastReply.at, known.firstUnanswered.at-lag)
	return since, known.failures >= probeFailures
}

// failed reports whether the latest probe of a node failed or was answered by
// another incarnation.
func (w *watch) failed(id topo.NodeID) bool {
	known, exists := w.nodes[id]
	return exists && (known.replaced.set || known.failures > 0)
}

// BeginProbe starts a probe of a node.
func (m *Member) BeginProbe(now time.Duration, id topo.NodeID) {
	known := m.watch.node(id)
	known.askedAt = momentAt(now)
	known.inFlight = true
	if known.failures == 0 {
		known.firstUnanswered = known.askedAt
	}
}

// ProbeAnswered reports that an incarnation of a node answered a probe.
func (m *Member) ProbeAnswered(now time.Duration, run Incarnation) {
	known := m.watch.node(run.Node)
	known.inFlight = false
	m.unresponsive = m.unresponsive.without(run)
	if run != m.namedIncarnation(run.Node) {
		known.replaced = momentAt(now)
		return
	}
	known.failures = 0
	known.lastReply = momentAt(now)
}

// ProbeFailed reports that a probe got no reply.
func (m *Member) ProbeFailed(id topo.NodeID) {
	known := m.watch.node(id)
	known.inFlight = false
	known.failures++
	if known.failures >= probeFailures {
		m.recordUnresponsive(id)
	}
}

// recordUnresponsive records that the incarnation of a node that the group names
// is unresponsive.
func (m *Member) recordUnresponsive(id topo.NodeID) {
	if run := m.namedIncarnation(id); run.Node != "" {
		m.unresponsive = m.unresponsive.with(run)
	}
}

// namedIncarnation returns the incarnation of a node that the group names; its node is
// empty if the group does not name the node.
func (m *Member) namedIncarnation(id topo.NodeID) Incarnation {
	group := m.facts.Group
	switch id {
	case group.Standby:
		return m.standbyIncarnation()
	case group.Lessor:
		return Incarnation{Node: group.Lessor, Boot: group.LessorBoot}
	}
	return Incarnation{}
}

// isOutsider reports whether this node belongs to another zone than the group.
func (m *Member) isOutsider() bool { return m.cfg.Zone != m.cfg.Group.Zone() }

// order sorts nodes by their turn in the group.
func (m *Member) order(list []state.Node) {
	slices.SortFunc(list, func(a, b state.Node) int { return m.rankOf(a).compare(m.rankOf(b)) })
}

// rank determines a node's turn: nodes of the group's zone come first, then the
// order is by weight.
type rank struct {
	outside bool
	weight  uint64
	id      topo.NodeID
}

func (m *Member) rankOf(n state.Node) rank {
	return rank{outside: n.Zone != m.cfg.Group.Zone(), weight: m.weight(n.ID), id: n.ID}
}

// compare returns a number below 0 if the turn of a is before that of b.
func (a rank) compare(b rank) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.outside), boolRank(b.outside)),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.id, b.id),
	)
}

// weight distributes the groups of a zone over its nodes by rendezvous hashing.
func (m *Member) weight(id topo.NodeID) uint64 {
	return xxhash.Sum64String(string(m.cfg.Group) + "\x00" + string(id))
}

// turn returns this node's position among the candidates for the group's next
// lessor, which claim in the order of their ranks, and whether it is one of the
// few watchers. The current lessor and standby lessor are no candidates.
func (m *Member) turn() (place int, watches bool) {
	self, listed := m.selfListed()
	if !listed {
		return -1, false
	}
	own := m.rankOf(self)
	inside, outside := 0, 0
	for _, n := range m.facts.Nodes {
		switch {
		case m.named(n) || m.rankOf(n).compare(own) >= 0:
		case n.Zone == m.cfg.Group.Zone():
			inside++
		default:
			outside++
		}
	}
	if own.outside {
		return min(inside, maxTurnsInside) + outside, outside < watchersOutside
	}
	return inside, inside < watchersInside
}

// selfListed returns the entry of this node in the facts, unless it is the
// lessor or the standby lessor.
func (m *Member) selfListed() (state.Node, bool) {
	for _, n := range m.facts.Nodes {
		if n.ID == m.cfg.Node {
			return n, !m.named(n)
		}
	}
	return state.Node{}, false
}

// named reports whether the group names this incarnation of a node.
func (m *Member) named(n state.Node) bool {
	group := m.facts.Group
	run := Incarnation{Node: n.ID, Boot: n.Boot}
	return run == Incarnation{Node: group.Lessor, Boot: group.LessorBoot} || run == m.standbyIncarnation()
}
