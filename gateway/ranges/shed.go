package ranges

import (
	"cmp"
	"slices"
	"time"
)

// Shedding answers a cluster of busy keys on one server, or a few: within an instant
// 60 to 200 neighbours get a third or more of the requests of a service of 300 servers,
// for four to five seconds. Their owner cannot run a fiftieth of that. Divided in halves
// from server to server, and resting after each move, they were spread when it was over.
const (
	// shedEvery is the least time between two rounds: by then most moves of the last
	// one are done.
	shedEvery = 250 * time.Millisecond
	// overUsed is the utilisation above which a server gives pieces to many others,
	// and fillTo the one up to which others are filled. Above it their queues grow.
	overUsed = 0.95
	fillTo   = 0.8
	// mostShed bounds the pieces of a round, each of which is released, granted and
	// renewed.
	mostShed = 64
	// leastPiece is the utilisation that a piece is worth at the server that gets it.
	leastPiece = 0.08
)

// shed spreads the load of servers that are used beyond what they can run.
func (r *round) shed() {
	slices.SortStableFunc(r.usages, func(a, b *usage) int { return cmp.Compare(b.used, a.used) })
	for _, from := range slices.Clone(r.usages) {
		for from.isOverUsed() && r.moves < mostShed {
			if !r.shedPiece(from) {
				break
			}
		}
	}
}

// shedPiece moves a piece of a server's load to the one with the most room, and reports
// whether it did. Where every key is too much for that one, the busiest key goes where
// it can be run best. One that nobody can run keeps its server for itself.
func (r *round) shedPiece(from *usage) bool {
	to := r.mostRoom(from)
	if to != nil {
		want := min(to.room(), (from.used-fillTo)/from.cost)
		if l, span, rate, found := r.cut(from, want); found {
			r.start(from, to, l, span, rate)
			return true
		}
	}
	if l, span, rate, found := r.heavyPart(from); found {
		best := r.leastUsedWith(from, rate)
		if best != nil && best.ranges < mostRanges {
			r.start(from, best, l, span, rate)
			return true
		}
	}
	if l, span, rate, found := r.wholeRange(from); found && to != nil {
		r.start(from, to, l, span, rate)
		return true
	}
	return false
}

// isOverUsed reports whether a server is asked for more than it can run, chance left
// out.
func (u *usage) isOverUsed() bool { return u.used-chanceDeviations*u.chance > overUsed }

// room returns the requests a second that a server can get.
func (u *usage) room() float64 { return (fillTo - u.used) / u.cost }

// heavyPart returns the busiest key of a server if it is worth moving, with what lies
// between it and the edge of its range: one of many busy keys takes little else along, and
// one piece is left.
func (r *round) heavyPart(from *usage) (l *lease, span Span, rate float64, found bool) {
	l, key, rate := r.hottest(from)
	if rate*from.cost < leastPiece || !r.movable(l, from) || from.holdsOnly(l, key) {
		return nil, Span{}, 0, false
	}
	span = Span{From: key, To: key}
	if rate*from.cost >= hotShare*from.used {
		return l, span, rate, true
	}
	rates, factor := r.weights(l)
	for _, toEdge := range []Span{{From: l.From, To: key}, {From: key, To: l.To}} {
		if carried := rates.sum(toEdge) * factor; carried <= mostShare*rate && toEdge.Keys() <= mostEdgeKeys {
			return l, toEdge, carried, true
		}
	}
	return l, span, rate, true
}

// holdsOnly reports whether a server owns a key and no other.
func (u *usage) holdsOnly(l *lease, key Key) bool {
	return len(u.leases) == 1 && l.From == key && l.To == key
}

// mostRoom returns the server that can get the most requests, or nil if none can get a
// piece that is worth it.
func (r *round) mostRoom(from *usage) *usage {
	var best *usage
	for _, u := range r.usages {
		if u == from || u.ranges >= mostRanges || fillTo-u.used < leastPiece {
			continue
		}
		if best == nil || u.room() > best.room() {
			best = u
		}
	}
	return best
}
