package router

import (
	"expvar"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

var (
	eventGuided   = events.Define(2212, hclog.Info, "speeds of servers are used")
	eventUnguided = events.Define(2213, hclog.Info, "speeds of servers are not used any more")
)

// serverSpeeds shows the relative service times of the servers of each service that this node uses.
var serverSpeeds = group.Map("server_speeds")

// publishSpeeds shows the speeds that a service uses as a metric.
func (s *service) publishSpeeds() {
	serverSpeeds.Set(string(s.name), expvar.Func(func() any { return s.speeds() }))
}

func (s *service) speeds() pool.Speeds {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Speeds(time.Now())
}

// Speeds returns the speeds of servers that the services use, for the state dump.
func (r *Router) Speeds() map[site.ServiceName]pool.Speeds {
	r.mu.Lock()
	defer r.mu.Unlock()
	speeds := make(map[site.ServiceName]pool.Speeds, len(r.services))
	for name, s := range r.services {
		speeds[name] = s.speeds()
	}
	return speeds
}

// logGuidance logs that the service begins or ends to use the speeds and work of the guidance. s.mu must be held.
func (s *service) logGuidance(v *view.View, logger hclog.Logger, now time.Time) {
	isGuided := s.pool.IsGuided(now)
	if isGuided == s.isGuided {
		return
	}
	s.isGuided = isGuided
	event := eventUnguided
	if isGuided {
		event = eventGuided
	}
	g := v.Guidance
	event.Log(logger, "service", s.name, "mixed", g.Mixed, "speeds", len(g.Speeds), "routes", len(g.Work), "receivedAgo", now.Sub(g.ReceivedAt))
}

// noteSpeed records in the request's trace the speed by which its server was chosen.
func (x *exchange) noteSpeed(server site.Server) {
	if !x.view.Guidance.IsMixedAt(time.Now()) {
		return // other sites need not lock the pool once more for each request
	}
	x.service.mu.Lock()
	relative, age, isGuided := x.service.pool.SpeedOf(server.ID, time.Now())
	x.service.mu.Unlock()
	if isGuided {
		x.trace.note(string(server.ID) + " takes " + strconv.FormatFloat(relative, 'g', 3, 64) + " of the usual time, guidance " + milliseconds(age) + " old")
	}
}
