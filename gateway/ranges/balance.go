package ranges

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Balance answers busy keys that lie close together and change within seconds. Moving
// few keys costs little; each move stops them for as long as the requests on them
// still run. It works in three ways:
//
//   - A single key that carries most of a server's load cannot be divided: it goes to
//     the server that runs it fastest, and that server's other keys go elsewhere.
//   - A server that is asked for more than it can run gives pieces of its ranges to
//     many others at once, each as much as it has room for (shed.go).
//   - Otherwise the busiest server gives the fewest keys that carry enough of its load
//     to the idlest one.
const (
	// balanceInterval is the least time between two rounds: nodes report their counts
	// as often.
	balanceInterval = 500 * time.Millisecond
	// noiseDeviations is how many standard deviations of both loads are left out of
	// their difference: on a site of 300 servers that were used alike 20 ranges a
	// second moved by chance, each of which is released, granted, and renewed.
	noiseDeviations = 2
	// maxEvenMoves bounds the moves by which loads are evened out in a round.
	maxEvenMoves = 6
	// minGap is the difference of utilisation below which nothing is moved:
	// queues at one server are short up to about three quarters.
	minGap = 0.15
	// idleGap is the same for servers that are less than busyFrom used: their
	// queues are short anyway, and every move leaves a piece to renew.
	// A server without any range gets one whatever the gap.
	idleGap         = 0.35
	busyUtilization = 0.6
	// moveCooldown keeps a range where it is until its load there is known.
	moveCooldown = 1500 * time.Millisecond
	// overloadMoveCooldown is the same for a range of a server that is used beyond what it can
	// run: the quick load follows within that.
	overloadMoveCooldown = 400 * time.Millisecond
	// releaseNotice is how long before its release a range that moves counts as moving:
	// until nodes have heard, requests for it go to a server that holds it no longer, and
	// each of those spends one of the retries of all nodes.
	releaseNotice = 100 * time.Millisecond
	// minShare and mostShare bound what a move carries, as shares of the load
	// that would make both servers equal.
	minShare = 0.5
	maxShare = 1.3
	// maxServerRanges bounds the ranges of one server, each of which is renewed.
	maxServerRanges = 8
	// hotShare is the share of a server's load from which one key is taken as a
	// whole, before others are moved.
	hotShare = 0.35
	// minHotRequests is how many requests for it must have come: one or two come by chance.
	minHotRequests = 4
	// crowdedUtilization is the utilisation above which a server that has one busy key gives its
	// other ranges away whole.
	crowdedUtilization = 0.75
)

// Move is a planned move of a range, for the log.
type Move struct {
	Service  site.ServiceName
	From, To site.ServerID
	Span     Span
	Rate     float64 // requests a second that it carries
	Used     float64 // utilisation of the server that gives it
	UsedTo   float64 // utilisation of the one that gets it, with it
}

// round is one round of balance.
type round struct {
	allocator *Allocator
	service   site.ServiceName
	loads     *Loads
	now       time.Time
	usages    []*usage
	moves     int
}

// balance starts the moves of a round.
func (alloc *Allocator) balance(service site.ServiceName, s Site, servers []site.Server, now time.Time) {
	if s.Load == nil || len(servers) < 2 || s.Load.services[service] == nil || now.Sub(s.Load.shedAt[service]) < shedInterval {
		return
	}
	s.Load.shedAt[service] = now
	r := &round{allocator: alloc, service: service, loads: s.Load, now: now}
	r.usages = r.measure(servers)
	for _, from := range r.usages {
		r.moveHotKey(from)
	}
	r.shed()
	if now.Sub(s.Load.evenedAt[service]) < balanceInterval {
		return
	}
	s.Load.evenedAt[service] = now
	for r.moves < maxEvenMoves && r.evenOut() {
	}
}

// start begins to move a part of a range.
func (r *round) start(from, to *usage, l *lease, span Span, rate float64) {
	from.leases = slices.DeleteFunc(from.leases, func(other *lease) bool { return other == l })
	cut, rest := r.allocator.split(l, span)
	from.leases = append(from.leases, rest...)
	r.allocator.startRelease(cut, to.server.ID, r.now)
	utilization := from.utilization
	from.utilization -= rate * from.cost
	to.utilization += rate * to.cost
	to.ranges++
	r.moves++
	r.allocator.moves = append(r.allocator.moves, Move{Service: r.service, From: from.server.ID, To: to.server.ID, Span: span, Rate: rate, Used: utilization, UsedTo: to.utilization})
}

// evenOut moves load from the busiest server that can give some to the idlest one, and
// reports whether it did.
func (r *round) evenOut() bool {
	slices.SortStableFunc(r.usages, func(a, b *usage) int { return cmp.Compare(b.utilization, a.utilization) })
	to := r.usages[len(r.usages)-1]
	for _, from := range r.usages {
		gap := from.utilization - to.utilization
		significant := gap - noiseDeviations*(from.deviation+to.deviation)
		isEven := significant < minGap || significant < idleGap && from.utilization < busyUtilization
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

// wholeRange returns the range of a server with the most load that does not hold
// its busiest key.
func (r *round) wholeRange(from *usage) (best *lease, span Span, rate float64, found bool) {
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

// moveHotKey moves the busiest key of a server to the one that would be least
// used with it, if that leaves both less used than the server is now.
func (r *round) moveHotKey(from *usage) {
	l, key, rate := r.hottest(from)
	if l == nil || rate*from.cost < hotShare*from.utilization || !r.movable(l, from) || r.loads.counted(rate, r.isSurging(l)) < minHotRequests {
		return
	}
	if to := r.leastUtilizedWith(from, rate); to != nil {
		r.start(from, to, l, Span{From: key, To: key}, rate)
	}
}

// leastUtilizedWith returns the server that would be least used with a rate of another one,
// or nil if that is not clearly less than the other one is used.
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

func (alloc *Allocator) leaseOf(service site.ServiceName, key Key) *lease {
	leases := alloc.leases[service]
	i, found := slices.BinarySearchFunc(leases, key, func(l *lease, key Key) int { return l.Compare(key) })
	if !found {
		return nil
	}
	return leases[i]
}

// movable reports whether a range can be released now. One that is as busy as its owner
// can be goes on sooner: what it carries was not known yet when it came.
func (r *round) movable(l *lease, from *usage) bool {
	rest := moveCooldown
	if from.utilization > overloadUtilization {
		rest = overloadMoveCooldown
	}
	return l.canRelease(r.now) && r.now.Sub(l.movedAt) >= rest
}
