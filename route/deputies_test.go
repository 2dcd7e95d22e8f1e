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

func noneUnavailable(topo.NodeID) bool { return false }

func allUnavailable(topo.NodeID) bool { return true }

func zero() float64 { return 0 }

// bypass returns the decision of a node for which only the lessor is unreachable.
func bypass(site *routetest.Site, node route.Self, d route.Decision) route.Decision {
	return d.BypassLessor(site.View(), node, noneUnavailable, zero)
}

// withNodes returns a site with count additional nodes, in which the lessor of
// server b1 is n2, and the decision for a key that b1 owns.
func withNodes(limit, connections, count int) (*routetest.Site, route.Decision) {
	site := newSite()
	limited := service(records, 8)
	limited.ConcurrencyPerServer, limited.ConnectionsPerServer = limit, connections
	site.Configure(limited, service(plans, 0))
	for i := range count {
		site.Join(topo.NodeID(fmt.Sprint("extra-", i)), "b1", "127.0.0.1:3")
	}
	site.Assign(shardOf("k"), "b1", "")
	return site, route.Keyed(site.View(), nil, self, records, "k")
}

// TestDeputiesStayWithinTheServersLimit checks the decisions of all nodes from the
// same view. The nodes that send directly have together at most as many slots as
// the server; every other node forwards to one of them, which accepts the request.
func TestDeputiesStayWithinTheServersLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		connections := rapid.SampledFrom([]int{0, 4, 8, 100, 130}).Draw(t, "connections")
		site, d := withNodes(limit, connections, rapid.SampledFrom([]int{0, 1, 7, 60, 660}).Draw(t, "nodes"))
		uniform := rapid.Float64Range(0, 0.999).Draw(t, "uniform")
		g := gomega.NewWithT(t)
		view := site.View()
		slots := 0
		for id := range view.Nodes() {
			if id == d.Lessor {
				continue
			}
			decision := d.BypassLessor(view, route.Self{Node: id, Boot: "b1"}, noneUnavailable, func() float64 { return uniform })
			if decision.Path == route.PathDirect {
				slots += decision.Slots
				continue
			}
			g.Expect(decision.Path).To(gomega.Equal(route.PathDeputy))
			accepted, allowed := d.AsDeputy(view, route.Self{Node: decision.Next(), Boot: "b1"}, d.Lessor)
			g.Expect(allowed).To(gomega.BeTrue())
			g.Expect(accepted.Path).To(gomega.Equal(route.PathDirect))
		}
		g.Expect(slots).To(gomega.BeNumerically(">", 0))
		g.Expect(slots).To(gomega.BeNumerically("<=", limit))
		if connections > 0 {
			g.Expect(slots).To(gomega.BeNumerically("<=", connections/4))
		}
	})
}

// TestTheStandbyLessorHasMostSlots also checks that two more nodes have one slot
// each.
func TestTheStandbyLessorHasMostSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	site, d := withNodes(6, 100, 20)
	site.LeadWithStandby(groupB, "n2", "b1", "extra-7")
	deputies := route.Deputies(site.View(), d)
	g.Expect(deputies).To(gomega.HaveLen(3))
	g.Expect(deputies[0]).To(gomega.Equal(route.Deputy{Node: "extra-7", Slots: 4}))
	for _, deputy := range deputies[1:] {
		g.Expect(deputy.Slots).To(gomega.Equal(1))
		g.Expect(deputy.Node).NotTo(gomega.BeElementOf("extra-7", "n2"))
	}
	standby := route.Self{Node: "extra-7", Boot: "b1"}
	g.Expect(bypass(site, standby, d).Slots).To(gomega.Equal(4))
}

// TestAnotherNodeChangesOneDeputyAtMost checks that between two views that differ
// by one node at most one deputy differs, so that a server receives at most one
// request above its limit.
func TestAnotherNodeChangesOneDeputyAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	site, d := withNodes(6, 100, 20)
	for i := range 50 {
		before := map[topo.NodeID]bool{}
		for _, deputy := range route.Deputies(site.View(), d) {
			before[deputy.Node] = true
		}
		site.Join(topo.NodeID(fmt.Sprint("later-", i)), "b1", "127.0.0.1:3")
		changed := 0
		for _, deputy := range route.Deputies(site.View(), d) {
			if !before[deputy.Node] {
				changed++
			}
		}
		g.Expect(changed).To(gomega.BeNumerically("<=", 1))
	}
}

// TestNoDeputyLeft checks that the decision still leads to the lessor if there is
// no deputy, and that no node accepts a request as deputy of a lessor that is not
// the one in its own view.
func TestNoDeputyLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	site, d := withNodes(4, 3, 20) // too few connections for a deputy
	g.Expect(bypass(site, self, d).Path).To(gomega.Equal(route.PathForward))

	site, d = withNodes(4, 100, 200)
	for id := range site.View().Nodes() {
		node := route.Self{Node: id, Boot: "b1"}
		if decision := d.BypassLessor(site.View(), node, allUnavailable, zero); decision.Path != route.PathDirect {
			g.Expect(decision).To(gomega.Equal(d))
		}
		_, allowed := d.AsDeputy(site.View(), node, "another")
		g.Expect(allowed).To(gomega.BeFalse())
		_, allowed = d.AsDeputy(site.View(), node, "")
		g.Expect(allowed).To(gomega.BeFalse())
	}
}
