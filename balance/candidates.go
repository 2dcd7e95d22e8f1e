package balance

import "time"

// candidate is something that can leave a server to relieve it: a whole shard, or a
// hot key that is split out of one.
type candidate struct {
	shard int // index of the shard, or NoOwner for a hot key
	key   int // index of the hot key
	load  float64
}

// bestCandidate returns the piece of a server whose move to another server lowers
// the higher of the two utilizations most for its cost. The second result is
// false if no piece is worth a move. Each move thus lowers the larger of two
// utilizations, so that under a constant load no sequence of moves comes back
// to where it started.
func (b *balancer) bestCandidate(from, to int) (candidate, bool) {
	best, found := candidate{}, false
	bestWorth := 0.0
	before := b.utilization(from)
	consider := func(p candidate, cost float64) {
		if p.load <= 0 {
			return
		}
		gain := before - b.peakAfter(from, to, p.load)
		if worth := gain / cost; gain > b.tuning.MinGain && worth > bestWorth {
			best, bestWorth, found = p, worth, true
		}
	}
	for _, shard := range b.shards[from] {
		if b.withinBudget(shard) && b.movable(shard) && !b.cooled(shard) && b.highEnough(shard, before) {
			consider(candidate{shard: shard, load: b.in.Shards[shard].Load}, b.cost(shard))
		}
	}
	for _, key := range b.keys[from] {
		if b.splittable(key) {
			consider(candidate{shard: NoOwner, key: key, load: b.in.HotKeys[key].Load}, 1)
		}
	}
	return best, found
}

// withinBudget reports whether the budget allows the move of a shard.
func (b *balancer) withinBudget(shard int) bool {
	if b.in.Shards[shard].ID.Key != "" {
		return b.remaining.Keys > 0
	}
	return b.remaining.Moves > 0
}

// highEnough reports whether a server's utilization is high enough for a shard to
// leave: always for a single key, from a threshold on for a hash range.
func (b *balancer) highEnough(shard int, utilization float64) bool {
	return b.in.Shards[shard].ID.Key != "" || utilization >= b.tuning.RangeFloor
}

// referenceMoveCost is the unavailable time of a move for which Tuning.ShardCost is
// meant.
const referenceMoveCost = 100 * time.Millisecond

// cost returns what the move of a shard costs against that of a single key: it
// makes all of the shard's keys unavailable.
func (b *balancer) cost(shard int) float64 {
	if b.in.Shards[shard].ID.Key != "" {
		return 1
	}
	cost := b.tuning.ShardCost
	if b.in.MoveCost > 0 {
		cost *= b.in.MoveCost.Seconds() / referenceMoveCost.Seconds()
	}
	return max(cost, 1)
}

// peakAfter returns the higher utilization of two servers after load has moved
// from one to the other.
func (b *balancer) peakAfter(from, to int, load float64) float64 {
	after := b.utilizationWith(to, load)
	if rest := b.utilizationWith(from, -load); rest > after {
		return rest
	}
	return after
}

// splittable reports whether a hot key is hot enough to get its own entry.
func (b *balancer) splittable(key int) bool {
	hot := &b.in.HotKeys[key]
	if b.remaining.Keys <= 0 || b.keySplit[key] || b.splits >= b.tuning.MaxSplit || b.in.Shards[hot.Shard].Moving {
		return false
	}
	if b.owners[hot.Shard] != b.in.Shards[hot.Shard].Owner {
		return false
	}
	return hot.Load >= b.tuning.SplitAbove*b.meanLoad
}

// moveCandidate records the move of a piece.
func (b *balancer) moveCandidate(p candidate, to int) {
	if p.shard == NoOwner {
		b.splitHotKey(p.key, to)
		return
	}
	b.moveShard(p.shard, to, CauseLoad)
}
