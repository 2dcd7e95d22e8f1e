package router

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// newRegionalExchange returns a request of a route that names regions, at a node in zone a of region
// "home", on a site with a server in each of the zones.
func newRegionalExchange(t *testing.T, routeRegions ...string) *exchange {
	t.Helper()
	x := newKeyedExchange(t)
	x.keyed = false
	x.route.Regions = routeRegions
	x.router.SetOptions(Options{Region: "home", Regions: map[string]string{"a": "home", "b": "home", "c": "abroad"}})
	servers := map[site.ServerID]site.Server{}
	var members []view.Member
	for _, zone := range []string{"a", "b", "c", "unknown"} {
		id := site.ServerID("s-" + zone)
		servers[id] = site.Server{ID: id, Service: "s", Zone: zone, Slots: 1}
		members = append(members, view.Member{Node: "n-" + zone, Boot: "n-" + zone, Zone: zone, Address: "x"})
	}
	x.router.state.MergeServers(view.Servers{Offset: 2, Servers: servers})
	x.router.state.SetMembers(members)
	x.router.refreshView()
	return x
}

// zonesUsed returns the zones of the servers that get requests until all are full.
func (x *exchange) zonesUsed() []string {
	var zones []string
	for {
		w := x.waiter()
		w.Deadline, w.Target = time.Now().Add(time.Minute), time.Now().Add(time.Minute)
		server, _, refusal := x.service.requestSlot(w)
		if refusal != nil || server.ID == "" {
			return zones
		}
		zones = append(zones, server.Zone)
	}
}

func (x *exchange) candidateZones() []string {
	var zones []string
	for _, m := range x.forwardCandidates() {
		zones = append(zones, m.Zone)
	}
	return zones
}

// Guards against requests, and bodies, that leave the regions in which the operator allows them: a
// zone that is in no known region is in none of them.
func TestRequestsStayInTheRegionsOfTheirRoute(t *testing.T) {
	for _, c := range []struct {
		regions        []string
		servers, nodes []string
	}{
		{nil, []string{"a", "b", "c", "unknown"}, []string{"a", "b", "c", "unknown"}},
		{[]string{"home"}, []string{"a", "b"}, []string{"a", "b"}},
		{[]string{"abroad"}, []string{"c"}, []string{"a", "b", "c"}},
		{[]string{"elsewhere"}, nil, []string{"a", "b"}},
	} {
		g := gomega.NewWithT(t)
		x := newRegionalExchange(t, c.regions...)
		g.Expect(unique(x.zonesUsed())).To(gomega.ConsistOf(c.servers), "servers for %v", c.regions)
		g.Expect(x.candidateZones()).To(gomega.ConsistOf(c.nodes), "nodes for %v", c.regions)
	}
}

// A request that no server may run is refused at once.
func TestRequestWithoutAServerInItsRegionsIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newRegionalExchange(t, "elsewhere")
	_, _, refusal := x.service.requestSlot(x.waiter())
	g.Expect(refusal.Reason).To(gomega.Equal(pool.NoServer))
}

func unique(list []string) []string {
	var result []string
	seen := map[string]bool{}
	for _, entry := range list {
		if !seen[entry] {
			result = append(result, entry)
		}
		seen[entry] = true
	}
	return result
}
