package replay

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// guidanceDelay is the time after which the lessor has reliable estimates.
	guidanceDelay = 3 * time.Second
	// guidanceInterval is how often the lessor repeats its guidance.
	guidanceInterval = 2 * time.Second
	// guidanceError is the range of the relative error of a speed, in either direction.
	guidanceError = 0.15
	// minListed is the least deviation of a speed that the lessor sends.
	minListed = 0.05
	// mixedService is the name of the service of a load with routes.
	mixedService site.ServiceName = "mixed"
)

// Route is a kind of requests.
type Route struct {
	Name     string
	Share    float64       // of the requests
	Work     time.Duration // mean, at a typical server
	Target   time.Duration // answers after this time are late
	Priority int
}

// pickRoute returns the route of a new caller.
func (r *replay) pickRoute() *Route {
	left := r.arrivals.Float64()
	for i := range r.Routes {
		if left -= r.Routes[i].Share; left < 0 {
			return &r.Routes[i]
		}
	}
	return &r.Routes[len(r.Routes)-1]
}

// targetOf returns the time after which an answer to a caller is late.
func (r *replay) targetOf(c caller) time.Duration {
	if c.route != nil {
		return c.route.Target
	}
	return r.Target
}

// workAt returns how long a server runs a request on average.
func (r *replay) workAt(req *request, s *server) float64 {
	if req.route != nil {
		return float64(req.route.Work) * s.Relative
	}
	return float64(s.Work)
}

// sendGuidance has the lessor send its estimates to all nodes while requests arrive.
func (r *replay) sendGuidance() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	g := guidance.Guidance{Mixed: []site.ServiceName{mixedService}, Speeds: map[site.ServerID]float64{}, Work: map[string]float64{}}
	for i, s := range r.servers {
		estimate := s.Relative * (1 + guidanceError*(2*r.random.Float64()-1))
		if math.Abs(estimate-1) > minListed {
			g.Speeds[r.currentID(i)] = estimate
		}
	}
	for _, route := range r.Routes {
		g.Work[route.Name] = route.Work.Seconds()
	}
	for i, p := range r.pools {
		p.SetGuidance(mixedService, g, r.now)
		r.deliver(i, p.Admit(r.now))
	}
	r.schedule(guidanceInterval, r.sendGuidance)
}
