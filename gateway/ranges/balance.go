package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Balance answers busy keys that lie close together and change within seconds:
// the busiest server gives the fewest keys that carry enough of its load to the
// idlest one. Moving few keys costs little; each move stops them for as long as
// the requests on them still run. A single key that carries most of a server's
// load cannot be divided: it goes to the server that runs it fastest, and that
// server's other keys go elsewhere.
const (
	// balanceEvery is the least time between two rounds: nodes report their counts
	// as often.
	balanceEvery = 500 * time.Millisecond
	// movesPerRound bounds the keys that are stopped at once.
	movesPerRound = 6
	// leastGap is the difference of utilisation below which nothing is moved:
	// queues at one server are short up to about three quarters.
	leastGap = 0.15
	// idleGap is the same for servers that are less than busyFrom used: their
	// queues are short anyway, and every move leaves a piece to renew.
	// A server without any range gets one whatever the gap.
	idleGap  = 0.35
	busyFrom = 0.6
	// restAfterMove keeps a range where it is until its load there is known.
	restAfterMove = 1500 * time.Millisecond
	// loadHalfLife is how fast old counts lose their weight.
	loadHalfLife = 3 * time.Second
	// recentHalfLife is the same for finding single busy keys, and leastRecent the
	// rate below which they are forgotten.
	recentHalfLife = 400 * time.Millisecond
	leastRecent    = 0.2
	// enoughShare and mostShare bound what a move carries, as shares of the load
	// that would make both servers equal.
	enoughShare = 0.5
	mostShare   = 1.3
	// mostRanges bounds the ranges of one server, each of which is renewed.
	mostRanges = 8
)

type move struct {
	lease *lease
	span  Span
	to    site.ServerID
	rate  float64 // requests a second that it carries
	gap   float64 // difference of utilisation before it
}

// Move is a planned move of a range, for the log.
type Move struct {
	Service  site.ServiceName
	From, To site.ServerID
	Span     Span
	Rate     float64 // requests a second that it carries
	Gap      float64 // difference of the servers' utilisation before it
}

// usage is the load of one server.
type usage struct {
	server site.Server
	cost   float64 // utilisation that one request a second causes
	used   float64 // utilisation
	ranges int
	isBusy bool // takes part in a move
}

// balance chooses moves for a service.
func (k *Keeper) balance(service site.ServiceName, s Site, servers []site.Server, now time.Time) []move {
	if s.Load == nil || len(servers) < 2 || now.Sub(s.Load.round) < balanceEvery || s.Load.keys[service] == nil {
		return nil
	}
	s.Load.round = now
	usages := k.usages(service, s, servers)
	var moves []move
	for _, from := range usages {
		if m, found := k.moveHotKey(service, s, from, usages, moves, now); found {
			moves = append(moves, m)
		}
	}
	for len(moves) < movesPerRound {
		next, found := k.nextMove(service, s, usages, moves, now)
		if !found {
			return moves
		}
		moves = append(moves, next)
	}
	return moves
}

func (k *Keeper) usages(service site.ServiceName, s Site, servers []site.Server) []*usage {
	typical := s.Load.typicalPace(servers)
	usages := make([]*usage, 0, len(servers))
	for _, server := range servers {
		pace, known := s.Load.paces[server.ID]
		if !known {
			pace = typical
		}
		pace = min(max(pace, typical/paceSpread), typical*paceSpread)
		u := &usage{server: server, cost: pace / float64(max(server.Slots, 1))}
		for _, l := range k.leases[service] {
			if l.Server == server.ID || l.next == server.ID {
				u.ranges++
				u.used += s.Load.sum(service, l.Span) * u.cost
				u.isBusy = u.isBusy || l.phase != granting
			}
		}
		usages = append(usages, u)
	}
	k.addRecent(service, s, usages)
	return usages
}

// leastSurge is by how many requests a second a key must have become busier to
// count as it is now, before the longer memory has seen it: four requests in a
// short time, which a key that is not busy seldom has.
const leastSurge = 6.0

// addRecent adds the load of keys that have become busy just now.
func (k *Keeper) addRecent(service site.ServiceName, s Site, usages []*usage) {
	for key, rate := range s.Load.recent[service] {
		surge := rate - s.Load.sum(service, Span{From: key, To: key})
		if surge < leastSurge {
			continue
		}
		l := k.leaseOf(service, key)
		for _, u := range usages {
			if l != nil && u.server.ID == l.Server {
				u.used += surge * u.cost
			}
		}
	}
}

// paceSpread bounds how much faster or slower than others a server counts:
// measured times include its queue.
const paceSpread = 3

