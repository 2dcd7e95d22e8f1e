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
	// shedInterval is the least time between two rounds: by then most moves of the last
	// one are done.
	shedInterval = 250 * time.Millisecond
	// overloadUtilization is the utilisation above which a server gives pieces to many others,
	// and fillTo the one up to which others are filled. Above it their queues grow.
	overloadUtilization = 0.95
	targetUtilization   = 0.8
	// maxShedPieces bounds the pieces of a round, each of which is released, granted and
	// renewed.
	maxShedPieces = 64
	// minPieceUtilization is the utilisation that a piece is worth at the server that gets it.
	minPieceUtilization = 0.08
)

// shed spreads the load of servers that are used beyond what they can run.
func (r *round) shed() {
	slices.SortStableFunc(r.usages, func(a, b *usage) int { return cmp.Compare(b.utilization, a.utilization) })
	for _, from := range slices.Clone(r.usages) {
		for from.isOverloaded() && r.moves < maxShedPieces {
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
	to := r.mostHeadroom(from)
	if to != nil {
		want := min(to.headroom(), (from.utilization-targetUtilization)/from.cost)
		if l, span, rate, found := r.selectPart(from, want); found {
			r.start(from, to, l, span, rate)
			return true
		}
	}
	if l, span, rate, found := r.hottestPart(from); found {
		best := r.leastUtilizedWith(from, rate)
		if best != nil && best.ranges < maxServerRanges {
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

// isOverloaded reports whether a server is asked for more than it can run, chance left
// out.
func (u *usage) isOverloaded() bool {
	return u.utilization-noiseDeviations*u.deviation > overloadUtilization
}

// headroom returns the requests a second that a server can get.
func (u *usage) headroom() float64 { return (targetUtilization - u.utilization) / u.cost }

// hottestPart returns the busiest key of a server if it is worth moving, with what lies
// between it and the edge of its range: one of many busy keys takes little else along, and
// one piece is left.
func (r *round) hottestPart(from *usage) (l *lease, span Span, rate float64, found bool) {
	l, key, rate := r.hottest(from)
	if rate*from.cost < minPieceUtilization || !r.movable(l, from) || from.ownsOnly(l, key) {
		return nil, Span{}, 0, false
	}
	span = Span{From: key, To: key}
	if rate*from.cost >= hotShare*from.utilization {
		return l, span, rate, true
	}
	rates, factor := r.weights(l)
	for _, toEdge := range []Span{{From: l.From, To: key}, {From: key, To: l.To}} {
		if carried := rates.sum(toEdge) * factor; carried <= maxShare*rate && toEdge.Keys() <= maxEdgeKeys {
			return l, toEdge, carried, true
		}
	}
	return l, span, rate, true
}

// ownsOnly reports whether a server owns a key and no other.
func (u *usage) ownsOnly(l *lease, key Key) bool {
	return len(u.leases) == 1 && l.From == key && l.To == key
}

// mostHeadroom returns the server that can get the most requests, or nil if none can get a
// piece that is worth it.
func (r *round) mostHeadroom(from *usage) *usage {
	var best *usage
	for _, u := range r.usages {
		if u == from || u.ranges >= maxServerRanges || targetUtilization-u.utilization < minPieceUtilization {
			continue
		}
		if best == nil || u.headroom() > best.headroom() {
			best = u
		}
	}
	return best
}
