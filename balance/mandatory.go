package balance

import (
	"sort"

	"github.com/burdockspindle/burdockspindle/state"
)

// mandatoryMoves decides the moves that every load-driven policy makes before it
// balances load: it assigns shards without an owner, empties draining servers
// and merges back split keys that have cooled.
func (b *balancer) mandatoryMoves() {
	b.placeUnowned()
	b.evacuate()
	b.mergeCooled()
}

// placeUnowned assigns every shard without an owner, heaviest first, to the
// coldest server.
func (b *balancer) placeUnowned() {
	b.placeAll(b.shardsWith(CauseUnowned), CauseUnowned)
}

// evacuate moves the shards of draining servers to the coldest live servers.
func (b *balancer) evacuate() {
	b.placeAll(b.shardsWith(CauseDraining), CauseDraining)
}

// shardsWith lists the shards that need a new owner for the given cause and are
// not moving already.
func (b *balancer) shardsWith(cause Cause) []int {
	var list []int
	for i := range b.owners {
		if !b.in.Shards[i].Moving && mustMove(b.in.Servers, b.owners[i]) == cause {
			list = append(list, i)
		}
	}
	return list
}

// mustMove returns why a shard with the given owner needs another owner, or 0 if
// it does not. A shard of a server that is gone is treated as unowned.
func mustMove(servers []Server, owner int) Cause {
	if owner == NoOwner {
		return CauseUnowned
	}
	switch servers[owner].Phase {
	case state.PhaseLive:
		return 0
	case state.PhaseDraining:
		return CauseDraining
	}
	return CauseUnowned
}

func (b *balancer) placeAll(shards []int, cause Cause) {
	if len(shards) == 0 {
		return
	}
	sort.SliceStable(shards, func(i, j int) bool {
		return b.in.Shards[shards[i]].Load > b.in.Shards[shards[j]].Load
	})
	receivers := newReceiverHeap(b)
	for _, shard := range shards {
		if cause == CauseDraining && !b.evacuationsLeft() {
			return
		}
		to, exists := receivers.pickColdest(b.in.Shards[shard].Load)
		if !exists {
			return
		}
		b.moveShard(shard, to, cause)
	}
}

// mergeCooled returns split keys that are no longer hot to their hash range, as
// far as the budget allows. A key can be merged only at the owner of its range.
// A key with another owner is moved to that server first, and a later decision
// merges it.
func (b *balancer) mergeCooled() {
	if b.splits == 0 {
		return
	}
	parents := b.rangeOwners()
	for i := range b.in.Shards {
		if b.remaining.Keys <= 0 {
			return
		}
		if !b.cooled(i) || !b.movable(i) || b.owners[i] == NoOwner {
			continue
		}
		to, known := parents[b.in.Shards[i].ID.Index]
		switch {
		case !known || !b.canReceive(to):
		case to == b.owners[i]:
			b.mergeSplitKey(i)
		default:
			b.moveShard(i, to, CauseCooled)
		}
	}
}

// cooled reports whether a shard is a split key that is no longer hot.
func (b *balancer) cooled(shard int) bool {
	s := &b.in.Shards[shard]
	return s.ID.Key != "" && s.Load < b.tuning.MergeBelow*b.meanLoad
}

// rangeOwners maps the hash ranges of split keys to their owners. It omits
// ranges that are moving.
func (b *balancer) rangeOwners() map[uint32]int {
	splitRanges := make(map[uint32]bool, b.splits)
	for i := range b.in.Shards {
		if b.in.Shards[i].ID.Key != "" {
			splitRanges[b.in.Shards[i].ID.Index] = true
		}
	}
	owners := make(map[uint32]int, len(splitRanges))
	for i := range b.in.Shards {
		shard := &b.in.Shards[i]
		if shard.ID.Key != "" || !splitRanges[shard.ID.Index] {
			continue
		}
		if !shard.Moving && b.owners[i] != NoOwner && b.owners[i] == shard.Owner {
			owners[shard.ID.Index] = b.owners[i]
		}
	}
	return owners
}

func (b *balancer) mergeSplitKey(shard int) {
	s := &b.in.Shards[shard]
	owner := b.owners[shard]
	b.shards[owner] = remove(b.shards[owner], shard)
	b.splits--
	b.record(Move{Kind: MergeKey, Shard: s.ID, From: b.id(owner), To: b.id(owner), Cause: CauseCooled})
}
