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
)

// Service is the name of the simulated service.
const Service site.ServiceName = "service"

// otherService is another service of the site.
const otherService site.ServiceName = "other"

// Guidance is what the lessor tells the nodes of a mixed site.
type Guidance int

// Kinds of guidance.
const (
	NoneSent       Guidance = iota // the site is not mixed
	MixedSent                      // only that another service of the site is mixed, so that this one has no admission by urgency
	SpeedsSent                     // the speeds of servers and the work of routes
	AdmissionsSent                 // the admitted shares by priority
)

// Route is a kind of requests.
type Route struct {
	Name  string
	Share float64 // of the requests of the load
	// Rate gives it arrivals of its own, as those of the load.
	Rate     func(at time.Duration) float64
	Work     time.Duration // mean, at a typical server
	Target   time.Duration // answers after this time are late
	Timeout  time.Duration // callers leave after this time; 0: that of the load
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

// timeoutOf returns the time after which a caller leaves.
func (r *replay) timeoutOf(c caller) time.Duration {
	if c.route != nil && c.route.Timeout > 0 {
		return c.route.Timeout
	}
	return r.CallerTimeout
}

// isCounted reports whether the request of a caller is part of the result.
func (r *replay) isCounted(c caller) bool {
	at := c.arrived.Sub(r.start)
	return at >= r.CountFrom && (r.CountTo == 0 || at < r.CountTo)
}

// workAt returns how long a server runs a request on average.
func (r *replay) workAt(req *request, s *server) float64 {
	work := float64(s.Work)
	if req.route != nil {
		work = float64(req.route.Work) * s.relative()
	}
	if s.isSlow {
		work *= slowFactor
	}
	return work
}

// relative returns the service time relative to a typical server.
func (s *Server) relative() float64 {
	if s.Relative == 0 {
		return 1
	}
	return s.Relative
}

// startGuidance has the lessor send the guidance of the load, unless the policy leaves it out.
func (r *replay) startGuidance() {
	switch {
	case r.Guidance == MixedSent && r.Policy != NoReturnOrder:
		r.setGuidance(guidance.Guidance{Mixed: []site.ServiceName{otherService}})
	case r.Guidance == SpeedsSent && r.Policy != NoGuidance:
		r.schedule(guidanceDelay, r.sendSpeeds)
	case r.Guidance == AdmissionsSent && r.Policy != NoUrgency:
		r.startAdmissions()
	}
}

// setGuidance has all nodes receive guidance.
func (r *replay) setGuidance(g guidance.Guidance) {
	for i, p := range r.pools {
		p.SetGuidance(Service, g, r.now)
		r.deliver(i, p.Admit(r.now))
	}
}

// sendSpeeds has the lessor send its estimates to all nodes while requests arrive.
func (r *replay) sendSpeeds() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	g := guidance.Guidance{Mixed: []site.ServiceName{Service}, Speeds: map[site.ServerID]float64{}, Work: map[string]float64{}}
	for i, s := range r.servers {
		estimate := s.relative() * (1 + guidanceError*(2*r.random.Float64()-1))
		if math.Abs(estimate-1) > minListed {
			g.Speeds[r.currentID(i)] = estimate
		}
	}
	for _, route := range r.Routes {
		g.Work[route.Name] = route.Work.Seconds()
	}
	r.setGuidance(g)
	r.schedule(guidanceInterval, r.sendSpeeds)
}
