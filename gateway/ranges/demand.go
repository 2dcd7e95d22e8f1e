package ranges

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
)

// Demands returns what callers ask of each server of the keyed services, what it can run,
// and what it had at its answers since the last call.
func (k *Allocator) Demands(s Site, now time.Time) []quota.Server {
	if s.Load == nil {
		return nil
	}
	var demands []quota.Server
	for name, service := range s.Services {
		if !service.Keyed || s.Load.services[name] == nil {
			continue
		}
		r := &round{allocator: k, service: name, loads: s.Load, now: now}
		for _, u := range r.measure(k.takers(s, name, now)) {
			told := s.Load.presents[u.server.ID]
			demand := quota.Server{ID: u.server.ID, Slots: u.server.Slots, Asked: r.asked(u), Runs: 1 / u.cost, Answers: told.answers}
			if told.answers > 0 {
				demand.Present = float64(told.requests) / float64(told.answers)
			}
			demands = append(demands, demand)
		}
	}
	clear(s.Load.presents)
	return demands
}

// asked returns the requests a second for a server's keys now. The steady load follows
// seconds after keys have ceased to be busy; by then others would be refused for nothing.
func (r *round) asked(u *usage) float64 {
	steady, quick := u.used/u.cost, 0.0
	for _, l := range u.leases {
		rates, factor := r.loads.quick(r.service, quickSettled)
		quick += rates.sum(l.Span) * factor
	}
	if math.Abs(quick-steady) > surgeDeviations*deviation(max(quick, 1), quickHalfLife) {
		return quick
	}
	return steady
}

// quickSettled is after how long the quick load shows all that is asked.
const quickSettled = 5 * quickHalfLife
