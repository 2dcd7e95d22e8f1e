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

// NewSet returns a set without recorded requests or refusals.
func NewSet() *Set { return &Set{monitors: map[topo.Service]*Monitor{}} }

// Add records the final response to a request for a service. Each direct
// dependency of the service counts it as a request of a dependant. If the request
// is a call from another service and was refused, the service itself counts a
// refused call. Requests that were shed must not be added.
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
	monitor, exists := s.monitors[service]
	if !exists {
		monitor = &Monitor{}
		s.monitors[service] = monitor
	}
	return monitor
}

// Share returns the fraction of a service's requests to refuse now, which is the
// highest over all its direct and transitive dependencies.
func (s *Set) Share(now time.Time, site *siteconfig.Site, service topo.Service) float64 {
	config, exists := site.Services[service]
	if !exists || len(config.DependsOn) == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest(now, site, config, len(site.Services))
}

// highest returns the highest share over the dependencies. depth bounds the
// recursion if they are circular, which a validated site configuration rules out.
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

// Rates returns, for each service, the fraction of its dependants' requests that
// had a call to it refused. It is used for dumps.
func (s *Set) Rates(now time.Time) map[topo.Service]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := make(map[topo.Service]float64, len(s.monitors))
	for service, monitor := range s.monitors {
		rates[service] = monitor.Rate(now)
	}
	return rates
}
