package ranges

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
)

// Balancing handles busy keys that are adjacent and change within seconds. Moving a few
// keys is cheap, but each move stops them until the requests that are running on them
// have ended. It works in three ways:
//
//   - A single key that carries most of a server's load cannot be divided. It moves to
//     the server that runs it fastest, and the other keys of that server move elsewhere.
//   - A server whose offered load exceeds its capacity moves pieces of its ranges to
//     many servers at once, each piece as large as its target has headroom for (shed.go).
//   - Otherwise the busiest server moves the fewest keys that carry enough of its load
//     to the least utilized server.
const (
	// balanceInterval is the minimum time between two rounds. Nodes report their counts at
	// the same interval.
	balanceInterval = 500 * time.Millisecond
	// noiseDeviations is the number of standard deviations of both loads that is subtracted
	// from their difference. Without it, 20 ranges a second moved by chance on a site of
	// 300 equally used servers, each of which is released, granted, and renewed.
	noiseDeviations = 2
	// maxEvenMoves is the maximum number of moves per round that even out loads.
	maxEvenMoves = 6
	// minGap is the difference of utilization below which nothing is moved. Queues at a
	// server are short up to a utilization of about three quarters.
	minGap = 0.15
	// idleGap is the same for servers whose utilization is below busyUtilization: their
	// queues are short anyway, and every move leaves a piece to renew. A server without any
	// range gets one regardless of the gap.
	idleGap         = 0.35
	busyUtilization = 0.6
	// moveCooldown is the minimum time between two moves of a range, within which its load
	// at the new owner becomes known.
	moveCooldown = 1500 * time.Millisecond
	// overloadMoveCooldown is the same for a range of an overloaded server. The short-term
	// load is accurate within that time.
	overloadMoveCooldown = 400 * time.Millisecond
	// releaseNotice is how long before its release a range is reported as moving. Until the
	// nodes have received that, they send requests for the range to a server that no longer
	// holds it, and each of these requests spends one retry of the nodes' shared budget.
	releaseNotice = 100 * time.Millisecond
	// minShare and maxShare bound the load that a move carries, as shares of the load that
	// would make both servers equally utilized.
	minShare = 0.5
	maxShare = 1.3
	// maxServerRanges is the maximum number of ranges of a server, each of which is
	// renewed.
	maxServerRanges = 8
	// hotShare is the share of a server's load from which a single key is moved on its own,
	// before other keys are moved.
	hotShare = 0.35
	// minHotRequests is the number of requests that a hot key must have received, because
	// one or two may arrive by chance.
	minHotRequests = 4
	// crowdedUtilization is the utilization above which a server with one busy key moves
	// its other ranges away whole.
	crowdedUtilization = 0.75
)

// Move is a planned move of a range, for the log.
type Move struct {
	Service  site.ServiceName
	From, To site.ServerID
	Span     Span
	Rate     float64 // requests a second
	Used     float64 // utilization of the source before the move
	UsedTo   float64 // utilization of the target after the move
	// FromSpeed and ToSpeed are the learned speeds of the source and the target; nil: they are not learned.
	FromSpeed, ToSpeed *speed.Estimate
}

// round is one round of balancing.
type round struct {
	allocator *Allocator
	service   site.ServiceName
	loads     *Loads
	now       time.Time
	usages    []*usage
	moves     int
	// warmUpRate is how many requests a second a cold server takes; 0: no limit.
	warmUpRate float64
}

func (alloc *Allocator) newRound(service site.ServiceName, s Site, now time.Time) *round {
	return &round{allocator: alloc, service: service, loads: s.Load, now: now, warmUpRate: s.Services[service].WarmUpRate}
}

// balance starts the moves of a round.
func (alloc *Allocator) balance(service site.ServiceName, s Site, servers []site.Server, now time.Time) {
	if s.Load == nil || len(servers) < 2 || s.Load.services[service] == nil || now.Sub(s.Load.shedAt[service]) < shedInterval {
		return
	}
	s.Load.shedAt[service] = now
	r := alloc.newRound(service, s, now)
	r.usages = r.measure(servers)
	for _, from := range r.usages {
		r.moveHotKey(from)
	}
	r.shed()
	if now.Sub(s.Load.evenedAt[service]) < balanceInterval {
		return
	}
	s.Load.evenedAt[service] = now
	evenOut := r.evenOut
	if _, isLearned := s.Load.speedsOf(service); isLearned {
		evenOut = r.evenOutLearned
	}
	for r.moves < maxEvenMoves && evenOut() {
	}
}

