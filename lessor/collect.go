package lessor

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// collect returns the assignments that are due and allowed now, at most one
// record's worth, and the reason for the first one.
func (m *Member) collect(now time.Duration) ([]Assign, string) {
	var assigns []Assign
	var reason string
	add := func(a Assign, why string) bool {
		if why == "" {
			return true
		}
		assigns = append(assigns, a)
		if reason == "" {
			reason = why
		}
		return len(assigns) < maxAssignments
	}
	place := m.newPlacement()
	for _, id := range m.shardOrder() {
		a, why := m.changeOf(now, m.facts.Shards[id], place)
		if !add(a, why) {
			return assigns, reason
		}
	}
	for _, id := range m.splitOrder() {
		a, why := m.splitChange(now, m.moves[id], place)
		if !add(a, why) {
			break
		}
	}
	return assigns, reason
}

// shardOrder returns the group's shards in a fixed order. The list is built once
// per Facts and must not be modified.
func (m *Member) shardOrder() []topo.ShardID {
	if m.shardsFrom == m.facts {
		return m.shards
	}
	order := make([]topo.ShardID, 0, len(m.facts.Shards))
	for id := range m.facts.Shards {
		order = append(order, id)
	}
	slices.SortFunc(order, compareShards)
	m.shards, m.shardsFrom = order, m.facts
	return order
}

func (m *Member) splitOrder() []topo.ShardID {
	var order []topo.ShardID
	for id, mv := range m.moves {
		if mv.split && !mv.submitted {
			order = append(order, id)
		}
	}
	slices.SortFunc(order, compareShards)
	return order
}

// changeOf returns the change that one shard needs and the reason; an empty
// reason means that none is needed.
func (m *Member) changeOf(now time.Duration, shard Shard, place *placement) (Assign, string) {
	if !m.isSettled(shard) {
		return Assign{}, ""
	}
	if n, needed := m.needs[shard.Shard]; needed {
		return m.changeNeeded(now, shard, n, place)
	}
	if a, active := m.activated[shard.Shard]; active {
		return m.changeActivated(now, shard, a, place)
	}
	if why := m.ownerEnded(now, shard); why != "" {
		return m.reassign(shard, shard.Standby, place, why)
	}
	if mv, moving := m.moves[shard.Shard]; moving && !mv.submitted {
		return m.changeMoved(now, shard, mv, place)
	}
	if shard.OwnerBoot == "" && m.serves(shard.Owner) {
		return m.assign(shard, shard.Owner, place), reasonBind
	}
	if m.submit.undecided[shard.Shard].unknown && m.ownerIsCurrent(shard) {
		return m.assign(shard, shard.Owner, place), reasonDecide
	}
	return Assign{}, ""
}

// ownerIsCurrent reports whether the owner's incarnation that the fence belongs to
// is the one observed last.
func (m *Member) ownerIsCurrent(shard Shard) bool {
	s, known := m.servers[shard.Owner]
	return known && s.boot() != "" && s.boot() == shard.OwnerBoot
}

// ownerEnded returns the reason why a shard's owner no longer serves it; empty
// if it may still serve it.
func (m *Member) ownerEnded(now time.Duration, shard Shard) string {
	if m.serverDown(now, shard.Owner) && m.mayReplace(shard) {
		return reasonLost
	}
	s, known := m.servers[shard.Owner]
	if !known || s.boot() == "" || shard.OwnerBoot == "" {
		return ""
	}
	if s.boot() != shard.OwnerBoot && now >= s.earlierLeasesEnd {
		return reasonRestarted
	}
	return ""
}

// mayReplace reports whether an unresponsive owner may be replaced: an owner
// that does not check fencing may still be serving.
func (m *Member) mayReplace(shard Shard) bool { return m.mayReplaceServer(shard.Policy, shard.Owner) }

func (m *Member) mayReplaceServer(policy *Policy, id topo.ServerID) bool {
	return policy.ChecksFencing || policy.AcceptUnfenced || m.confirmedLost(id)
}

// unresponsiveServer reports whether a server has never answered this lessor, or has
// stopped answering.
func (m *Member) unresponsiveServer(id topo.ServerID) bool {
	s, known := m.servers[id]
	return !known || s.boot() == "" || s.suspected()
}

// free reports whether the owner of a shard can no longer hold a lease of it.
func (m *Member) free(now time.Duration, shard Shard) bool {
	return m.serverFree(now, shard.Owner, shard.Shard)
}

