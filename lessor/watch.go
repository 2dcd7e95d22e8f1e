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
	asked    moment
	inFlight bool
	heard    moment
	failures int
	replaced moment // another run answered
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

// silentSince returns since when a node has given no sign of life, if it is
// silent.
func (w *watch) silentSince(id topo.NodeID) (time.Duration, bool) {
	known, exists := w.nodes[id]
	if !exists {
		return 0, false
	}
	if known.replaced.set {
		return known.replaced.at, true
	}
	since := max(w.began, known.heard.at)
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
	known.asked = momentAt(now)
	known.inFlight = true
}

// ProbeAnswered tells that a run of a node answered a probe.
func (m *Member) ProbeAnswered(now time.Duration, run Run) {
	known := m.watch.node(run.Node)
	known.inFlight = false
	group := m.facts.Group
	expected := Run{Node: group.Lessor, Boot: group.LessorBoot}
	if run.Node == group.Standby {
		expected = m.standbyRun()
	}
	if run != expected {
		known.replaced = momentAt(now)
		return
	}
	known.failures = 0
	known.heard = momentAt(now)
}

// ProbeFailed tells that a probe got no answer.
func (m *Member) ProbeFailed(id topo.NodeID) {
	known := m.watch.node(id)
	known.inFlight = false
	known.failures++
}

// isOutsider reports whether this node is not of the group's zone.
func (m *Member) isOutsider() bool { return m.cfg.Zone != m.cfg.Group.Zone() }

// candidates lists the nodes that may become the group's lessor, in the order
// in which they stand in for each other: nodes of the zone first, each by its
// weight, without the present lessor and standby lessor.
func (m *Member) candidates() []state.Node {
	group := m.facts.Group
	list := make([]state.Node, 0, len(m.facts.Nodes))
	for _, n := range m.facts.Nodes {
		run := Run{Node: n.ID, Boot: n.Boot}
		named := run == Run{Node: group.Lessor, Boot: group.LessorBoot} || run == m.standbyRun()
		if !named {
			list = append(list, n)
		}
	}
	m.order(list)
	return list
}

func (m *Member) order(list []state.Node) {
	zone := m.cfg.Group.Zone()
	slices.SortFunc(list, func(a, b state.Node) int {
		return cmp.Or(
			cmp.Compare(boolRank(a.Zone != zone), boolRank(b.Zone != zone)),
			cmp.Compare(m.weight(b.ID), m.weight(a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// weight spreads the groups of a zone over its nodes (rendezvous hashing).
func (m *Member) weight(id topo.NodeID) uint64 {
	return xxhash.Sum64String(string(m.cfg.Group) + "\x00" + string(id))
}

// turn returns this node's place among the candidates, and whether it is one of
// the few that watch.
func (m *Member) turn() (place int, watches bool) {
	zone := m.cfg.Group.Zone()
	inside, outside := 0, 0
	for i, n := range m.candidates() {
		counter, limit := &outside, watchersOutside
		if n.Zone == zone {
			counter, limit = &inside, watchersInside
		}
		if n.ID == m.cfg.Node {
			return i, *counter < limit
		}
		*counter++
	}
	return -1, false
}
