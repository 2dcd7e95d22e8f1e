package follower

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// NodesPerRelay is the number of nodes of a zone per relay, so that the load of a
// relay does not grow with its zone.
const NodesPerRelay = 16

// RelayCount returns how many nodes of a zone read the log themselves: at least
// minRelays, or all of them if minRelays is 0.
func RelayCount(zoneNodes, minRelays int) int {
	if minRelays == 0 {
		return zoneNodes
	}
	needed := max(minRelays, (zoneNodes+NodesPerRelay-1)/NodesPerRelay)
	return min(needed, zoneNodes)
}

// relaysOf returns the zone's relays in a view, see relayOrder.
func relaysOf(view *state.View, zone topo.Zone, minRelays int) []topo.NodeID {
	ids := relayOrder(view, zone)
	return ids[:RelayCount(len(ids), minRelays)]
}

// relayOrder returns the zone's nodes in a view that are not confirmed to be lost.
// Nodes with the fewest roles of lessor and standby lessor come first, because
// these roles use bandwidth that a relay needs; ties are resolved by a rendezvous
// hash of zone and node. The first nodes are the zone's relays. Nodes with the same
// view agree; nodes with different views read the log more often or through each
// other, which only adds latency.
func relayOrder(view *state.View, zone topo.Zone) []topo.NodeID {
	var ids []topo.NodeID
	for id, node := range view.Nodes() {
		if node.Zone == zone && !view.NodeLost(id) {
			ids = append(ids, id)
		}
	}
	sortByWeight(ids, "relay#"+string(zone))
	busy := roleCounts(view)
	slices.SortStableFunc(ids, func(a, b topo.NodeID) int { return busy[a] - busy[b] })
	return ids
}

// roleCounts returns the number of groups of which each node is lessor or standby
// lessor.
func roleCounts(view *state.View) map[topo.NodeID]int {
	counts := map[topo.NodeID]int{}
	for _, group := range view.Groups() {
		counts[group.Lessor]++
		counts[group.Standby]++
	}
	return counts
}

// relaysFor returns the relays that a node of a zone may use, in its order of
// preference. The first relay is assigned round-robin, so that all relays serve
// about as many nodes; the rest follow in rendezvous order, so that the nodes of a
// lost relay spread over the others. A relay uses none.
func relaysFor(view *state.View, zone topo.Zone, minRelays int, node topo.NodeID) []topo.NodeID {
	ids := relayOrder(view, zone)
	relays := ids[:RelayCount(len(ids), minRelays)]
	index := slices.Index(ids, node)
	if len(relays) == 0 || index >= 0 && index < len(relays) {
		return nil
	}
	first := relays[max(index, 0)%len(relays)]
	rest := slices.DeleteFunc(slices.Clone(relays), func(id topo.NodeID) bool { return id == first })
	sortByWeight(rest, "follow#"+string(node))
	return append([]topo.NodeID{first}, rest...)
}

// sortByWeight sorts nodes in the rendezvous order of a role.
func sortByWeight(ids []topo.NodeID, role string) {
	weight := func(id topo.NodeID) uint64 { return xxhash.Sum64String(role + "#" + string(id)) }
	slices.SortFunc(ids, func(a, b topo.NodeID) int {
		if order := cmp.Compare(weight(b), weight(a)); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
}
