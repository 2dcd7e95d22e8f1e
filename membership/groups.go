package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/topo"
)

// AssignGroup chooses the lessor group of a server among its zone's groups by
// rendezvous hashing. Every node computes the same group, and an additional group
// changes only the servers that are assigned to it.
func AssignGroup(zone topo.Zone, server topo.ServerID, perZone int) topo.GroupID {
	best := topo.MakeGroupID(zone, 0)
	highest := weight(best, server)
	for index := 1; index < perZone; index++ {
		group := topo.MakeGroupID(zone, index)
		if w := weight(group, server); w > highest {
			best, highest = group, w
		}
	}
	return best
}

func weight(group topo.GroupID, server topo.ServerID) uint64 {
	return xxhash.Sum64String(string(group) + "\x00" + string(server))
}
