package ranges

import (
	"cmp"
	"slices"
	"time"
)

// Shedding handles a cluster of busy keys on one or a few servers: suddenly 60 to 200
// adjacent keys receive a third or more of the requests of a service of 300 servers, for
// four to five seconds. Their owner can run less than a fiftieth of that. When such ranges
// were halved from server to server with a cooldown after each move, the load was spread
// only after the cluster had ended.
const (
	// shedInterval is the minimum time between two rounds, in which most moves of the
	// previous round complete.
	shedInterval = 250 * time.Millisecond
	// overloadUtilization is the utilization above which a server moves pieces to many
	// others. targetUtilization is the utilization up to which these are filled; above it
	// their queues grow.
	overloadUtilization = 0.95
	targetUtilization   = 0.8
	// maxShedPieces is the maximum number of pieces per round, each of which is released,
	// granted and renewed.
	maxShedPieces = 64
	// minPieceUtilization is the minimum utilization that a piece must cause at its new
	// owner.
	minPieceUtilization = 0.08
)

// shed spreads the load of overloaded servers.
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

// shedPiece moves a piece of a server's load to the server with the most headroom, and
// reports whether it did. If every key exceeds that headroom, the busiest key moves to the
// server with the lowest utilization including that key. A key that exceeds the capacity of
// every server keeps its server for itself.
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

// isOverloaded reports whether the load of a server exceeds its capacity by more than
// random variation explains.
func (u *usage) isOverloaded() bool {
	return u.utilization-noiseDeviations*u.deviation > overloadUtilization
}

// headroom returns the requests a second that a server can take in addition.
func (u *usage) headroom() float64 { return (targetUtilization - u.utilization) / u.cost }

// hottestPart returns the busiest key of a server if it is worth moving, together with the
// keys between it and the edge of its range. One of many busy keys takes little other load
// along, and a single piece is left.
func (r *round) hottestPart(from *usage) (l *rangeState, span Span, rate float64, found bool) {
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

// ownsOnly reports whether a server owns a single key and no other.
func (u *usage) ownsOnly(l *rangeState, key Key) bool {
	return len(u.leases) == 1 && l.From == key && l.To == key
}

// mostHeadroom returns the server that can take the most additional requests, or nil if
// none can take a piece of minPieceUtilization.
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
