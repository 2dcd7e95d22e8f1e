package serverhttp

import (
	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	// controlReserve is the number of connections reserved at every server for the
	// calls of lessors: two lessors, one renewal and one acknowledgement each.
	controlReserve = 4
	// connectionsPerSlot is the number of connections that a lessor may have for
	// each request that a server runs concurrently: the additional connections
	// carry bodies still in flight, or are being closed.
	connectionsPerSlot = 4
	// directConnections is the number of connections of a node to a server of
	// another lessor, for use while that lessor is unreachable.
	directConnections = 1
	// unlimitedShare is a lessor's share if the site configuration has neither a
	// connection limit nor a concurrency limit.
	unlimitedShare = 64
)

// ConnectionShare returns the maximum number of connections for requests that a
// node may have open to a server, so that all nodes together stay within the
// server's limit.
//
// The lessor of the server's group is its admission point and gets most of the
// limit; so does the standby lessor, which takes over from the lessor while the
// log is unavailable. Each of the two gets at most half, because connections of
// the lessor may still be open when the standby lessor starts. Other nodes have
// one connection each, as many nodes as half of the limit allows; a hash of node
// and server selects them, so that the load on the server does not depend on the
// number of nodes.
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

// usableConnections returns a server's limit less the connections reserved for
// control calls.
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
		share = min(share, connectionsPerSlot*service.ConcurrencyPerServer)
	}
	return max(1, share)
}

// rankOf returns a node's rank among the nodes that are neither the lessor nor
// the standby lessor, in the order of a hash of node and server.
func rankOf(view *state.View, self topo.NodeID, group state.Group, server topo.ServerID) int {
	own := rankHash(self, server)
	rank := 0
	for id := range view.Nodes() {
		if id == self || id == group.Lessor || id == group.Standby {
			continue
		}
		hash := rankHash(id, server)
		if hash < own || (hash == own && id < self) {
			rank++
		}
	}
	return rank
}

func rankHash(node topo.NodeID, server topo.ServerID) uint64 {
	return xxhash.Sum64String(string(node) + "\x00" + string(server))
}
