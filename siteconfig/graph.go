package siteconfig

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/topo"
)

// StartOrder returns the services in an order in which each one follows all of
// its dependencies. It visits services and their dependencies by name, so that
// the order is deterministic.
func (s *Site) StartOrder() []topo.Service {
	order := make([]topo.Service, 0, len(s.Services))
	visited := map[topo.Service]bool{}
	var visit func(name topo.Service)
	visit = func(name topo.Service) {
		service, exists := s.Services[name]
		if !exists || visited[name] {
			return
		}
		visited[name] = true
		for _, dependency := range slices.Sorted(slices.Values(service.DependsOn)) {
			visit(dependency)
		}
		order = append(order, name)
	}
	for _, name := range s.names() {
		visit(name)
	}
	return order
}

// DrainOrder is the reverse of StartOrder: a service stops accepting requests
// before its dependencies do.
func (s *Site) DrainOrder() []topo.Service {
	order := s.StartOrder()
	slices.Reverse(order)
	return order
}

// Dependencies returns the direct and transitive dependencies of a service,
// sorted by name, without the service itself.
func (s *Site) Dependencies(name topo.Service) []topo.Service {
	found := map[topo.Service]bool{}
	var visit func(topo.Service)
	visit = func(current topo.Service) {
		service, exists := s.Services[current]
		if !exists {
			return
		}
		for _, dependency := range service.DependsOn {
			if !found[dependency] {
				found[dependency] = true
				visit(dependency)
			}
		}
	}
	visit(name)
	return sortedNames(found)
}

// Dependants returns the services that depend on a service, directly or
// transitively, sorted by name.
func (s *Site) Dependants(name topo.Service) []topo.Service {
	found := map[topo.Service]bool{}
	for _, candidate := range s.names() {
		if candidate != name && slices.Contains(s.Dependencies(candidate), name) {
			found[candidate] = true
		}
	}
	return sortedNames(found)
}

// Depth is the number of services on the longest chain of dependencies below a
// service: 0 for one that depends on nothing.
func (s *Site) Depth(name topo.Service) int {
	return s.depths()[name]
}

// ChainDepth is the maximum Depth of all services.
func (s *Site) ChainDepth() int {
	deepest := 0
	for _, depth := range s.depths() {
		deepest = max(deepest, depth)
	}
	return deepest
}

func (s *Site) depths() map[topo.Service]int {
	depths := make(map[topo.Service]int, len(s.Services))
	for _, name := range s.StartOrder() {
		depth := 0
		for _, dependency := range s.Services[name].DependsOn {
			depth = max(depth, depths[dependency]+1)
		}
		depths[name] = depth
	}
	return depths
}

// names returns the names of the services, sorted.
func (s *Site) names() []topo.Service {
	names := make([]topo.Service, 0, len(s.Services))
	for name := range s.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func sortedNames(set map[topo.Service]bool) []topo.Service {
	names := make([]topo.Service, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
