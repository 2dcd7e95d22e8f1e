// Package siteconfig implements the site configuration: the text in which
// operators declare services and their dependencies. It reads and validates the
// text (JSON with comments), and converts it to and from the compiled form that
// the log carries.
package siteconfig

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Weighting selects the cost that the balancer avoids first.
type Weighting int

// Weightings.
const (
	WeightUnavailability Weighting = iota + 1 // few moves, to avoid unavailable time
	WeightImbalance                           // even load, at the cost of more moves
)

// Forever is the MaxDisconnected of a service whose ownership a disconnected zone
// may keep without a time limit.
const Forever time.Duration = -1

// Site is a validated site configuration.
type Site struct {
	Services      map[topo.Service]*Service
	LostZones     map[topo.Zone]bool // zones that operators have declared lost
	GroupsPerZone int
	TrustVMList   bool // treat a VM as gone when the VM list reports it gone
}

// Service is one service of the site.
type Service struct {
	Name      topo.Service
	DependsOn []topo.Service
	// Keyed reports whether servers own state by key. Any server of an unkeyed
	// service may process a request.
	Keyed  bool
	Shards uint32 // at least 1; 0 for unkeyed services
	// ConcurrencyPerServer and ConnectionsPerServer are the limits of one
	// server, shared by all entry nodes.
	ConcurrencyPerServer int
	ConnectionsPerServer int
	ChecksFencing        bool
	IdempotentMethods    map[string]bool // upper-case HTTP methods
	Deadline             time.Duration   // default and maximum deadline of a request
	MaxDisconnected      time.Duration   // or Forever
	Weighting            Weighting
	MaxBodyBytes         int64
	// AcceptUnfencedTakeover permits replacing an unresponsive server that does
	// not check fencing tokens without confirmation that it has stopped.
	AcceptUnfencedTakeover bool
	// RequireIdempotencyKey rejects non-idempotent requests without a ticket.
	RequireIdempotencyKey bool
}

// Idempotent reports whether requests of a method may be repeated.
func (s *Service) Idempotent(method string) bool { return s.IdempotentMethods[method] }
