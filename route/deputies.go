package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Deputy is a node that may send requests to a server directly while the server's
// lessor is unreachable.
type Deputy struct {
	Node  topo.NodeID
	Slots int // most concurrent requests of this deputy at the server
}

// connectionsPerSlot is the number of connections that a server must accept for
// each slot of its deputies. The other connections are reserved for its lessor
// and standby lessor.
const connectionsPerSlot = 4

// singleSlotDeputies is the number of deputies besides the standby lessor. Each
// has one slot.
const singleSlotDeputies = 2

// Deputies lists the nodes that may send to a decision's server while its lessor
// is unreachable. The sum of their slots is at most the server's concurrency
// limit, regardless of the number of nodes. The standby lessor has all slots but a
// few, because a single queue leaves the fewest slots idle and the standby lessor
// is likely to be the next lessor. The remaining slots cover the loss of the
// standby lessor too. They go to nodes chosen by rendezvous hashing of node and
// server, so that adding or removing a node changes at most one of them. Without
// a standby lessor all slots go to such nodes.
func Deputies(view *state.View, d Decision) []Deputy {
	slots := deputySlots(d.Service)
	group, _ := view.Group(d.Group)
	standby, alive := view.Node(group.Standby)
	if !alive || slots == 0 || standby.ID == d.Lessor || view.NodeLost(standby.ID) {
		return firstNodes(view, d, slots, "")
	}
	singles := min(singleSlotDeputies, slots-1)
	list := []Deputy{{Node: standby.ID, Slots: slots - singles}}
	return append(list, firstNodes(view, d, singles, standby.ID)...)
}

// firstNodes lists the first n nodes in the rendezvous order of a decision's
// server, with one slot each. It skips the server's lessor, the excluded node and
// lost nodes.
func firstNodes(view *state.View, d Decision, n int, excluded topo.NodeID) []Deputy {
	if n == 0 {
		return nil
	}
	var first []ranked
	for id := range view.Nodes() {
		if id == d.Lessor || id == excluded || view.NodeLost(id) {
			continue
		}
		first = keepFirst(first, ranked{node: id, hash: deputyHash(id, d.Server)}, n)
	}
	deputies := make([]Deputy, len(first))
	for i, r := range first {
		deputies[i] = Deputy{Node: r.node, Slots: 1}
	}
	return deputies
}

// deputySlots returns the number of concurrent requests that all deputies
// together may have at a server.
func deputySlots(service *siteconfig.Service) int {
	slots := max(service.ConcurrencyPerServer, 1)
	if service.ConnectionsPerServer > 0 {
		slots = min(slots, service.ConnectionsPerServer/connectionsPerSlot)
	}
	return slots
}

// ranked is a node with its hash in the rendezvous order of one server.
type ranked struct {
	node topo.NodeID
	hash uint64
}

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(r.hash, other.hash), cmp.Compare(r.node, other.node))
}

// keepFirst inserts a node into a sorted list and truncates the list to n nodes.
func keepFirst(first []ranked, added ranked, n int) []ranked {
	index, _ := slices.BinarySearchFunc(first, added, ranked.compare)
	if index >= n {
		return first
	}
	first = slices.Insert(first, index, added)
	return first[:min(len(first), n)]
}

func deputyHash(node topo.NodeID, server topo.ServerID) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + string(server))
}

// BypassLessor returns the decision with a path that avoids an unreachable lessor.
// The path is direct if this node is a deputy. Otherwise it leads through a deputy,
// drawn with a probability proportional to its slots among the deputies that are
// not unavailable; uniform returns a random number in [0,1). The decision is
// unchanged if its path is not PathForward, if no deputy is available, or if the
// servers of a keyed service do not check fencing tokens, because then only the
// lessor may send.
func (d Decision) BypassLessor(view *state.View, self Self, unavailable func(topo.NodeID) bool, uniform func() float64) Decision {
	if d.Path != PathForward || (d.Service.Keyed && !d.Service.ChecksFencing) {
		return d
	}
	deputies := Deputies(view, d)
	for _, deputy := range deputies {
		if deputy.Node == self.Node {
			d.Path, d.Slots = PathDirect, deputy.Slots
			return d
		}
	}
	deputies = slices.DeleteFunc(deputies, func(deputy Deputy) bool { return unavailable(deputy.Node) })
	if len(deputies) == 0 {
		return d
	}
	d.Path, d.Deputy = PathDeputy, draw(deputies, uniform()).Node
	return d
}

// draw chooses a deputy with a probability proportional to its slots.
func draw(deputies []Deputy, uniform float64) Deputy {
	slots := 0
	for _, deputy := range deputies {
		slots += deputy.Slots
	}
	left := int(uniform * float64(slots))
	for _, deputy := range deputies {
		if left -= deputy.Slots; left < 0 {
			return deputy
		}
	}
	return deputies[len(deputies)-1]
}

// AsDeputy returns the direct decision for a request that another node forwarded
// to this node because it could not reach the given lessor. It returns false
// unless the decision has the same lessor and this node is a deputy.
func (d Decision) AsDeputy(view *state.View, self Self, lessor topo.NodeID) (Decision, bool) {
	if lessor == "" || lessor != d.Lessor {
		return d, false
	}
	allUnavailable := func(topo.NodeID) bool { return true }
	d = d.BypassLessor(view, self, allUnavailable, func() float64 { return 0 })
	return d, d.Path == PathDirect
}

// Next returns the node that the request is forwarded to, or an empty ID.
func (d Decision) Next() topo.NodeID {
	switch d.Path {
	case PathForward:
		return d.Lessor
	case PathDeputy:
		return d.Deputy
	}
	return ""
}
