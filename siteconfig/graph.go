package siteconfig

import (
	"slices"

	"github.com/burdockspindle/burdockspindle/topo"
)

// StartOrder lists the services so that each comes after all that it depends
// on; services that are free to come in any order come by name.
func (s *Site) StartOrder() []topo.Service {
	order := make([]topo.Service, 0, len(s.Services))
	placed := map[topo.Service]bool{}
	var place func(name topo.Service)
	place = func(name topo.Service) {
		service, exists := s.Services[name]
		if !exists || placed[name] {
			return
		}
		placed[name] = true
		for _, dependency := range slices.Sorted(slices.Values(service.DependsOn)) {
			place(dependency)
		}
		order = append(order, name)
	}
	for _, name := range s.names() {
		place(name)
	}
	return order
}

// DrainOrder is StartOrder reversed: a service stops taking requests before
// those that it depends on.
func (s *Site) DrainOrder() []topo.Service {
	order := s.StartOrder()
	slices.Reverse(order)
	return order
}

// Dependencies lists all services that a service needs, directly or through
// others, by name, itself left out.
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

// Dependants lists all services that need a service, directly or through
// others, by name.
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

// ChainDepth is the greatest Depth of any service.
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

// names lists the services by name.
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