func (k *Keeper) nextMove(service site.ServiceName, s Site, usages []*usage, made []move, now time.Time) (move, bool) {
	slices.SortFunc(usages, func(a, b *usage) int {
		switch {
		case a.used > b.used:
			return -1
		case a.used < b.used:
			return 1
		}
		return 0
	})
	to := usages[len(usages)-1]
	for _, from := range usages {
		gap := from.used - to.used
		isEven := gap < leastGap || gap < idleGap && from.used < busyFrom
		if gap <= 0 || isEven && to.ranges > 0 {
			return move{}, false
		}
		if to.ranges >= mostRanges {
			return move{}, false
		}
		want := gap / (from.cost + to.cost)
		l, span, weight, found := k.cut(service, s, from.server.ID, want/s.Load.correction(), made, now)
		if !found && from.used > crowded {
			l, span, weight, found = k.wholeRange(service, s, from, made, now)
		}
		if found {
			weight *= s.Load.correction()
			from.used -= weight * from.cost
			to.used += weight * to.cost
			to.ranges++
			return move{lease: l, span: span, to: to.server.ID, rate: weight, gap: gap}, true
		}
	}
	return move{}, false
}

// crowded is the utilisation above which a server that has one busy key gives its
// other ranges away whole.
const crowded = 0.75

// wholeRange returns the range of a server with the most load that does not hold
// its busiest key.
func (k *Keeper) wholeRange(service site.ServiceName, s Site, from *usage, made []move, now time.Time) (best *lease, span Span, weight float64, found bool) {
	_, hot, _ := k.hottest(service, s, from.server.ID)
	for _, l := range k.leases[service] {
		if l.Server != from.server.ID || l.Contains(hot) || !k.movable(l, made, now) {
			continue
		}
		carried := s.Load.sum(service, l.Span) / s.Load.correction()
		if carried > weight {
			best, span, weight, found = l, l.Span, carried, true
		}
	}
	return best, span, weight, found
}

// hotShare is the share of a server's load from which one key is taken as a
// whole, before others are moved.
const hotShare = 0.35

// moveHotKey moves the busiest key of a server to the one that would be least
// used with it, if that leaves both less used than the server is now.
func (k *Keeper) moveHotKey(service site.ServiceName, s Site, from *usage, usages []*usage, made []move, now time.Time) (move, bool) {
	l, key, rate := k.hottest(service, s, from.server.ID)
	if l == nil || rate*from.cost < hotShare*from.used || !k.movable(l, made, now) {
		return move{}, false
	}
	best := from
	for _, u := range usages {
		if u != from && (best == from || u.used+rate*u.cost < best.used+rate*best.cost) {
			best = u
		}
	}
	gap := from.used - (best.used + rate*best.cost)
	if best == from || gap < leastGap {
		return move{}, false
	}
	from.used -= rate * from.cost
	best.used += rate * best.cost
	best.ranges++
	return move{lease: l, span: Span{From: key, To: key}, to: best.server.ID, rate: rate, gap: gap}, true
}

// hottest returns the busiest key of a server.
func (k *Keeper) hottest(service site.ServiceName, s Site, server site.ServerID) (hottest *lease, key Key, rate float64) {
	for candidate, recent := range s.Load.recent[service] {
		// Equal rates go by the key, so that a replay decides as the first time.
		if recent < rate || recent == rate && hottest != nil && candidate > key {
			continue
		}
		if l := k.leaseOf(service, candidate); l != nil && l.Server == server {
			hottest, key, rate = l, candidate, recent
		}
	}
	return hottest, key, rate
}

func (k *Keeper) leaseOf(service site.ServiceName, key Key) *lease {
	leases := k.leases[service]
	i, found := slices.BinarySearchFunc(leases, key, func(l *lease, key Key) int { return l.Compare(key) })
	if !found {
		return nil
	}
	return leases[i]
}

// movable reports whether a range can be released now.
func (k *Keeper) movable(l *lease, made []move, now time.Time) bool {
	isTaken := slices.ContainsFunc(made, func(m move) bool { return m.lease == l })
	return !isTaken && l.canRelease(now) && now.Sub(l.movedAt) >= restAfterMove
}

// cut finds the fewest neighbouring keys of a server that carry about want
// requests a second.
func (k *Keeper) cut(service site.ServiceName, s Site, from site.ServerID, want float64, made []move, now time.Time) (best *lease, span Span, weight float64, found bool) {
	for _, l := range k.leases[service] {
		if l.Server != from || !k.movable(l, made, now) {
			continue
		}
		window, carried, ok := window(s.Load.keys[service], l.Span, want)
		if ok && (!found || window.Keys() < span.Keys()) {
			best, span, weight, found = l, window, carried, true
		}
	}
	return best, span, weight, found
}

// window returns the shortest window of a span whose weight is near want.
func window(keys *[int(LastKey) + 1]float32, span Span, want float64) (Span, float64, bool) {
	var best Span
	var carried, sum float64
	found := false
	from := span.From
	for to := span.From; to <= span.To; to++ {
		sum += float64(keys[to])
		for from < to && sum-float64(keys[from]) >= enoughShare*want {
			sum -= float64(keys[from])
			from++
		}
		if sum < enoughShare*want || sum > mostShare*want {
			continue
		}
		candidate := Span{From: from, To: to}
		if !found || candidate.Keys() < best.Keys() {
			best, carried, found = candidate, sum, true
		}
	}
	return best, carried, found
}
