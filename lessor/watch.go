package lessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Who watches a group's lessor and standby lessor, besides these two: so many
// nodes of the group's zone, and so many of the others.
const (
	watchersInside  = 2
	watchersOutside = 1
)

// maxTurnsInside is for how many nodes of the group's zone the others wait. A large
// zone that is silent as a whole must not delay them by a turn for each of its
// nodes; who claims too early costs a term, never safety.
const maxTurnsInside = 4

// probeFailures in a row make a node count as silent.
const probeFailures = 2

// outsiderPause is how long a node of another zone that lost the term does not
// claim it again, so that two zones that cannot reach each other, but both
// reach the log, do not take the term from each other in turn.
const outsiderPause = time.Minute

// watch is what this node found out about the group's lessor and standby lessor
// by asking them.
type watch struct {
	began     time.Duration
	nodes     map[topo.NodeID]*watched
	notBefore moment // no claim before
}

// watched is one node that is asked for signs of life.
type watched struct {
	askedAt  moment
	inFlight bool
	// firstUnanswered is when the first of the present row of probes without an
	// answer was begun.
	firstUnanswered moment
	lastReply       moment
	failures        int
	replaced        moment // another run answered
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

// unresponsiveSince returns since when a node has given no sign of life, if it is
// silent: at most lag before it was first asked in vain, since it may have been
// asked seldom before.
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

// failed reports whether the latest probe of a node got no answer, or one of
// another run.
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

// ProbeAnswered tells that a run of a node answered a probe.
func (m *Member) ProbeAnswered(now time.Duration, run Run) {
	known := m.watch.node(run.Node)
	known.inFlight = false
	m.unresponsive = m.unresponsive.without(run)
	if run != m.namedRun(run.Node) {
		known.replaced = momentAt(now)
		return
	}
	known.failures = 0
	known.lastReply = momentAt(now)
}

// ProbeFailed tells that a probe got no answer.
func (m *Member) ProbeFailed(id topo.NodeID) {
	known := m.watch.node(id)
	known.inFlight = false
	known.failures++
	if known.failures >= probeFailures {
		m.recordUnresponsive(id)
	}
}

// recordUnresponsive notes that the run of a node that the group names is silent.
func (m *Member) recordUnresponsive(id topo.NodeID) {
	if run := m.namedRun(id); run.Node != "" {
		m.unresponsive = m.unresponsive.with(run)
	}
}

// namedRun returns the run of a node that the group names, of no node if it does
// not name the node.
func (m *Member) namedRun(id topo.NodeID) Run {
	group := m.facts.Group
	switch id {
	case group.Standby:
		return m.standbyRun()
	case group.Lessor:
		return Run{Node: group.Lessor, Boot: group.LessorBoot}
	}
	return Run{}
}

// isOutsider reports whether this node is not of the group's zone.
func (m *Member) isOutsider() bool { return m.cfg.Zone != m.cfg.Group.Zone() }

// order sorts nodes by their turn in the group.
func (m *Member) order(list []state.Node) {
	slices.SortFunc(list, func(a, b state.Node) int { return m.rankOf(a).compare(m.rankOf(b)) })
}

// rank is what decides a node's turn: nodes of the zone first, each by its
// weight.
type rank struct {
	outside bool
	weight  uint64
	id      topo.NodeID
}

func (m *Member) rankOf(n state.Node) rank {
	return rank{outside: n.Zone != m.cfg.Group.Zone(), weight: m.weight(n.ID), id: n.ID}
}

// compare is below 0 if it is the turn of a before that of b.
func (a rank) compare(b rank) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.outside), boolRank(b.outside)),
		cmp.Compare(b.weight, a.weight),
		cmp.Compare(a.id, b.id),
	)
}

// weight spreads the groups of a zone over its nodes (rendezvous hashing).
func (m *Member) weight(id topo.NodeID) uint64 {
	return xxhash.Sum64String(string(m.cfg.Group) + "\x00" + string(id))
}

// turn returns this node's place among the nodes that may become the group's
// lessor, which stand in for each other in the order of their ranks, and
// whether it is one of the few that watch. The present lessor and standby
// lessor have no place.
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

// selfListed returns this node as the facts list it, unless it is the lessor or
// the standby lessor.
func (m *Member) selfListed() (state.Node, bool) {
	for _, n := range m.facts.Nodes {
		if n.ID == m.cfg.Node {
			return n, !m.named(n)
		}
	}
	return state.Node{}, false
}

// named reports whether the group names this run of a node.
func (m *Member) named(n state.Node) bool {
	group := m.facts.Group
	run := Run{Node: n.ID, Boot: n.Boot}
	return run == Run{Node: group.Lessor, Boot: group.LessorBoot} || run == m.standbyRun()
}