// serverFree reports whether a server can no longer hold a lease of a settled
// shard.
func (m *Member) serverFree(now time.Duration, id topo.ServerID, shard topo.ShardID) bool {
	s, exists := m.servers[id]
	if !exists || m.confirmedLost(id) {
		return true
	}
	return now >= s.earlierLeasesEnd && (s.expired(now) || s.released(shard))
}

// changeNeeded gives a shard of an earlier term a new fence. No lessor can
// grant it any longer to either of the two servers that may have held it. A
// lease that one of them reported must have ended, unless that server becomes
// the owner.
func (m *Member) changeNeeded(now time.Duration, shard Shard, n need, place *placement) (Assign, string) {
	to := place.owner(shard.Shard.Service, n.to)
	if to == "" || (to != n.to && m.unresponsiveServer(n.to) && !m.mayReplaceServer(shard.Policy, n.to)) {
		return Assign{}, ""
	}
	for _, id := range []topo.ServerID{shard.Owner, shard.Standby} {
		if id != "" && id != to && !m.serverFree(now, id, shard.Shard) && !m.reportsInactive(id, shard) {
			return Assign{}, ""
		}
	}
	a := m.assign(shard, to, place)
	a.StandbyWasActive = n.wasActive
	return a, reasonTakeover
}

// reportsInactive reports whether a shard's standby server has stated that its current
// incarnation was not activated, so that it holds no lease of the shard, and rejects
// grants of earlier lessors.
func (m *Member) reportsInactive(id topo.ServerID, shard Shard) bool {
	return id == shard.Standby && m.answersFor(id, shard.Policy) && !m.reportsActive(shard)
}

// changeActivated records a standby server that was activated without the log,
// or reassigns the shard if that server's incarnation has ended.
func (m *Member) changeActivated(now time.Duration, shard Shard, active *activation, place *placement) (Assign, string) {
	if !m.free(now, shard) {
		return Assign{}, ""
	}
	s, known := m.servers[active.server]
	if known && s.boot() == active.boot && !m.serverDown(now, active.server) {
		a := m.assign(shard, active.server, place)
		a.StandbyWasActive = active.granted
		return a, reasonActivated
	}
	if !m.serverFree(now, active.server, shard.Shard) {
		return Assign{}, ""
	}
	a, why := m.reassign(shard, shard.Owner, place, reasonActivated)
	a.StandbyWasActive = active.granted
	return a, why
}

// changeMoved completes a planned move once the owner has released the shard.
func (m *Member) changeMoved(now time.Duration, shard Shard, mv *move, place *placement) (Assign, string) {
	if mv.revokes() && !m.free(now, shard) {
		return Assign{}, ""
	}
	if mv.sameOwner && !m.ownerIsCurrent(shard) {
		return Assign{}, ""
	}
	if mv.release {
		return Assign{Shard: shard.Shard, Expected: shard.Fence}, reasonRelease
	}
	if mv.Merge {
		a := Assign{Shard: shard.Shard, Expected: shard.Fence, Owner: shard.Owner, OwnerBoot: shard.OwnerBoot, Merge: true}
		return a, reasonMove
	}
	if mv.sameOwner {
		shard.Standby = mv.Standby
		return m.assign(shard, shard.Owner, place), reasonMove
	}
	if mv.Standby != "" {
		shard.Standby = mv.Standby
	}
	return m.reassign(shard, mv.To, place, reasonMove)
}

// splitChange completes the split of a key once the hash range's owner rejects
// requests for it.
func (m *Member) splitChange(now time.Duration, mv *move, place *placement) (Assign, string) {
	covering, exists := m.facts.Shards[rangeOf(mv.Shard)]
	if !exists || !m.isSettled(covering) || !m.serverFree(now, covering.Owner, mv.Shard) {
		return Assign{}, ""
	}
	split := covering
	split.Shard = mv.Shard
	split.Standby = mv.Standby
	return m.reassign(split, mv.To, place, reasonMove)
}

// reassign gives a free shard another owner: the preferred one if it is fit.
func (m *Member) reassign(shard Shard, preferred topo.ServerID, place *placement, why string) (Assign, string) {
	to := place.owner(shard.Shard.Service, preferred)
	if to == "" {
		return Assign{}, ""
	}
	return m.assign(shard, to, place), why
}

// assign builds one assignment. It names the owner's incarnation if that is
// known.
func (m *Member) assign(shard Shard, to topo.ServerID, place *placement) Assign {
	a := Assign{Shard: shard.Shard, Expected: shard.Fence, Owner: to}
	if s, known := m.servers[to]; known {
		a.OwnerBoot = s.boot()
	}
	a.Standby = place.standby(shard.Shard.Service, to, shard.Standby)
	return a
}
