// Package model describes the systems that burdockspindle serves, for the
// experiment tool: zones, servers, their limits and delays, and the load of
// callers. It contains data and seeded generators, but no decision logic.
package model

import (
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Deployment describes one site.
type Deployment struct {
	Name         string
	Zones        []topo.Zone
	EntryPerZone int // entry VMs in each zone
	// One-way delays: between a caller and an entry VM, between two zones, and
	// between two VMs of one zone.
	CallerDelay time.Duration
	ZoneDelay   time.Duration
	LocalDelay  time.Duration
	// NewConnection is the time to open a connection before its first
	// request; ProbeCost is the time in which a server answers a probe of its
	// load.
	NewConnection time.Duration
	ProbeCost     time.Duration
	Services      []Service
}

// Service describes one service of a deployment.
type Service struct {
	Name        topo.Service
	Keyed       bool
	Shards      uint32 // hash ranges of a keyed service
	Targets     int    // backend servers
	Concurrency int    // concurrent requests allowed per server
	Connections int    // connections allowed per server
	Weighting   siteconfig.Weighting
	Deadline    time.Duration
	DependsOn   []Dependency
	// MeanBusy is the mean time for which a request occupies its slot on a server
	// of nominal speed; Variation is the coefficient of variation of that time.
	MeanBusy  time.Duration
	Variation float64
	// Utilization is the offered load as a fraction of all servers' capacity.
	Utilization float64
	// Keys is the number of keys in use, and Skew the exponent of the Zipf distribution
	// from which requests draw their keys.
	Keys int
	Skew float64
	// Callers is the number of callers that share the service.
	Callers int
	// Idempotent is the fraction of the requests that may be repeated.
	Idempotent float64
}

// Dependency is a service that is called by requests to another service.
type Dependency struct {
	Service topo.Service
	// Share is the fraction of the requests that call it.
	Share float64
}

// Capacity returns the total concurrency of all servers.
func (s *Service) Capacity() float64 { return float64(s.Targets * s.Concurrency) }

// Rate returns the callers' requests per second at factor 1, excluding calls from other
// services.
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

// ServerID returns the ID of the index-th server of a service.
func ServerID(service topo.Service, index int) topo.ServerID {
	return topo.ServerID(fmt.Sprintf("%s-%02d", service, index))
}

// NodeID returns the ID of the index-th entry VM of a zone.
func NodeID(zone topo.Zone, index int) topo.NodeID {
	return topo.NodeID(fmt.Sprintf("%s-entry-%d", zone, index))
}

// Key returns the index-th key of a service.
func Key(service topo.Service, index int) string {
	return fmt.Sprintf("%s-key-%d", service, index)
}
