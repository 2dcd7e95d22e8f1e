package siteconfig_test

import (
	"slices"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

var _ = ginkgo.Describe("dependency graph", func() {
	ginkgo.It("graph of a chain with a branch", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		site := siteOf(map[topo.Service][]topo.Service{
			"a": {"b", "d"}, "b": {"c"}, "c": nil, "d": {"c"}, "e": nil,
		})
		g.Expect(site.StartOrder()).To(gomega.Equal([]topo.Service{"c", "b", "d", "a", "e"}))
		g.Expect(site.Dependencies("a")).To(gomega.Equal([]topo.Service{"b", "c", "d"}))
		g.Expect(site.Dependants("c")).To(gomega.Equal([]topo.Service{"a", "b", "d"}))
		g.Expect(site.Dependants("e")).To(gomega.BeEmpty())
		g.Expect(site.Depth("a")).To(gomega.Equal(2))
		g.Expect(site.Depth("c")).To(gomega.Equal(0))
		g.Expect(site.ChainDepth()).To(gomega.Equal(2))
	})
})

type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// checkStartOrder fails unless each service appears once, after all of its
// dependencies, and the drain order is the reverse.
func checkStartOrder(t fatalReporter, site *siteconfig.Site) {
	order := site.StartOrder()
	if len(order) != len(site.Services) {
		t.Fatalf("%d services, %d in order", len(site.Services), len(order))
	}
	for name, service := range site.Services {
		for _, dependency := range service.DependsOn {
			if slices.Index(order, dependency) >= slices.Index(order, name) {
				t.Fatalf("%s starts before its dependency %s: %v", name, dependency, order)
			}
		}
	}
	drain := site.DrainOrder()
	slices.Reverse(drain)
	if !slices.Equal(drain, order) {
		t.Fatalf("drain order %v is not the reverse of %v", drain, order)
	}
}

// siteOf builds a site from the dependencies of each service, without parsing.
func siteOf(dependencies map[topo.Service][]topo.Service) *siteconfig.Site {
	site := &siteconfig.Site{Services: map[topo.Service]*siteconfig.Service{}}
	for name, dependsOn := range dependencies {
		site.Services[name] = &siteconfig.Service{Name: name, DependsOn: dependsOn}
	}
	return site
}

func TestAcyclicGraphHasStartOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "services")
		dependencies := map[topo.Service][]topo.Service{}
		for i := range count {
			name := topo.Service("s" + strconv.Itoa(i))
			dependencies[name] = nil
			for j := range i {
				if rapid.Bool().Draw(t, "edge") {
					dependencies[name] = append(dependencies[name], topo.Service("s"+strconv.Itoa(j)))
				}
			}
		}
		site := siteOf(dependencies)
		checkStartOrder(t, site)
		for name := range site.Services {
			for _, dependency := range site.Dependencies(name) {
				if !slices.Contains(site.Dependants(dependency), name) {
					t.Fatalf("%s needs %s but is not its dependant", name, dependency)
				}
				if site.Depth(dependency) >= site.Depth(name) {
					t.Fatalf("%s is no deeper than its dependency %s", name, dependency)
				}
			}
		}
	})
}
