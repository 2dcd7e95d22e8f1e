package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// surgeDuration is how long the load of a range that has become busy is taken from the
	// short-term average. After that the long-term average includes it.
	surgeDuration = 2 * time.Second
	// serviceTimeSpread limits the factor by which the service time of a server may differ
	// from the median, because measured times include the server's queue.
	serviceTimeSpread = 3
)

// usage is the load of one server.
type usage struct {
	server      site.Server
	cost        float64 // utilization per request a second
	utilization float64
	deviation   float64       // standard deviation of the utilization that follows from the random variation of the counts
	learned     *learnedUsage // nil: the cost is by reported service times
	ranges      int
	leases      []*rangeState // ranges that the server owns and keeps
	incoming    []*rangeState // ranges that are moving to the server
}

// measure returns the load of each server. A range that is moving is included in the load
// of its target.
func (r *round) measure(servers []site.Server) []*usage {
	costOf := r.costs(servers)
	usages := make([]*usage, 0, len(servers))
	byID := make(map[site.ServerID]*usage, len(servers))
	for _, server := range servers {
		u := costOf(server)
		if r.warmUpRate > 0 && server.IsCold() {
			u.cost = max(u.cost, 1/r.warmUpRate)
		}
		usages = append(usages, u)
		byID[server.ID] = u
	}
	for _, l := range r.allocator.leases[r.service] {
		owner := l.Server
		if l.next != "" {
			owner = l.next
		}
		u := byID[owner]
		if u == nil {
			continue
		}
		r.updateSurge(l)
		u.ranges++
		u.utilization += r.rate(l) * u.cost
		if owner == l.Server {
			u.leases = append(u.leases, l)
		} else {
			u.incoming = append(u.incoming, l)
		}
	}
	for _, u := range usages {
		u.deviation = u.cost * r.loads.rateDeviation(u.utilization/u.cost)
		u.addSpeedDeviation()
	}
	return usages
}

// costs returns the function that returns the usage of a server without requests.
func (r *round) costs(servers []site.Server) func(site.Server) *usage {
	if speeds, isLearned := r.loads.speedsOf(r.service); isLearned {
		return func(server site.Server) *usage { return learnedCost(server, speeds) }
	}
	typical := r.loads.typicalServiceTime(servers)
	return func(server site.Server) *usage {
		serviceTime, known := r.loads.serviceTimes[server.ID]
		if !known {
			serviceTime = typical
		}
		serviceTime = min(max(serviceTime, typical/serviceTimeSpread), typical*serviceTimeSpread)
		return &usage{server: server, cost: serviceTime / float64(max(server.Slots, 1))}
	}
}

// updateSurge records whether a range has just become busy.
func (r *round) updateSurge(l *rangeState) {
	if !r.loads.isSurge(r.service, l.Span) {
		return
	}
	if !r.isSurging(l) {
		l.surgeSince = r.now
	}
	l.surgeUntil = r.now.Add(surgeDuration)
}

// isSurging reports whether a range, or one from which it was split, has recently become
// busy.
func (r *round) isSurging(l *rangeState) bool { return r.now.Before(l.surgeUntil) }

// rate returns the requests a second for a range.
func (r *round) rate(l *rangeState) float64 {
	rates, factor := r.weights(l)
	return rates.sum(l.Span) * factor
}

// weights returns the load of each key of a range, and the factor that converts it to
// requests a second.
func (r *round) weights(l *rangeState) (rates *keyRates, factor float64) {
	if r.isSurging(l) {
		return r.loads.shortTermRates(r.service, r.now.Sub(l.surgeSince))
	}
	return r.loads.longTermRates(r.service)
}

// hottest returns the busiest key of a server.
func (r *round) hottest(u *usage) (hottest *rangeState, key Key, rate float64) {
	for _, l := range u.leases {
		rates, factor := r.weights(l)
		if busiest, of, found := rates.busiest(l.Span, rate/factor); found {
			hottest, key, rate = l, busiest, of*factor
		}
	}
	return hottest, key, rate
}
