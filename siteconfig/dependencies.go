package siteconfig

import (
	"slices"
	"strings"

	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/topo"
)

// checkDependencies rejects unknown, duplicate and cyclic dependencies.
func checkDependencies(services *jsonc.Object, site *Site) {
	for _, name := range site.names() {
		service := services.Get(string(name)).Object()
		checkDependencyNames(service.Get("dependsOn"), site)
	}
	for _, cycle := range findCycles(site) {
		first := services.Get(string(cycle[0])).Object()
		first.Get("dependsOn").Problem("dependency cycle: " + joinCycle(cycle))
	}
}

func checkDependencyNames(dependsOn *jsonc.Value, site *Site) {
	if !dependsOn.IsArray() {
		return // readDependsOn has reported the wrong type
	}
	seen := map[string]bool{}
	for _, element := range dependsOn.Elements() {
		name := element.String("")
		if name == "" {
			continue
		}
		if seen[name] {
			element.Problem("given twice")
		}
		seen[name] = true
		if _, exists := site.Services[topo.Service(name)]; !exists {
			element.Problem("no service is called " + name)
		}
	}
}

func joinCycle(cycle []topo.Service) string {
	texts := make([]string, 0, len(cycle)+1)
	for _, name := range cycle {
		texts = append(texts, string(name))
	}
	texts = append(texts, string(cycle[0]))
	return strings.Join(texts, " → ")
}

// Colours of the services in the depth-first search.
const (
	unvisited = iota
	onPath
	finished
)

// cycleSearch is a depth-first search that finds one cycle for each back edge.
type cycleSearch struct {
	site   *Site
	colour map[topo.Service]int
	path   []topo.Service
	cycles [][]topo.Service
}

// findCycles returns cycles of the dependency graph, each starting with its
// smallest name; none if the graph is acyclic.
func findCycles(site *Site) [][]topo.Service {
	search := &cycleSearch{site: site, colour: map[topo.Service]int{}}
	for _, name := range site.names() {
		if search.colour[name] == unvisited {
			search.visit(name)
		}
	}
	return search.cycles
}

func (search *cycleSearch) visit(name topo.Service) {
	service, exists := search.site.Services[name]
	if !exists {
		return
	}
	search.colour[name] = onPath
	search.path = append(search.path, name)
	for _, dependency := range service.DependsOn {
		switch search.colour[dependency] {
		case unvisited:
			search.visit(dependency)
		case onPath:
			search.addCycle(dependency)
		}
	}
	search.path = search.path[:len(search.path)-1]
	search.colour[name] = finished
}

// addCycle records the part of the path that starts at first as a cycle, rotated
// so that its smallest name comes first. A cycle that is already recorded is
// ignored.
func (search *cycleSearch) addCycle(first topo.Service) {
	start := slices.Index(search.path, first)
	cycle := slices.Clone(search.path[start:])
	smallest := slices.Index(cycle, slices.Min(cycle))
	rotated := slices.Concat(cycle[smallest:], cycle[:smallest])
	for _, existing := range search.cycles {
		if slices.Equal(existing, rotated) {
			return
		}
	}
	search.cycles = append(search.cycles, rotated)
}
