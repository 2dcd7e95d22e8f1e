// Package site defines the types that describe the site that a gateway node serves:
// the routes and services that the operator published, and the backend servers that
// registered themselves. It does no I/O. Values must not be modified once they are
// shared.
package site

import (
	"math/rand/v2"
	"time"
)

// Version numbers the operator's site configurations and only increases.
type Version uint64

// ServiceName is the name of a service of the site.
type ServiceName string

// Kind states whether a request may run more than once.
type Kind string

// The kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests are retried only if they are known not to have run.
	AtMostOnce Kind = "at-most-once"
)

// Config is one version of the site configuration.
type Config struct {
	Version  Version                 `json:"version"`
	Routes   []Route                 `json:"routes"`
	Services map[ServiceName]Service `json:"services"`
	Limits   Limits                  `json:"limits"`

	byHost map[string][]*Route // longest prefix first; set by Index
}

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name     string        `json:"name"`
	Host     string        `json:"host"`
	Prefix   string        `json:"prefix"` // begins and ends with a slash
	Kind     Kind          `json:"kind"`
	Targets  []Target      `json:"targets"`  // at least one
	Timeout  time.Duration `json:"timeout"`  // longest time until a request is answered; 0: no limit
	Target   time.Duration `json:"target"`   // latency objective
	Attempts int           `json:"attempts"` // maximum number of servers that one request may be sent to
	Priority int           `json:"priority"` // 0 is the highest
	// Regions are the only regions whose servers may get the route's requests; empty: all.
	Regions []string `json:"regions,omitempty"`
	// LargeAnswers reports that answers are large, so that memory and link bound how many are in flight.
	LargeAnswers bool `json:"largeAnswers,omitempty"`
}

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service ServiceName `json:"service"`
	Weight  int         `json:"weight"`
}

// Service is a group of servers that run the same requests.
type Service struct {
	Name  ServiceName `json:"name"`
	Keyed bool        `json:"keyed"` // each key is owned by a single server
	// WarmUpRate is how many requests a second a cold server takes from all nodes together;
	// 0: it has no limit of its own.
	WarmUpRate float64 `json:"warmUpRate,omitempty"`
	// KeyWarmUp is for how long requests for a key take longer after a server has taken the key over without the handover
	// of its owner before; 0: not at all.
	KeyWarmUp time.Duration `json:"keyWarmUp,omitempty"`
	// HealthPath is the path of health checks; empty: there are none.
	HealthPath string `json:"healthPath,omitempty"`
}

// Limits bound the size of callers' requests and how long callers may take.
type Limits struct {
	HeaderBytes   int64         `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Server is one registered backend server.
type Server struct {
	ID       ServerID    `json:"id"`
	Service  ServiceName `json:"service"`
	Address  string      `json:"address"`
	Zone     string      `json:"zone"`
	Slots    int         `json:"slots"` // number of requests that it runs concurrently
	Draining bool        `json:"draining"`
	// WarmUp is the remaining time for which it is cold, as of when it turned cold or was first
	// seen so; 0: it is warm.
	WarmUp time.Duration `json:"warmUp"`
	// ClockSetBack reports that this incarnation began after one with a later start time,
	// because a clock was set back. Its later writes to the registry have proved the order.
	ClockSetBack bool `json:"clockSetBack,omitempty"`
	// EvacuateBy is set while the server's zone is evacuated: the time by which the keys that it
	// owns move to servers of other zones. Until then it gets requests for these keys, other
	// requests it does not get. Each node sets it by its own clock.
	EvacuateBy time.Time `json:"-"`
	// LeaveBy is the same for a server that has said in an answer that it is about to end.
	LeaveBy time.Time `json:"-"`
}

// IsCold reports whether the server is cold, as of its latest entry.
func (s Server) IsCold() bool { return s.WarmUp > 0 }

// IsEvacuated reports whether the server's zone is evacuated.
func (s Server) IsEvacuated() bool { return !s.EvacuateBy.IsZero() }

// WillEnd reports whether the server is about to end, by its registry entry or its own answers.
func (s Server) WillEnd() bool { return s.Draining || !s.LeaveBy.IsZero() }

// IsLeaving reports whether the server gets no new work: it is about to end, or its zone is
// evacuated.
func (s Server) IsLeaving() bool { return s.WillEnd() || s.IsEvacuated() }

// KeysUntil returns the time until which a leaving server gets requests for keys that it owns; zero: it gets
// none.
func (s Server) KeysUntil() time.Time {
	switch {
	case s.Draining:
		return time.Time{}
	case s.EvacuateBy.IsZero() || !s.LeaveBy.IsZero() && s.LeaveBy.Before(s.EvacuateBy):
		return s.LeaveBy
	}
	return s.EvacuateBy
}

// MayServe reports whether the server may get a request now: any request, or only one for a key
// that it owns.
func (s Server) MayServe(ownsKey bool, now time.Time) bool {
	return !s.IsLeaving() || ownsKey && now.Before(s.KeysUntil())
}

// Load is the load that a server reported with an answer.
type Load struct {
	Running, Waiting, Slots int // requests
	// Slowdown is how long work takes on the server's machine at the moment, as a multiple of
	// the usual time; 0: not reported.
	Slowdown float64
}

// Total returns the number of requests at the server, running or waiting.
func (l Load) Total() int { return l.Running + l.Waiting }

// Pick chooses the service of a request at random by the weights of the targets.
func (r *Route) Pick(random *rand.Rand) ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	n := random.IntN(max(total, 1))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
