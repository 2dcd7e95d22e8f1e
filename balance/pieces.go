package balance

// piece is something that can leave a server to relieve it: a whole shard, or a
// hot key that is split out of one.
type piece struct {
	shard int // index of the shard, or NoOwner for a hot key
	key   int // index of the hot key
	load  float64
}

// bestPiece returns the piece of a server whose move to another server leaves
// the lowest peak of the two utilizations. The second result is false if no
// piece lowers the peak by the smallest gain that is worth a move. Each move
// thus lowers the larger of two utilizations, so that under a constant load no
// sequence of moves comes back to where it started.
func (b *board) bestPiece(from, to int) (piece, bool) {
	best, found := piece{}, false
	bestPeak := b.utilization(from) - b.tuning.MinGain
	consider := func(p piece) {
		if p.load <= 0 {
			return
		}
		peak := b.peakAfter(from, to, p.load)
		if peak < bestPeak {
			best, bestPeak, found = p, peak, true
		}
	}
	for _, shard := range b.shards[from] {
		if b.settled(shard) && !b.cooled(shard) {
			consider(piece{shard: shard, load: b.in.Shards[shard].Load})
		}
	}
	for _, key := range b.keys[from] {
		if b.splittable(key) {
			consider(piece{shard: NoOwner, key: key, load: b.in.HotKeys[key].Load})
		}
	}
	return best, found
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
	if b.gone[key] || b.splits >= b.tuning.MaxSplit || b.in.Shards[hot.Shard].Moving {
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
