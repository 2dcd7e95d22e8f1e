package serverhttp

import (
	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// controlReserve is kept free at every server for the lessor's own calls:
	// two lessors, one renewal and one acknowledgement each.
	controlReserve = 4
	// perPlace is how many connections a lessor may have for each request that
	// a server runs at once: the others carry bodies that are still on their
	// way, or are being closed.
	perPlace = 4
	// directConnections is how many connections a node has to the servers whose
	// lessor it is not, for use while that lessor cannot be reached.
	directConnections = 1
	// unlimitedShare is a lessor's share where the site configuration names
	// neither a connection limit nor a concurrency limit.
	unlimitedShare = 64
)

// ConnectionShare returns how many connections for requests a node may have open
// to a server, so that all nodes together stay within the server's limit.
//
// The lessor of the server's group is its admission point and gets nearly all;
// so does the standby lessor, which goes on in the lessor's place while the log
// is away. Each of the two has at most half, since the connections of the one
// may still be open when the other begins. Of the other nodes, as many as half
// of the limit has room for may have one connection each, chosen by a hash of
// node and server, so that the number of nodes has no bearing on the server.
func ConnectionShare(view *state.View, self topo.NodeID, server topo.ServerID) int {
	target, exists := view.Server(server)
	if !exists {
		return 0
	}
	service, exists := view.Service(target.Service)
	if !exists {
		return 0
	}
	group, _ := view.Group(target.Group)
	usable := usableConnections(service)
	others := min(len(view.Nodes()), usable/2)
	if self == group.Lessor || self == group.Standby {
		return lessorShare(service, usable-others*directConnections)
	}
	if rankOf(view, self, group, server) < others {
		return directConnections
	}
	return 0
}

// usableConnections returns a server's limit without what is kept for control
// calls.
func usableConnections(service *siteconfig.Service) int {
	limit := service.ConnectionsPerServer
	if limit <= 0 {
		return 2 * unlimitedShare
	}
	return limit - min(controlReserve, limit/2)
}

func lessorShare(service *siteconfig.Service, left int) int {
	share := left / 2
	if service.ConcurrencyPerServer > 0 {
		share = min(share, perPlace*service.ConcurrencyPerServer)
	}
	return max(1, share)
}

// rankOf returns a node's place among those that are neither the lessor nor the
// standby lessor, in the order of a hash of node and server.
func rankOf(view *state.View, self topo.NodeID, group state.Group, server topo.ServerID) int {
	own := placeHash(self, server)
	rank := 0
	for id := range view.Nodes() {
		if id == self || id == group.Lessor || id == group.Standby {
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
