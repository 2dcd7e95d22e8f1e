package guidance

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// mixHalfLife is the half-life of the counts of requests by priority.
	mixHalfLife = 5 * time.Second
	// minMixShare is the share of a service's requests from which on a priority counts as used. Idle routes, which get
	// only the requests that check them, do not make a service mixed.
	minMixShare = 0.1
	// minMixRequests is the decayed number of requests from which on shares are compared: a few requests tell nothing.
	minMixRequests = 40
	// mixRetention is how long a service stays mixed without requests of several priorities: demand comes in waves.
	mixRetention = 30 * time.Second
)

// Mix finds out which services are mixed: the configuration sends routes of several priorities to them, and two or more of
// these priorities are in use.
type Mix struct {
	services map[site.ServiceName]*mixedService
	last     time.Time // of the latest decay
	// priorities are those of config, the latest configuration: routes are many, and configurations change rarely.
	priorities map[site.ServiceName][]int
	config     *site.Config
}

type mixedService struct {
	requests   map[int]float64 // decayed, by priority
	mixedUntil time.Time
}

// NewMix returns a mix without any counts.
func NewMix() *Mix { return &Mix{services: map[site.ServiceName]*mixedService{}} }

// Count adds requests of a priority for a service.
func (m *Mix) Count(service site.ServiceName, priority, requests int) {
	s := m.services[service]
	if s == nil {
		s = &mixedService{requests: map[int]float64{}}
		m.services[service] = s
	}
	s.requests[priority] += float64(requests)
}

// Start treats services as mixed in the recent past: those that an earlier lessor has found to be so.
func (m *Mix) Start(mixed []site.ServiceName, now time.Time) {
	for _, service := range mixed {
		m.services[service] = &mixedService{requests: map[int]float64{}, mixedUntil: now.Add(mixRetention)}
	}
}

// Mixed returns the services that are mixed now, sorted.
func (m *Mix) Mixed(config *site.Config, now time.Time) []site.ServiceName {
	m.decay(now)
	if config == nil {
		return nil
	}
	priorities := m.prioritiesOf(config)
	for name, s := range m.services {
		if _, exists := config.Services[name]; !exists {
			delete(m.services, name)
			continue
		}
		if s.used(priorities[name]) >= 2 {
			s.mixedUntil = now.Add(mixRetention)
		}
	}
	var mixed []site.ServiceName
	for name, s := range m.services {
		if now.Before(s.mixedUntil) && len(priorities[name]) >= 2 {
			mixed = append(mixed, name)
		}
	}
	slices.Sort(mixed)
	return mixed
}

// prioritiesOf returns the priorities of services by a configuration, which must not be modified meanwhile.
func (m *Mix) prioritiesOf(config *site.Config) map[site.ServiceName][]int {
	if config != m.config {
		m.config, m.priorities = config, config.PrioritiesByService()
	}
	return m.priorities
}

func (m *Mix) decay(now time.Time) {
	if m.last.IsZero() {
		m.last = now
	}
	factor := math.Exp2(-now.Sub(m.last).Seconds() / mixHalfLife.Seconds())
	m.last = now
	for _, s := range m.services {
		for priority := range s.requests {
			s.requests[priority] *= factor
		}
	}
}

// used returns how many of the priorities of the configuration have a noticeable part of the requests.
func (s *mixedService) used(priorities []int) int {
	total := 0.0
	for requests := range maps.Values(s.requests) {
		total += requests
	}
	if total < minMixRequests {
		return 0
	}
	used := 0
	for _, priority := range priorities {
		if s.requests[priority] >= minMixShare*total {
			used++
		}
	}
	return used
}
