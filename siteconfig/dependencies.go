package siteconfig

import (
	"slices"
	"strings"

	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/topo"
)

// checkDependencies refuses unknown, repeated and cyclic dependencies.
func checkDependencies(services *jsonc.Object, site *Site) {
	for _, name := range site.names() {
		service := services.Get(string(name)).Object()
		checkNames(service.Get("dependsOn"), site)
	}
	for _, cycle := range findCycles(site) {
		first := services.Get(string(cycle[0])).Object()
		first.Get("dependsOn").Problem("dependency cycle: " + joinCycle(cycle))
	}
}

func checkNames(dependsOn *jsonc.Value, site *Site) {
	if !dependsOn.IsArray() {
		return // its wrong type was noted when it was read
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

// Colours of the depth-first search.
const (
	unvisited = iota
	onPath
	finished
)

// cycleSearch finds one cycle for each edge that closes one.
type cycleSearch struct {
	site   *Site
	colour map[topo.Service]int
	path   []topo.Service
	cycles [][]topo.Service
}

// findCycles returns cycles of the dependency graph, each beginning with its
// least name; none when the graph is acyclic.
func findCycles(site *Site) [][]topo.Service {
	search := &cycleSearch{site: site, colour: map[topo.Service]int{}}
	for _, name := range site.names() {
		if search.colour[name] == unvisited {
			search.visit(name)
		}
	}
	return search.cycles
}

func (c *cycleSearch) visit(name topo.Service) {
	service, exists := c.site.Services[name]
	if !exists {
		return
	}
	c.colour[name] = onPath
	c.path = append(c.path, name)
	for _, dependency := range service.DependsOn {
		switch c.colour[dependency] {
		case unvisited:
			c.visit(dependency)
		case onPath:
			c.addCycle(dependency)
		}
	}
	c.path = c.path[:len(c.path)-1]
	c.colour[name] = finished
}

// addCycle notes the part of the path that begins with first, turned so that
// its least name leads.
func (c *cycleSearch) addCycle(first topo.Service) {
	start := slices.Index(c.path, first)
	cycle := slices.Clone(c.path[start:])
	least := slices.Index(cycle, slices.Min(cycle))
	turned := slices.Concat(cycle[least:], cycle[:least])
	for _, known := range c.cycles {
		if slices.Equal(known, turned) {
			return
		}
	}
	c.cycles = append(c.cycles, turned)
}
