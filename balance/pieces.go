package balance

import "time"

// piece is something that can leave a server to relieve it: a whole shard, or a
// hot key that is split out of one.
type piece struct {
	shard int // index of the shard, or NoOwner for a hot key
	key   int // index of the hot key
	load  float64
}

// bestPiece returns the piece of a server whose move to another server lowers
// the higher of the two utilizations most for its cost. The second result is
// false if no piece is worth a move. Each move thus lowers the larger of two
// utilizations, so that under a constant load no sequence of moves comes back
// to where it started.
func (b *board) bestPiece(from, to int) (piece, bool) {
	best, found := piece{}, false
	bestWorth := 0.0
	before := b.utilization(from)
	consider := func(p piece, cost float64) {
		if p.load <= 0 {
			return
		}
		gain := before - b.peakAfter(from, to, p.load)
		if worth := gain / cost; gain > b.tuning.MinGain && worth > bestWorth {
			best, bestWorth, found = p, worth, true
		}
	}
	for _, shard := range b.shards[from] {
		if b.affordable(shard) && b.settled(shard) && !b.cooled(shard) && b.dire(shard, before) {
			consider(piece{shard: shard, load: b.in.Shards[shard].Load}, b.cost(shard))
		}
	}
	for _, key := range b.keys[from] {
		if b.splittable(key) {
			consider(piece{shard: NoOwner, key: key, load: b.in.HotKeys[key].Load}, 1)
		}
	}
	return best, found
}

// affordable reports whether the budget allows the move of a shard.
func (b *board) affordable(shard int) bool {
	if b.in.Shards[shard].ID.Key != "" {
		return b.left.Keys > 0
	}
	return b.left.Moves > 0
}

// dire reports whether a server's utilization is high enough for a shard to
// leave: always for a single key, from a threshold on for a hash range.
func (b *board) dire(shard int, utilization float64) bool {
	return b.in.Shards[shard].ID.Key != "" || utilization >= b.tuning.RangeFloor
}

// usualMoveCost is the unavailable time of a move for which Tuning.ShardCost is
// meant.
const usualMoveCost = 100 * time.Millisecond

// cost returns what the move of a shard costs against that of a single key: it
// makes all of the shard's keys unavailable.
func (b *board) cost(shard int) float64 {
	if b.in.Shards[shard].ID.Key != "" {
		return 1
	}
	cost := b.tuning.ShardCost
	if b.in.MoveCost > 0 {
		cost *= b.in.MoveCost.Seconds() / usualMoveCost.Seconds()
	}
	return max(cost, 1)
}

// peakAfter returns the higher utilization of two servers after load has moved
// from one to the other.
func (b *board) peakAfter(from, to int, load float64) float64 {
	after := b.utilizationWith(to, load)
	if rest := b.utilizationWith(from, -load); rest > after {
		return rest
	}
	return after
}

// splittable reports whether a hot key is hot enough to get its own entry.
func (b *board) splittable(key int) bool {
	hot := &b.in.HotKeys[key]
	if b.left.Keys <= 0 || b.gone[key] || b.splits >= b.tuning.MaxSplit || b.in.Shards[hot.Shard].Moving {
		return false
	}
	if b.owners[hot.Shard] != b.in.Shards[hot.Shard].Owner {
		return false
	}
	return hot.Load >= b.tuning.SplitAbove*b.share
}

// take records the move of a piece.
func (b *board) take(p piece, to int) {
	if p.shard == NoOwner {
		b.split(p.key, to)
		return
	}
	b.give(p.shard, to, CauseLoad)
}
