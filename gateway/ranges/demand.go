package ranges

import (
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
)

// Demands returns, for each server of the keyed services, the load that callers offer, its
// capacity, and its mean occupancy at its responses since the last call.
func (alloc *Allocator) Demands(s Site, now time.Time) []quota.Server {
	if s.Load == nil {
		return nil
	}
	var demands []quota.Server
	for name, service := range s.Services {
		if !service.Keyed || s.Load.services[name] == nil {
			continue
		}
		r := alloc.newRound(name, s, now)
		for _, u := range r.measure(alloc.eligibleServers(s, name, now)) {
			occupancy := s.Load.occupancies[u.server.ID]
			demand := quota.Server{ID: u.server.ID, Slots: u.server.Slots, Demand: r.offeredRate(u), Capacity: 1 / u.cost, Answers: occupancy.answers}
			if occupancy.answers > 0 {
				demand.MeanLoad = float64(occupancy.requests) / float64(occupancy.answers)
			}
			demands = append(demands, demand)
		}
	}
	clear(s.Load.occupancies)
	return demands
}

// offeredRate returns the requests a second that callers currently send for the keys of a
// server. The long-term load falls only seconds after keys have ceased to be busy; until
// then requests for other keys would be refused without need.
func (r *round) offeredRate(u *usage) float64 {
	longTerm, shortTerm := u.utilization/u.cost, 0.0
	for _, l := range slices.Concat(u.leases, u.incoming) {
		rates, factor := r.loads.shortTermRates(r.service, shortTermSettled)
		shortTerm += rates.sum(l.Span) * factor
	}
	if math.Abs(shortTerm-longTerm) > surgeDeviations*deviation(max(shortTerm, 1), shortTermHalfLife) {
		return shortTerm
	}
	return longTerm
}

// shortTermSettled is the time after which the short-term load includes the full rate.
const shortTermSettled = 5 * shortTermHalfLife
