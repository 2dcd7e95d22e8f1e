package limit

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Set contains the gates of the servers for which this node is the admission
// point or to which it sends directly. Methods may be called concurrently.
type Set struct {
	maxQueuedPerService int

	mu       sync.RWMutex
	gates    map[topo.ServerID]*gateEntry
	services map[topo.Service]*serviceCount
}

type gateEntry struct {
	gate *Gate
	spec Spec
}

// NewSet returns an empty set in which at most maxQueued requests of each service
// may wait.
func NewSet(maxQueued int) *Set {
	return &Set{
		maxQueuedPerService: maxQueued,
		gates:               map[topo.ServerID]*gateEntry{},
		services:            map[topo.Service]*serviceCount{},
	}
}

// Gate returns the gate of a server with the given configuration. If there is
// none, it creates a gate and treats the server as cold.
func (s *Set) Gate(service topo.Service, server topo.ServerID, spec Spec) *Gate {
	s.mu.RLock()
	found, exists := s.gates[server]
	current := exists && found.spec == spec
	s.mu.RUnlock()
	if current {
		return found.gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configure(service, server, spec)
}

func (s *Set) configure(service topo.Service, server topo.ServerID, spec Spec) *Gate {
	found, exists := s.gates[server]
	if !exists {
		found = &gateEntry{gate: newGate(s.serviceCountFor(service), spec, time.Now())}
		s.gates[server] = found
	}
	if found.spec != spec {
		found.spec = spec
		found.gate.configure(spec)
	}
	return found.gate
}

func (s *Set) serviceCountFor(service topo.Service) *serviceCount {
	found, exists := s.services[service]
	if !exists {
		found = &serviceCount{}
		found.max.Store(int64(s.maxQueuedPerService))
		s.services[service] = found
	}
	return found
}

func (g *Gate) configure(spec Spec) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Configure(spec)
}

// Find returns the gate of a server if there is one.
func (s *Set) Find(server topo.ServerID) (*Gate, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	found, exists := s.gates[server]
	if !exists {
		return nil, false
	}
	return found.gate, true
}

// Sweep sweeps every gate and returns how many requests wait.
func (s *Set) Sweep(now time.Time) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	waiting := 0
	for _, found := range s.gates {
		found.gate.sweep(now)
		waiting += found.gate.Queued()
	}
	return waiting
}

// Gates returns the gates by server.
func (s *Set) Gates() map[topo.ServerID]*Gate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[topo.ServerID]*Gate, len(s.gates))
	for server, found := range s.gates {
		all[server] = found.gate
	}
	return all
}

// Retain removes the gates of servers for which keep returns false, except gates
// with requests in flight or waiting.
func (s *Set) Retain(keep func(topo.ServerID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for server, found := range s.gates {
		if held, _ := found.gate.Load(); held == 0 && !keep(server) {
			delete(s.gates, server)
		}
	}
}
