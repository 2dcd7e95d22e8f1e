package route_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/topo"
)

func nobody(topo.NodeID) bool { return false }

func everybody(topo.NodeID) bool { return true }

func zero() float64 { return 0 }

// past is the decision of a node that cannot reach the lessor, but all others.
func past(site *routetest.Site, node route.Self, d route.Decision) route.Decision {
	return d.PastLessor(site.View(), node, nobody, zero)
}

// withNodes is a site whose server b1 is led by n2, with so many nodes besides.
func withNodes(limit, connections, count int) (*routetest.Site, route.Decision) {
	site := newSite()
	limited := service(records, 8)
	limited.ConcurrencyPerServer, limited.ConnectionsPerServer = limit, connections
	site.Configure(limited, service(plans, 0))
	for i := range count {
		site.Run(topo.NodeID(fmt.Sprint("extra-", i)), "b1", "127.0.0.1:3")
	}
	site.Assign(shardOf("k"), "b1", "")
	return site, route.Keyed(site.View(), nil, self, records, "k")
}

// TestDeputiesStayWithinTheServersLimit: all nodes decide from the same view.
// Those that send directly have no more places together than the server; every
// other one forwards to one of them, which takes the request.
func TestDeputiesStayWithinTheServersLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		connections := rapid.SampledFrom([]int{0, 4, 8, 100, 130}).Draw(t, "connections")
		site, d := withNodes(limit, connections, rapid.SampledFrom([]int{0, 1, 7, 60, 660}).Draw(t, "nodes"))
		uniform := rapid.Float64Range(0, 0.999).Draw(t, "uniform")
		g := gomega.NewWithT(t)
		view := site.View()
		places := 0
		for id := range view.Nodes() {
			if id == d.Lessor {
				continue
			}
			way := d.PastLessor(view, route.Self{Node: id, Boot: "b1"}, nobody, func() float64 { return uniform })
			if way.Path == route.PathDirect {
				places += way.Places
				continue
			}
			g.Expect(way.Path).To(gomega.Equal(route.PathDeputy))
			taken, allowed := d.AsDeputy(view, route.Self{Node: way.Next(), Boot: "b1"}, d.Lessor)
			g.Expect(allowed).To(gomega.BeTrue())
			g.Expect(taken.Path).To(gomega.Equal(route.PathDirect))
		}
		g.Expect(places).To(gomega.BeNumerically(">", 0))
		g.Expect(places).To(gomega.BeNumerically("<=", limit))
		if connections > 0 {
			g.Expect(places).To(gomega.BeNumerically("<=", connections/4))
		}
	})
}

// TestTheStandbyLessorHasMostPlaces, and two nodes have one each.
func TestTheStandbyLessorHasMostPlaces(t *testing.T) {
	g := gomega.NewWithT(t)
	site, d := withNodes(6, 100, 20)
	site.LeadWithStandby(groupB, "n2", "b1", "extra-7")
	deputies := route.Deputies(site.View(), d)
	g.Expect(deputies).To(gomega.HaveLen(3))
	g.Expect(deputies[0]).To(gomega.Equal(route.Deputy{Node: "extra-7", Places: 4}))
	for _, deputy := range deputies[1:] {
		g.Expect(deputy.Places).To(gomega.Equal(1))
		g.Expect(deputy.Node).NotTo(gomega.BeElementOf("extra-7", "n2"))
	}
	standby := route.Self{Node: "extra-7", Boot: "b1"}
	g.Expect(past(site, standby, d).Places).To(gomega.Equal(4))
}

// TestAnotherNodeChangesOneDeputyAtMost, so that two views that differ by a node
// let one request more to a server.
func TestAnotherNodeChangesOneDeputyAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	site, d := withNodes(6, 100, 20)
	for i := range 50 {
		before := map[topo.NodeID]bool{}
		for _, deputy := range route.Deputies(site.View(), d) {
			before[deputy.Node] = true
		}
		site.Run(topo.NodeID(fmt.Sprint("later-", i)), "b1", "127.0.0.1:3")
		changed := 0
		for _, deputy := range route.Deputies(site.View(), d) {
			if !before[deputy.Node] {
				changed++
			}
		}
		g.Expect(changed).To(gomega.BeNumerically("<=", 1))
	}
}

// TestNoDeputyLeft: the lessor is waited for, and nobody takes a request for a
// lessor that its own view does not name.
func TestNoDeputyLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	site, d := withNodes(4, 3, 20) // too few connections for any
	g.Expect(past(site, self, d).Path).To(gomega.Equal(route.PathForward))

	site, d = withNodes(4, 100, 200)
	for id := range site.View().Nodes() {
		node := route.Self{Node: id, Boot: "b1"}
		if way := d.PastLessor(site.View(), node, everybody, zero); way.Path != route.PathDirect {
			g.Expect(way).To(gomega.Equal(d))
		}
		_, allowed := d.AsDeputy(site.View(), node, "another")
		g.Expect(allowed).To(gomega.BeFalse())
		_, allowed = d.AsDeputy(site.View(), node, "")
		g.Expect(allowed).To(gomega.BeFalse())
	}
}
