package planner

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// board is one service's servers with what each owns and stands by for, as it
// will be once the plan is carried out.
type board struct {
	view    *state.View
	service *siteconfig.Service
	live    []state.Server // may get new work, by ID
	owned   map[topo.ServerID]int
	standby map[topo.ServerID]int
}

func newBoard(view *state.View, service *siteconfig.Service) *board {
	b := &board{
		view:    view,
		service: service,
		owned:   map[topo.ServerID]int{},
		standby: map[topo.ServerID]int{},
	}
	for id, server := range view.Servers() {
		if server.Service == service.Name && usable(view, id, server) {
			b.live = append(b.live, server)
		}
	}
	slices.SortFunc(b.live, func(x, y state.Server) int { return compare(x.ID, y.ID) })
	view.EachShard(service.Name, func(a state.Assignment) bool {
		b.owned[a.Owner]++
		b.standby[a.Standby]++
		return true
	})
	return b
}

// usable reports whether a server of the service may get new work.
func (b *board) usable(id topo.ServerID) bool {
	server, exists := b.view.Server(id)
	return exists && server.Service == b.service.Name && usable(b.view, id, server)
}

// nearness orders standby servers: one in the owner's group can be activated
// by the pair of lessors that the owner has, also while the zone is cut off
// from the log; one in the owner's zone may be reached then; one elsewhere
// serves only while the zones can reach each other.
type nearness int

const (
	sameGroup nearness = iota
	sameZone
	elsewhere
)

func near(owner, other state.Server) nearness {
	switch {
	case owner.Group == other.Group:
		return sameGroup
	case owner.Zone == other.Zone:
		return sameZone
	}
	return elsewhere
}

// chooseStandby returns the nearest live server beside the owner, and among
// equally near ones the one that stands by for least; empty when there is none.
// It counts the choice.
func (b *board) chooseStandby(ownerID topo.ServerID) topo.ServerID {
	owner, _ := b.view.Server(ownerID)
	var best *state.Server
	for i := range b.live {
		if b.live[i].ID != ownerID && (best == nil || b.better(owner, b.live[i], *best)) {
			best = &b.live[i]
		}
	}
	if best == nil {
		return ""
	}
	b.standby[best.ID]++
	return best.ID
}

func (b *board) better(owner, x, than state.Server) bool {
	if nx, nt := near(owner, x), near(owner, than); nx != nt {
		return nx < nt
	}
	if b.standby[x.ID] != b.standby[than.ID] {
		return b.standby[x.ID] < b.standby[than.ID]
	}
	return b.owned[x.ID] < b.owned[than.ID]
}

// standbyAfterMove returns the standby of a shard that moves: its earlier owner
// if that stays and is in the new owner's group, since it has the state still,
// else a new choice.
func (b *board) standbyAfterMove(current state.Assignment, to topo.ServerID) topo.ServerID {
	previous, _ := b.view.Server(current.Owner)
	next, _ := b.view.Server(to)
	if current.Owner != to && b.usable(current.Owner) && near(next, previous) == sameGroup {
		b.standby[current.Owner]++
		return current.Owner
	}
	if current.Standby != to && b.usable(current.Standby) {
		if standby, _ := b.view.Server(current.Standby); near(next, standby) == sameGroup {
			return current.Standby
		}
	}
	return b.chooseStandby(to)
}
