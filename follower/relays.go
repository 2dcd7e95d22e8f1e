package follower

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// NodesPerRelay is for how many nodes of a zone there is one relay, so that
// what a relay answers does not grow with its zone.
const NodesPerRelay = 16

// RelayCount returns how many nodes of a zone read the log themselves, least of
// them at least; all of them when least is 0.
func RelayCount(zoneNodes, least int) int {
	if least == 0 {
		return zoneNodes
	}
	wanted := max(least, (zoneNodes+NodesPerRelay-1)/NodesPerRelay)
	return min(wanted, zoneNodes)
}

// relaysOf returns the zone's relays in a view: the first nodes by rendezvous
// of zone and node. Nodes with the same view agree; with different views they
// read the log more often or one through the other, which costs only time.
func relaysOf(view *state.View, zone topo.Zone, least int) []topo.NodeID {
	var ids []topo.NodeID
	for id, node := range view.Nodes() {
		if node.Zone == zone {
			ids = append(ids, id)
		}
	}
	sortByWeight(ids, "relay#"+string(zone))
	return ids[:RelayCount(len(ids), least)]
}

// preferred returns relays in the order in which a node asks them, which
// spreads the nodes over them.
func preferred(relays []topo.NodeID, node topo.NodeID) []topo.NodeID {
	ordered := slices.Clone(relays)
	sortByWeight(ordered, "follow#"+string(node))
	return ordered
}

// sortByWeight puts nodes in the rendezvous order of a role.
func sortByWeight(ids []topo.NodeID, role string) {
	weight := func(id topo.NodeID) uint64 { return xxhash.Sum64String(role + "#" + string(id)) }
	slices.SortFunc(ids, func(a, b topo.NodeID) int {
		if order := cmp.Compare(weight(b), weight(a)); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
}
