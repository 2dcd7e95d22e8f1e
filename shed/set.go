package shed

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Set holds the monitors of all services. Methods may be called concurrently.
type Set struct {
	mu       sync.Mutex
	monitors map[topo.Service]*Monitor
}

// NewSet returns a set in which nothing was refused.
func NewSet() *Set { return &Set{monitors: map[topo.Service]*Monitor{}} }

// Add counts the final answer to a request for a service: for what the service
// depends on as a dependant's request, and for the service itself, if it was a
// call from another service, as refused or not. Requests that were shed must not
// be added.
func (s *Set) Add(now time.Time, site *siteconfig.Site, service topo.Service, call, refused bool) {
	if site == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if config, exists := site.Services[service]; exists {
		for _, name := range config.DependsOn {
			s.monitor(name).Request(now)
		}
	}
	if call && refused {
		s.monitor(service).Refused(now)
	}
}

func (s *Set) monitor(service topo.Service) *Monitor {
	found, exists := s.monitors[service]
	if !exists {
		found = &Monitor{}
		s.monitors[service] = found
	}
	return found
}

// Share is the share of a service's requests to refuse now: the highest over
// everything that it depends on, directly or not.
func (s *Set) Share(now time.Time, site *siteconfig.Site, service topo.Service) float64 {
	config, exists := site.Services[service]
	if !exists || len(config.DependsOn) == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest(now, site, config, len(site.Services))
}

// highest walks the dependencies; depth ends the walk should they ever be
// circular, which a validated site configuration rules out.
func (s *Set) highest(now time.Time, site *siteconfig.Site, config *siteconfig.Service, depth int) float64 {
	highest := 0.0
	if depth == 0 {
		return highest
	}
	for _, name := range config.DependsOn {
		if monitor, exists := s.monitors[name]; exists {
			highest = max(highest, monitor.Share(now))
		}
		if next, exists := site.Services[name]; exists {
			highest = max(highest, s.highest(now, site, next, depth-1))
		}
	}
	return highest
}

// Rates returns, for each service, the share of its dependants' requests that
// had a call to it refused, for dumps.
func (s *Set) Rates(now time.Time) map[topo.Service]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := make(map[topo.Service]float64, len(s.monitors))
	for service, monitor := range s.monitors {
		rates[service] = monitor.Rate(now)
	}
	return rates
}
