// Package siteconfig is the site configuration: the one text by which
// operators list services and their dependencies. It reads and validates the
// text (JSON with comments), and holds the compiled form that the log carries.
package siteconfig

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Weighting says which cost the balancer avoids first.
type Weighting int

// Weightings.
const (
	WeightUnavailability Weighting = iota + 1 // move rarely, avoid unavailable time
	WeightImbalance                           // keep load even, accept more moves
)

// Forever is the MaxDisconnected of a service whose zone may keep its ownership
// without limit while it is cut off.
const Forever time.Duration = -1

// Site is a validated site configuration.
type Site struct {
	Services      map[topo.Service]*Service
	LostZones     map[topo.Zone]bool // zones that the operator declares lost
	GroupsPerZone int
	TrustVMList   bool // believe the VM list when it says that a VM is gone
}

// Service is one service of the site.
type Service struct {
	Name      topo.Service
	DependsOn []topo.Service
	// Keyed services own state by key; any server of an unkeyed service may
	// take a request.
	Keyed  bool
	Shards uint32 // at least 1; unkeyed services have none
	// ConcurrencyPerServer and ConnectionsPerServer are the limits of one
	// server over all entry nodes.
	ConcurrencyPerServer int
	ConnectionsPerServer int
	ChecksFencing        bool
	IdempotentMethods    map[string]bool // upper-case HTTP methods
	Deadline             time.Duration   // for requests that name none, and the most that one may name
	MaxDisconnected      time.Duration   // or Forever
	Weighting            Weighting
	MaxBodyBytes         int64
	// AcceptUnfencedTakeover lets a silent server that does not check fencing
	// tokens be replaced without confirmation that it stopped.
	AcceptUnfencedTakeover bool
	// RequireIdempotencyKey refuses non-idempotent requests without a ticket.
	RequireIdempotencyKey bool
}

// Idempotent reports whether a method of the service may be repeated.
func (s *Service) Idempotent(method string) bool { return s.IdempotentMethods[method] }
