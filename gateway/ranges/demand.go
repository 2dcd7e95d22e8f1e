package ranges

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
)

// Demands returns what callers ask of each server of the keyed services, what it can run,
// and what it had at its answers since the last call.
func (alloc *Allocator) Demands(s Site, now time.Time) []quota.Server {
	if s.Load == nil {
		return nil
	}
	var demands []quota.Server
	for name, service := range s.Services {
		if !service.Keyed || s.Load.services[name] == nil {
			continue
		}
		r := &round{allocator: alloc, service: name, loads: s.Load, now: now}
		for _, u := range r.measure(alloc.eligibleServers(s, name, now)) {
			occupancy := s.Load.occupancies[u.server.ID]
			demand := quota.Server{ID: u.server.ID, Slots: u.server.Slots, Asked: r.offeredRate(u), Runs: 1 / u.cost, Answers: occupancy.answers}
			if occupancy.answers > 0 {
				demand.Present = float64(occupancy.requests) / float64(occupancy.answers)
			}
			demands = append(demands, demand)
		}
	}
	clear(s.Load.occupancies)
	return demands
}

// offeredRate returns the requests a second for a server's keys now. The steady load follows
// seconds after keys have ceased to be busy; by then others would be refused for nothing.
func (r *round) offeredRate(u *usage) float64 {
	longTerm, shortTerm := u.utilization/u.cost, 0.0
	for _, l := range u.leases {
		rates, factor := r.loads.shortTermRates(r.service, shortTermSettled)
		shortTerm += rates.sum(l.Span) * factor
	}
	if math.Abs(shortTerm-longTerm) > surgeDeviations*deviation(max(shortTerm, 1), shortTermHalfLife) {
		return shortTerm
	}
	return longTerm
}

// shortTermSettled is after how long the quick load shows all that is asked.
const shortTermSettled = 5 * shortTermHalfLife