// start starts to move a part of a range.
func (r *round) start(from, to *usage, l *rangeState, span Span, rate float64) {
	from.leases = slices.DeleteFunc(from.leases, func(other *rangeState) bool { return other == l })
	cut, rest := r.allocator.split(l, span)
	from.leases = append(from.leases, rest...)
	r.allocator.startRelease(cut, to.server.ID, r.now)
	utilization := from.utilization
	from.utilization -= rate * from.cost
	to.utilization += rate * to.cost
	to.ranges++
	r.moves++
	r.loads.learned.noteMove(from, to, r.now)
	r.allocator.moves = append(r.allocator.moves, Move{Service: r.service, From: from.server.ID, To: to.server.ID, Span: span, Rate: rate, Used: utilization, UsedTo: to.utilization, FromSpeed: from.estimate(), ToSpeed: to.estimate()})
}

// evenOut moves load from the busiest server that can release some to the least utilized
// one, and reports whether it started a move.
func (r *round) evenOut() bool {
	slices.SortStableFunc(r.usages, func(a, b *usage) int { return cmp.Compare(b.utilization, a.utilization) })
	to := r.usages[len(r.usages)-1]
	for _, from := range r.usages {
		gap := from.utilization - to.utilization
		reliableGap := gap - noiseDeviations*(from.deviation+to.deviation)
		isEven := reliableGap < minGap || reliableGap < idleGap && from.utilization < busyUtilization
		if gap <= 0 || isEven && to.ranges > 0 || to.ranges >= maxServerRanges {
			return false
		}
		l, span, rate, found := r.selectPart(from, gap/(from.cost+to.cost))
		if !found && from.utilization > crowdedUtilization {
			l, span, rate, found = r.wholeRange(from)
		}
		if found {
			r.start(from, to, l, span, rate)
			return true
		}
	}
	return false
}

// wholeRange returns the most loaded range of a server among those that do not contain its
// busiest key.
func (r *round) wholeRange(from *usage) (best *rangeState, span Span, rate float64, found bool) {
	_, hot, _ := r.hottest(from)
	for _, l := range from.leases {
		if l.Contains(hot) || !r.movable(l, from) {
			continue
		}
		if carried := r.rate(l); carried > rate {
			best, span, rate, found = l, l.Span, carried, true
		}
	}
	return best, span, rate, found
}

// moveHotKey moves the busiest key of a server to the server that would have the lowest
// utilization with it, if both servers are then less utilized than the first one is now.
func (r *round) moveHotKey(from *usage) {
	l, key, rate := r.hottest(from)
	if l == nil || rate*from.cost < hotShare*from.utilization || !r.movable(l, from) || r.loads.counted(rate, r.isSurging(l)) < minHotRequests {
		return
	}
	if to := r.leastUtilizedWith(from, rate); to != nil {
		r.start(from, to, l, Span{From: key, To: key}, rate)
	}
}

// leastUtilizedWith returns the server that would have the lowest utilization with a rate
// that moves from another server, or nil if that is not clearly below the present
// utilization of the other server.
func (r *round) leastUtilizedWith(from *usage, rate float64) *usage {
	var best *usage
	for _, u := range r.usages {
		if u != from && (best == nil || u.utilization+rate*u.cost < best.utilization+rate*best.cost) {
			best = u
		}
	}
	if best == nil || from.utilization-(best.utilization+rate*best.cost) < minGap {
		return nil
	}
	return best
}

func (alloc *Allocator) leaseOf(service site.ServiceName, key Key) *rangeState {
	leases := alloc.leases[service]
	i, found := slices.BinarySearchFunc(leases, key, func(l *rangeState, key Key) int { return l.Compare(key) })
	if !found {
		return nil
	}
	return leases[i]
}

// movable reports whether a range can be released now. A range of an overloaded server can
// move again sooner, because its load was not known yet when it arrived.
func (r *round) movable(l *rangeState, from *usage) bool {
	rest := moveCooldown
	if from.utilization > overloadUtilization {
		rest = overloadMoveCooldown
	}
	return l.canRelease(r.now) && r.now.Sub(l.movedAt) >= rest
}
