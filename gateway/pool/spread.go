package pool

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Spreading handles many nodes that have the same guidance and rarely use each server: if each sent its requests to the
// servers that the guidance calls fast, they would all meet there, since a node learns of the requests of others only by
// answers. A node therefore draws servers at random, each with the share of the requests that it should get from all
// nodes together, and sends the request to the one that is least busy for its share. Nodes have seen different answers, so
// that they find different servers idle.
const (
	// drawnServers is the number of servers that are drawn for a request from the own zone, or else from the others.
	drawnServers = 12
	// maxDraws bounds the draws for them: a server without capacity is drawn in vain.
	maxDraws = 2 * drawnServers
	// spreadInterval is how often the shares are computed.
	spreadInterval = 250 * time.Millisecond
	// utilizationWeight is the weight of one report in the utilization of the servers.
	utilizationWeight = 0.02
	// initialUtilization is assumed without a report. At a high one, shares are in proportion to speed.
	initialUtilization = 0.9
)

// spread holds the shares of the requests that servers should get.
type spread struct {
	near, far   lottery // servers of the own zone and of others
	at          time.Time
	utilization float64 // mean share of slots busy that a request meets; 0: no report yet
}

// lottery draws servers with given weights.
type lottery struct {
	members []*member
	sums    []float64 // cumulative weights
}

func (l *lottery) add(m *member, weight float64) {
	if weight <= 0 {
		return
	}
	l.members = append(l.members, m)
	l.sums = append(l.sums, l.total()+weight)
}

func (l *lottery) total() float64 {
	if len(l.sums) == 0 {
		return 0
	}
	return l.sums[len(l.sums)-1]
}

// draw returns the server at a fraction of the weights.
func (l *lottery) draw(fraction float64) *member {
	i := sort.SearchFloat64s(l.sums, fraction*l.total())
	return l.members[min(i, len(l.members)-1)]
}

// noteUtilization records how busy an answer found its server, itself not counted.
func (s *spread) noteUtilization(present, slots int) {
	busy := min(1, float64(max(present-1, 0))/float64(max(slots, 1)))
	if s.utilization == 0 {
		s.utilization = initialUtilization
	}
	s.utilization += utilizationWeight * (busy - s.utilization)
}

// refreshSpread computes the shares anew once in a while.
func (p *Pool) refreshSpread(now time.Time) {
	if age := now.Sub(p.spread.at); age >= 0 && age < spreadInterval {
		return
	}
	s := &p.spread
	s.at = now
	s.near, s.far = lottery{s.near.members[:0], s.near.sums[:0]}, lottery{s.far.members[:0], s.far.sums[:0]}
	rates := make([]float64, len(p.order))
	for i, m := range p.order {
		if m.MayServe(false, now) && !m.blocked(now) {
			rates[i] = p.usableSlots(m, now) / m.relative(now)
		}
	}
	spare := spareFactor(rates, s.load())
	for i, m := range p.order {
		l := &s.far
		if m.Zone == p.zone {
			l = &s.near
		}
		m.speed.usual = 0
		if spare > 0 && rates[i] > 0 {
			m.speed.usual = max(0, math.Sqrt(rates[i])/spare-1)
		}
		l.add(m, rates[i]-spare*math.Sqrt(rates[i]))
	}
}

func (s *spread) load() float64 {
	if s.utilization == 0 {
		return initialUtilization
	}
	return s.utilization
}

// spareFactor returns f for the shares r - f√r of servers of rates r, which minimize the mean time of requests that
// arrive at random and use the given part of the sum of the rates. Servers with r < f² get none.
func spareFactor(rates []float64, utilization float64) float64 {
	sorted := slices.Clone(rates)
	slices.Sort(sorted)
	sum, roots := 0.0, 0.0
	for _, rate := range sorted {
		sum += rate
		roots += math.Sqrt(rate)
	}
	demand := utilization * sum
	for _, rate := range sorted { // the slowest without a share are left out one by one
		if roots <= 0 {
			break
		}
		factor := (sum - demand) / roots
		if rate > 0 && math.Sqrt(rate) >= factor {
			return factor
		}
		sum -= rate
		roots -= math.Sqrt(rate)
	}
	return 0
}

// pickDrawn returns the best of some servers that are drawn by their shares. It returns nil if none of them has capacity,
// or without guidance. One of the own zone is preferred as in soonest.
func (p *Pool) pickDrawn(w *Waiter, now time.Time) *member {
	if !p.isGuided(now) {
		return nil
	}
	p.refreshSpread(now)
	near, nearTime := p.leastBusy(&p.spread.near, w, now)
	if near != nil && nearTime < ownZoneShare*w.Target.Sub(now).Seconds() {
		return near
	}
	far, farTime := p.leastBusy(&p.spread.far, w, now)
	if near != nil && (far == nil || nearTime <= farTime) {
		return near
	}
	return far
}

// leastBusy draws servers with capacity and returns the one whose expected time exceeds its usual one least, with its expected time.
func (p *Pool) leastBusy(l *lottery, w *Waiter, now time.Time) (best *member, bestTime float64) {
	var drawn [drawnServers]*member
	least := math.Inf(1)
	for _, m := range drawn[:p.draw(l, drawn[:], w, now)] {
		expected := p.expectedTime(m, w, now)
		if excess := expected - p.guidedBehind(m, w.work, m.speed.usual, now); excess < least {
			best, bestTime, least = m, expected, excess
		}
	}
	return best, bestTime
}

// draw fills the slots of drawn with servers that have capacity and returns how many it has found.
func (p *Pool) draw(l *lottery, drawn []*member, w *Waiter, now time.Time) int {
	count := 0
	for range maxDraws {
		if count == len(drawn) || len(l.members) == 0 {
			break
		}
		m := l.draw(p.random.Float64())
		if !slices.Contains(drawn[:count], m) && p.canSend(m, w, now) {
			drawn[count] = m
			count++
		}
	}
	return count
}
