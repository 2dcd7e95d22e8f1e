package balance

import "time"

// candidate is a unit of load that can leave a server: a whole shard, or a hot
// key that is split out of a hash range.
type candidate struct {
	shard int // index of the shard, or NoOwner for a hot key
	key   int // index of the hot key
	load  float64
}

// bestCandidate returns the candidate of a server whose move to another server
// lowers the higher of the two utilizations most in relation to its cost. The
// second result is false if no candidate is worth a move. Because each move
// lowers the higher of two utilizations, no sequence of moves returns to its
// initial placement under a constant load.
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
	return b.remaining.Ranges > 0
}

// highEnough reports whether a server's utilization is high enough for a shard
// to leave. A single key may always leave, a hash range only at or above
// Tuning.RangeFloor.
func (b *balancer) highEnough(shard int, utilization float64) bool {
	return b.in.Shards[shard].ID.Key != "" || utilization >= b.tuning.RangeFloor
}

// referenceMoveCost is the unavailable time per move to which Tuning.RangeCost
// refers.
const referenceMoveCost = 100 * time.Millisecond

// cost returns the cost of moving a shard relative to the move of a single key.
// A hash range costs more because all of its keys are unavailable meanwhile.
func (b *balancer) cost(shard int) float64 {
	if b.in.Shards[shard].ID.Key != "" {
		return 1
	}
	cost := b.tuning.RangeCost
	if b.in.MoveCost > 0 {
		cost *= b.in.MoveCost.Seconds() / referenceMoveCost.Seconds()
	}
	return max(cost, 1)
}

// peakAfter returns the higher of two servers' utilizations after load has moved
// between them.
func (b *balancer) peakAfter(from, to int, load float64) float64 {
	after := b.utilizationWith(to, load)
	if rest := b.utilizationWith(from, -load); rest > after {
		return rest
	}
	return after
}

// splittable reports whether a hot key may be split out: it is hot enough, the
// limits allow it, and no move of its hash range is in flight or decided.
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

// moveCandidate records the move of a candidate.
func (b *balancer) moveCandidate(p candidate, to int) {
	if p.shard == NoOwner {
		b.splitHotKey(p.key, to)
		return
	}
	b.moveShard(p.shard, to, CauseLoad)
}
