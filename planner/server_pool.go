package planner

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// serverPool contains one service's servers and the number of shards that each
// owns and is the standby of. The numbers include the effect of the plan so far.
type serverPool struct {
	view         *state.View
	service      *siteconfig.Service
	live         []state.Server // may be assigned shards; sorted by ID
	ownedCount   map[topo.ServerID]int
	standbyCount map[topo.ServerID]int
}

func newServerPool(view *state.View, service *siteconfig.Service) *serverPool {
	pool := &serverPool{
		view:         view,
		service:      service,
		ownedCount:   map[topo.ServerID]int{},
		standbyCount: map[topo.ServerID]int{},
	}
	for id, server := range view.Servers() {
		if server.Service == service.Name && usable(view, id, server) {
			pool.live = append(pool.live, server)
		}
	}
	slices.SortFunc(pool.live, func(x, y state.Server) int { return compare(x.ID, y.ID) })
	view.EachShard(service.Name, func(a state.Assignment) bool {
		pool.ownedCount[a.Owner]++
		pool.standbyCount[a.Standby]++
		return true
	})
	return pool
}

// usable reports whether a server belongs to the service and may be assigned
// shards.
func (pool *serverPool) usable(id topo.ServerID) bool {
	server, exists := pool.view.Server(id)
	return exists && server.Service == pool.service.Name && usable(pool.view, id, server)
}

// proximity ranks standby servers by their distance from the owner. A standby in
// the owner's group can be activated by the owner's pair of lessors, even while
// the zone is partitioned from the log. A standby in another group of the owner's
// zone may still be reachable then. A standby in another zone can serve only
// while the zones can reach each other.
type proximity int

const (
	sameGroup proximity = iota
	sameZone
	otherZone
)

func proximityOf(owner, other state.Server) proximity {
	switch {
	case owner.Group == other.Group:
		return sameGroup
	case owner.Zone == other.Zone:
		return sameZone
	}
	return otherZone
}

// chooseStandby returns the closest live server other than the owner and adds the
// choice to the standby counts. Among equally close servers it prefers the one
// that is the standby of the fewest shards, then the one that owns the fewest.
// The result is empty if there is no other live server.
func (pool *serverPool) chooseStandby(ownerID topo.ServerID) topo.ServerID {
	owner, _ := pool.view.Server(ownerID)
	var best *state.Server
	for i := range pool.live {
		if pool.live[i].ID != ownerID && (best == nil || pool.closer(owner, pool.live[i], *best)) {
			best = &pool.live[i]
		}
	}
	if best == nil {
		return ""
	}
	pool.standbyCount[best.ID]++
	return best.ID
}

func (pool *serverPool) closer(owner, x, than state.Server) bool {
	if nx, nt := proximityOf(owner, x), proximityOf(owner, than); nx != nt {
		return nx < nt
	}
	if pool.standbyCount[x.ID] != pool.standbyCount[than.ID] {
		return pool.standbyCount[x.ID] < pool.standbyCount[than.ID]
	}
	return pool.ownedCount[x.ID] < pool.ownedCount[than.ID]
}

// standbyAfterMove returns the standby of a shard that moves. It prefers the
// previous owner, because that server still has the shard's state, then the
// current standby, if the server is usable and in the new owner's group.
// Otherwise it chooses a new standby.
func (pool *serverPool) standbyAfterMove(current state.Assignment, to topo.ServerID) topo.ServerID {
	previous, _ := pool.view.Server(current.Owner)
	next, _ := pool.view.Server(to)
	if current.Owner != to && pool.usable(current.Owner) && proximityOf(next, previous) == sameGroup {
		pool.standbyCount[current.Owner]++
		return current.Owner
	}
	if current.Standby != to && pool.usable(current.Standby) {
		if standby, _ := pool.view.Server(current.Standby); proximityOf(next, standby) == sameGroup {
			return current.Standby
		}
	}
	return pool.chooseStandby(to)
}
