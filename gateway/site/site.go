// Package site holds what a gateway node knows of the site that it serves: the
// routes and services that the operator published, and the backend servers that
// registered themselves. It is vocabulary without I/O; values are never changed
// once they are shared.
package site

import (
	"math/rand/v2"
	"time"
)

// Version numbers the operator's site configurations; it only grows.
type Version uint64

// ServiceName names a service of the site.
type ServiceName string

// Kind tells whether a request may run more than once.
type Kind string

// The kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests are sent again only if they are known not to have run.
	AtMostOnce Kind = "at-most-once"
)

// Config is one version of the site configuration.
type Config struct {
	Version  Version                 `json:"version"`
	Routes   []Route                 `json:"routes"`
	Services map[ServiceName]Service `json:"services"`
	Limits   Limits                  `json:"limits"`

	byHost map[string][]*Route // longest prefix first; made by Index
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name     string        `json:"name"`
	Host     string        `json:"host"`
	Prefix   string        `json:"prefix"` // begins and ends with a slash
	Kind     Kind          `json:"kind"`
	Targets  []Target      `json:"targets"`  // at least one
	Timeout  time.Duration `json:"timeout"`  // longest time a request is kept waiting; 0: none
	Target   time.Duration `json:"target"`   // latency objective
	Attempts int           `json:"attempts"` // most servers that one request may be sent to
	Priority int           `json:"priority"` // 0 is the most urgent
}

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service ServiceName `json:"service"`
	Weight  int         `json:"weight"`
}

// Service is a group of servers that run the same requests.
type Service struct {
	Name  ServiceName `json:"name"`
	Keyed bool        `json:"keyed"` // each key is owned by one server
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int64         `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Server is one registered backend server.
type Server struct {
	ID       ServerID      `json:"id"`
	Service  ServiceName   `json:"service"`
	Address  string        `json:"address"`
	Zone     string        `json:"zone"`
	Slots    int           `json:"slots"` // requests that it runs at once
	Draining bool          `json:"draining"`
	WarmUp   time.Duration `json:"warmUp"` // how much longer it is slow after its start
	// ClockSetBack tells that this run began after one whose start lies later, by
	// clocks that were set meanwhile, as it has proved by writing.
	ClockSetBack bool `json:"clockSetBack,omitempty"`
}

// Load is what a server reported of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Total returns the requests that the server had, running or waiting.
func (l Load) Total() int { return l.Running + l.Waiting }

// Pick chooses the service of a request by the weights.
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
