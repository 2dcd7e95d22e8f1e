package planner

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// serverPool is one service's servers with what each owns and stands by for, as it
// will be once the plan is carried out.
type serverPool struct {
	view         *state.View
	service      *siteconfig.Service
	live         []state.Server // may get new work, by ID
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

// usable reports whether a server of the service may get new work.
func (pool *serverPool) usable(id topo.ServerID) bool {
	server, exists := pool.view.Server(id)
	return exists && server.Service == pool.service.Name && usable(pool.view, id, server)
}

// proximity orders standby servers: one in the owner's group can be activated
// by the pair of lessors that the owner has, also while the zone is cut off
// from the log; one in the owner's zone may be reached then; one elsewhere
// serves only while the zones can reach each other.
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

// chooseStandby returns the nearest live server beside the owner, and among
// equally near ones the one that stands by for least; empty when there is none.
// It counts the choice.
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

// standbyAfterMove returns the standby of a shard that moves: its earlier owner
// if that stays and is in the new owner's group, since it has the state still,
// else a new choice.
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
