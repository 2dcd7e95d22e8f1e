package lessor

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// move is a planned change of a shard.
type move struct {
	Move
	began     time.Duration
	submitted bool // its record is in flight
	release   bool // the shard is left without an owner
	split     bool // the shard is a key that is not split out yet
	sameOwner bool // only the standby server or the key's entry changes
}

// revokes reports whether the owner must release the shard first.
func (mv *move) revokes() bool { return !mv.sameOwner && !mv.split }

// RequestMove requests planned moves and returns how many were accepted.
func (m *Member) RequestMove(now time.Duration, moves []Move) int {
	if m.role != RoleLessor {
		return 0
	}
	accepted := 0
	for _, requested := range moves {
		if m.requestMove(now, requested) {
			accepted++
		}
	}
	return accepted
}

func (m *Member) requestMove(now time.Duration, requested Move) bool {
	id := requested.Shard
	if requested.Fence != m.inForce(id) || requested.Fence.IsZero() || m.isUndecided(id) {
		return false
	}
	if _, moving := m.moves[id]; moving || m.isActivated(id) {
		return false
	}
	mv := &move{Move: requested, began: now}
	shard, exists := m.facts.Shards[id]
	if !exists {
		// inForce has found the hash range that the key is split out of.
		mv.split = true
		shard = m.facts.Shards[rangeOf(id)]
	}
	if !m.isSettled(shard) || m.needsNewFence(shard.Shard) {
		return false
	}
	if requested.To == "" && !requested.Merge {
		return m.requestRelease(mv, shard)
	}
	if requested.Merge {
		return m.requestMerge(mv, shard)
	}
	if requested.To == "" || !m.canTake(id.Service, requested.To) {
		return false
	}
	mv.sameOwner = requested.To == shard.Owner && !mv.split
	if mv.sameOwner && (requested.Standby == "" || requested.Standby == shard.Standby) {
		return false
	}
	m.startMove(mv, shard)
	return true
}

// requestRelease leaves a shard without an owner if its service was removed
// from the configuration.
func (m *Member) requestRelease(mv *move, shard Shard) bool {
	if mv.split || !shard.Policy.Retiring {
		return false
	}
	mv.release = true
	m.startMove(mv, shard)
	return true
}

// requestMerge returns a split key to its hash range. Both must have the same
// owner; if the owners differ, the key is moved to the range's owner first, and
// the merge must be requested again.
func (m *Member) requestMerge(mv *move, shard Shard) bool {
	if mv.split || mv.Shard.Key == "" {
		return false
	}
	covering, here := m.facts.Shards[rangeOf(mv.Shard)]
	mv.sameOwner = here && covering.Owner == shard.Owner
	if !mv.sameOwner {
		mv.Merge = false
		if mv.To == "" || mv.To == shard.Owner || !m.canTake(mv.Shard.Service, mv.To) {
			return false
		}
	}
	m.startMove(mv, shard)
	return true
}

// startMove starts the move and makes the owner's next renewal due at once.
func (m *Member) startMove(mv *move, shard Shard) {
	m.moves[mv.Shard] = mv
	if !mv.sameOwner {
		m.server(shard.Owner).notBefore = 0
	}
}

func (m *Member) needsNewFence(id topo.ShardID) bool {
	_, needed := m.needs[id]
	return needed
}

func (m *Member) isActivated(id topo.ShardID) bool {
	_, active := m.activated[id]
	return active
}

// submitFailed allows a move whose record failed to be submitted again.
func (m *Member) submitFailed(id topo.ShardID) {
	if mv, moving := m.moves[id]; moving {
		mv.submitted = false
	}
}

// abandonMove puts the shard of a move whose record had no effect back on its
// owner's list, and makes the owner's next renewal due at once.
func (m *Member) abandonMove(id topo.ShardID) {
	mv, moving := m.moves[id]
	if !moving || !mv.submitted {
		return
	}
	delete(m.moves, id)
	if owner := m.facts.Shards[id].Owner; owner != "" {
		m.server(owner).notBefore = 0
	}
}

// dropFinishedMoves drops moves that are done or superseded.
func (m *Member) dropFinishedMoves() {
	for id, mv := range m.moves {
		if m.inForce(id) != mv.Fence {
			delete(m.moves, id)
		}
	}
}

// expireMoves abandons moves that have waited for MoveTimeout: their shards
// return to their owners' lists.
func (m *Member) expireMoves(now time.Duration) {
	for id, mv := range m.moves {
		if !mv.submitted && !m.isUndecided(id) && now-mv.began >= m.cfg.MoveTimeout {
			delete(m.moves, id)
		}
	}
}

// canTake reports whether a server can be assigned shards of a service.
func (m *Member) canTake(service topo.Service, id topo.ServerID) bool {
	for _, target := range m.facts.Targets[service] {
		if target.ID == id {
			return m.serves(id)
		}
	}
	return false
}

// serves reports whether a server is fit for new shards, as far as this member
// knows. Of the servers of other groups it knows only what the state contains.
func (m *Member) serves(id topo.ServerID) bool {
	if _, here := m.facts.Servers[id]; !here {
		return true
	}
	s, known := m.servers[id]
	return known && s.boot() != "" && m.mayStandBy(id)
}

// mayStandBy reports whether a server is usable as a standby server: neither
// suspected, draining nor confirmed as lost. It may not have been observed yet.
func (m *Member) mayStandBy(id topo.ServerID) bool {
	s, known := m.servers[id]
	if known && (s.suspected() || s.draining) {
		return false
	}
	return !m.confirmedLost(id)
}

// planAutomaticMoves starts the moves that the lessor makes without a request:
// away from servers that drain.
func (m *Member) planAutomaticMoves(now time.Duration) {
	if m.right.mode != ModeConnected || m.offLog {
		return
	}
	place := m.newPlacement()
	for _, id := range slices.Sorted(maps.Keys(m.facts.Servers)) {
		if !m.mustVacate(id, m.facts.Servers[id]) {
			continue
		}
		for _, shardID := range m.facts.ShardsOf[id] {
			if len(m.moves) < maxAutomaticMoves {
				m.planAutomaticMove(now, m.facts.Shards[shardID], place)
			}
		}
	}
}

// mustVacate reports whether a server that still answers should give up its
// shards.
func (m *Member) mustVacate(id topo.ServerID, facts Server) bool {
	s, known := m.servers[id]
	return facts.Phase == state.PhaseDraining || facts.Lost || (known && s.draining)
}

func (m *Member) planAutomaticMove(now time.Duration, shard Shard, place *placement) {
	id := shard.Shard
	if _, moving := m.moves[id]; moving || m.isActivated(id) || m.isUndecided(id) {
		return
	}
	if m.needsNewFence(id) || !m.isSettled(shard) {
		return
	}
	to := place.owner(id.Service, shard.Standby)
	if to != "" {
		m.startMove(&move{Move: Move{Shard: id, Fence: shard.Fence, To: to}, began: now}, shard)
	}
}
