package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// surgeTime is for how long the load of a range that has become busy is taken from
	// the quick memory: by then the steady one shows it.
	surgeTime = 2 * time.Second
	// paceSpread bounds how much faster or slower than others a server counts:
	// measured times include its queue.
	paceSpread = 3
)

// usage is the load of one server.
type usage struct {
	server site.Server
	cost   float64 // utilisation that one request a second causes
	used   float64 // utilisation
	chance float64 // standard deviation of it, by the chance in the counts
	ranges int
	leases []*lease // that it owns and keeps
}

// measure returns the load of each server. A range that is on its way to another one
// counts there.
func (r *round) measure(servers []site.Server) []*usage {
	typical := r.loads.typicalPace(servers)
	usages := make([]*usage, 0, len(servers))
	byID := make(map[site.ServerID]*usage, len(servers))
	for _, server := range servers {
		pace, known := r.loads.paces[server.ID]
		if !known {
			pace = typical
		}
		pace = min(max(pace, typical/paceSpread), typical*paceSpread)
		u := &usage{server: server, cost: pace / float64(max(server.Slots, 1))}
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
		r.noteSurge(l)
		u.ranges++
		u.used += r.rate(l) * u.cost
		if owner == l.Server {
			u.leases = append(u.leases, l)
		}
	}
	for _, u := range usages {
		u.chance = u.cost * r.loads.chance(u.used/u.cost)
	}
	return usages
}

// noteSurge looks whether a range has become busy just now.
func (r *round) noteSurge(l *lease) {
	if !r.loads.isSurge(r.service, l.Span) {
		return
	}
	if !r.surges(l) {
		l.surgeSince = r.now
	}
	l.surgeUntil = r.now.Add(surgeTime)
}

// surges reports whether a range, or one of which it is a part, has become busy lately.
func (r *round) surges(l *lease) bool { return r.now.Before(l.surgeUntil) }

// rate returns the requests a second for a range.
func (r *round) rate(l *lease) float64 {
	rates, factor := r.weights(l)
	return rates.sum(l.Span) * factor
}

// weights returns the load of each key of a range, and the factor that makes requests a
// second of it.
func (r *round) weights(l *lease) (rates *keyRates, factor float64) {
	if r.surges(l) {
		return r.loads.quick(r.service, r.now.Sub(l.surgeSince))
	}
	return r.loads.steady(r.service)
}

// hottest returns the busiest key of a server.
func (r *round) hottest(u *usage) (hottest *lease, key Key, rate float64) {
	for _, l := range u.leases {
		rates, factor := r.weights(l)
		for candidate := l.From; candidate <= l.To; candidate++ {
			if of := float64(rates[candidate]) * factor; of > rate {
				hottest, key, rate = l, candidate, of
			}
		}
	}
	return hottest, key, rate
}
