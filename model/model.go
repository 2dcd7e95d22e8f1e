// Package model describes the systems that burdockspindle serves, for the
// experiment tool: zones, servers, their limits and delays, and what callers
// ask for. It holds data and seeded generators, and nothing that decides.
package model

import (
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Deployment is one site.
type Deployment struct {
	Name         string
	Zones        []topo.Zone
	EntryPerZone int // entry VMs in each zone
	// One-way delays: between a caller and an entry VM, between two zones, and
	// between two VMs of one zone.
	CallerDelay time.Duration
	ZoneDelay   time.Duration
	LocalDelay  time.Duration
	// NewConnection is what opening a connection costs before its first
	// request; ProbeCost is how long a server takes to answer a probe of its
	// load.
	NewConnection time.Duration
	ProbeCost     time.Duration
	Services      []Service
}

// Service is one service of a deployment.
type Service struct {
	Name        topo.Service
	Keyed       bool
	Shards      uint32 // hash ranges of a keyed service
	Targets     int    // backend servers
	Concurrency int    // requests that a server may hold at once
	Connections int    // connections that a server may hold
	Weighting   siteconfig.Weighting
	Deadline    time.Duration
	DependsOn   []Dependency
	// MeanBusy is the mean time for which a request holds its place on a server
	// of ordinary speed; Variation is its coefficient of variation.
	MeanBusy  time.Duration
	Variation float64
	// Utilization is the offered load as a part of all servers' capacity.
	Utilization float64
	// Keys is the number of keys in use, and Skew the exponent of the Zipf law
	// by which requests choose among them.
	Keys int
	Skew float64
	// Callers is the number of callers that share the service.
	Callers int
	// Idempotent is the part of the requests that may be repeated.
	Idempotent float64
}

// Dependency is a service that requests to another one call in turn.
type Dependency struct {
	Service topo.Service
	// Share is the part of the requests that call it.
	Share float64
}

// Capacity returns how many units of concurrency all servers have.
func (s *Service) Capacity() float64 { return float64(s.Targets * s.Concurrency) }

// Rate returns the requests per second of callers at factor 1, calls from other
// services left out.
func (s *Service) Rate() float64 {
	return s.Utilization * s.Capacity() / s.MeanBusy.Seconds()
}

// Service returns a service by name; nil if there is none.
func (d *Deployment) Service(name topo.Service) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Site returns the site configuration of the deployment.
func (d *Deployment) Site() *siteconfig.Site {
	site := &siteconfig.Site{
		Services:      make(map[topo.Service]*siteconfig.Service, len(d.Services)),
		GroupsPerZone: 1,
		TrustVMList:   true,
	}
	for i := range d.Services {
		site.Services[d.Services[i].Name] = d.Services[i].config()
	}
	return site
}

const maxBodyBytes = 1 << 20

func (s *Service) config() *siteconfig.Service {
	config := &siteconfig.Service{
		Name:                 s.Name,
		Keyed:                s.Keyed,
		ConcurrencyPerServer: s.Concurrency,
		ConnectionsPerServer: s.Connections,
		ChecksFencing:        true,
		IdempotentMethods:    map[string]bool{"GET": true},
		Deadline:             s.Deadline,
		Weighting:            s.Weighting,
		MaxBodyBytes:         maxBodyBytes,
	}
	if s.Keyed {
		config.Shards = s.Shards
	}
	for _, dependency := range s.DependsOn {
		config.DependsOn = append(config.DependsOn, dependency.Service)
	}
	return config
}

// ServerID names the index-th server of a service.
func ServerID(service topo.Service, index int) topo.ServerID {
	return topo.ServerID(fmt.Sprintf("%s-%02d", service, index))
}

// NodeID names the index-th entry VM of a zone.
func NodeID(zone topo.Zone, index int) topo.NodeID {
	return topo.NodeID(fmt.Sprintf("%s-entry-%d", zone, index))
}

// Key names the index-th key of a service.
func Key(service topo.Service, index int) string {
	return fmt.Sprintf("%s-key-%d", service, index)
}
