package planner

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// DependencyTimeout is how long a service waits for its dependencies before it is
// started without them.
const DependencyTimeout = 30 * time.Second

// startOrder lists the services in topological order: each follows its
// dependencies, and independent services are sorted by name. The site
// configuration has no dependency cycles.
func startOrder(site *siteconfig.Site) []*siteconfig.Service {
	if site == nil {
		return nil
	}
	names := make([]topo.Service, 0, len(site.Services))
	for name := range site.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	var ordered []*siteconfig.Service
	visited := map[topo.Service]bool{}
	var visit func(name topo.Service)
	visit = func(name topo.Service) {
		service, exists := site.Services[name]
		if !exists || visited[name] {
			return
		}
		visited[name] = true
		for _, dependency := range service.DependsOn {
			visit(dependency)
		}
		ordered = append(ordered, service)
	}
	for _, name := range names {
		visit(name)
	}
	return ordered
}

// hasOwnedShards reports whether any shard of a service has an owner.
func hasOwnedShards(view *state.View, service topo.Service) bool {
	owned := false
	view.EachShard(service, func(a state.Assignment) bool {
		owned = !a.Fence.IsZero()
		return !owned
	})
	return owned
}

// dependenciesReady reports whether each dependency of a service can serve
// requests: every shard has an owner or, for a service that is not keyed, at
// least one server is usable.
func dependenciesReady(view *state.View, service *siteconfig.Service) bool {
	for _, name := range service.DependsOn {
		dependency, exists := view.Service(name)
		if exists && !canServe(view, dependency) {
			return false
		}
	}
	return true
}

func canServe(view *state.View, service *siteconfig.Service) bool {
	if !service.Keyed {
		for id, server := range view.Servers() {
			if server.Service == service.Name && usable(view, id, server) {
				return true
			}
		}
		return false
	}
	all := view.ShardCount(service.Name) > 0
	view.EachShard(service.Name, func(a state.Assignment) bool {
		all = all && !a.Fence.IsZero()
		return all
	})
	return all
}

// usable reports whether a server may be assigned shards.
func usable(view *state.View, id topo.ServerID, server state.Server) bool {
	return server.Phase == state.PhaseLive && !view.ServerLost(id)
}

// releasableServices lists the retiring services whose shards may be released
// now: no retiring service that still has owned shards depends on them.
func releasableServices(view *state.View) []topo.Service {
	dependencies := map[topo.Service]bool{}
	for name, service := range view.Retiring() {
		if !hasOwnedShards(view, name) {
			continue
		}
		for _, dependency := range service.DependsOn {
			dependencies[dependency] = true
		}
	}
	var names []topo.Service
	for name := range view.Retiring() {
		if !dependencies[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
