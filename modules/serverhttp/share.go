package serverhttp

import (
	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// controlReserve is kept free at every server for the lessor's own calls:
	// two lessors, one call and one acknowledgement each.
	controlReserve = 4
	// perPlace is how many connections the lessor may have for each request
	// that a server runs at once: the rest carry bodies still on their way, or
	// are being closed.
	perPlace = 4
	// directConnections is how many connections a node has to the servers whose
	// lessor it is not, for use while that lessor cannot be reached.
	directConnections = 1
)

// ConnectionShare returns how many connections for requests a node may have open
// to a server, so that all nodes together stay within the server's limit.
//
// The lessor of the server's group is its admission point and gets nearly all.
// Of the other nodes, as many as half of the limit has room for may have one
// connection each, chosen by a hash of node and server, so that the number of
// nodes has no bearing on the server. A lessor's share is at most half of what
// is left, because the connections of the one before it may still be open.
func ConnectionShare(view *state.View, self topo.NodeID, server topo.ServerID) int {
	target, exists := view.Server(server)
	if !exists {
		return 0
	}
	service, exists := view.Service(target.Service)
	if !exists {
		return 0
	}
	usable := service.ConnectionsPerServer - controlReserve
	others := min(max(0, len(view.Nodes())-1), usable/2)
	group, _ := view.Group(target.Group)
	if group.Lessor == self {
		half := (usable - others*directConnections) / 2
		return max(1, min(half, perPlace*service.ConcurrencyPerServer))
	}
	if rankOf(view, self, group.Lessor, server) < others {
		return directConnections
	}
	return 0
}

// rankOf returns a node's place among those that are not the server's lessor,
// in the order of a hash of node and server.
func rankOf(view *state.View, self, lessor topo.NodeID, server topo.ServerID) int {
	own := placeHash(self, server)
	rank := 0
	for id := range view.Nodes() {
		if id == self || id == lessor {
			continue
		}
		hash := placeHash(id, server)
		if hash < own || (hash == own && id < self) {
			rank++
		}
	}
	return rank
}

func placeHash(node topo.NodeID, server topo.ServerID) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + string(server))
}
