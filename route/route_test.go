package route_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	records = topo.Service("records")
	plans   = topo.Service("plans")
	groupA  = topo.GroupID("zone-a/0")
	groupB  = topo.GroupID("zone-b/0")
)

var self = route.Self{Node: "n1", Boot: "b1"}

func service(name topo.Service, shards uint32) *siteconfig.Service {
	return &siteconfig.Service{Name: name, Keyed: shards > 0, Shards: shards, ConcurrencyPerServer: 4, ChecksFencing: true}
}

// newSite returns a site in which n1 leads group A with server a1, and n2 leads
// group B with servers b1 and p1.
func newSite() *routetest.Site {
	site := routetest.New()
	site.Configure(service(records, 8), service(plans, 0))
	site.Join("n1", "b1", "127.0.0.1:1")
	site.Join("n2", "b1", "127.0.0.1:2")
	site.Backend(server("a1", records, groupA))
	site.Backend(server("b1", records, groupB))
	site.Backend(server("p1", plans, groupB))
	site.Lead(groupA, "n1", "b1")
	site.Lead(groupB, "n2", "b1")
	return site
}

func server(id topo.ServerID, of topo.Service, group topo.GroupID) state.Server {
	return state.Server{ID: id, Service: of, Zone: group.Zone(), Address: "127.0.0.1:9", Group: group, Phase: state.PhaseLive}
}

func shardOf(key string) topo.ShardID {
	return topo.ShardID{Service: records, Index: topo.ShardIndex(key, 8)}
}

func TestDecisions(t *testing.T) {
	const key = "well-7"
	rows := []struct {
		name    string
		prepare func(site *routetest.Site) *route.Overlay
		service topo.Service
		path    route.Path
		reason  serverapi.Reason
		server  topo.ServerID
	}{
		{name: "unknown service", service: "nothing", path: route.PathRefuse, reason: callerapi.ReasonUnknownService},
		{name: "key for an unkeyed service", service: plans, path: route.PathRefuse, reason: callerapi.ReasonUnexpectedKey},
		{name: "no owner", service: records, path: route.PathWait, reason: callerapi.ReasonNoOwner},
		{name: "owner in own group", service: records, path: route.PathLocal, server: "a1",
			prepare: func(s *routetest.Site) *route.Overlay { s.Assign(shardOf(key), "a1", ""); return nil }},
		{name: "owner in another group", service: records, path: route.PathForward, server: "b1",
			prepare: func(s *routetest.Site) *route.Overlay { s.Assign(shardOf(key), "b1", ""); return nil }},
		{name: "group led by an earlier incarnation of this node", service: records, path: route.PathWait, reason: callerapi.ReasonNotLessor, server: "a1",
			prepare: func(s *routetest.Site) *route.Overlay {
				s.Assign(shardOf(key), "a1", "")
				s.Join("n1", "b0", "127.0.0.1:1")
				s.Lead(groupA, "n1", "b0")
				return nil
			}},
		{name: "standby activated off the log", service: records, path: route.PathForward, server: "b1",
			prepare: func(s *routetest.Site) *route.Overlay {
				fence := s.Assign(shardOf(key), "a1", "b1")
				return new(route.Overlay).Activate(route.Activation{Shard: shardOf(key), Fence: fence.Standby(), Owner: "b1"})
			}},
		{name: "activation superseded by the log", service: records, path: route.PathLocal, server: "a1",
			prepare: func(s *routetest.Site) *route.Overlay {
				fence := s.Assign(shardOf(key), "a1", "b1")
				s.Assign(shardOf(key), "a1", "")
				return new(route.Overlay).Activate(route.Activation{Shard: shardOf(key), Fence: fence.Standby(), Owner: "b1"})
			}},
		{name: "standby lessor that took over off the log", service: records, path: route.PathLocal, server: "b1",
			prepare: func(s *routetest.Site) *route.Overlay {
				s.Assign(shardOf(key), "b1", "")
				g, _ := s.View().Group(groupB)
				return new(route.Overlay).Continue(route.Continuation{Group: groupB, Term: g.Term.Standby(), Node: "n1", Boot: "b1"})
			}},
		{name: "owner gone", service: records, path: route.PathWait, reason: callerapi.ReasonNoOwner, server: "a1",
			prepare: func(s *routetest.Site) *route.Overlay {
				s.Assign(shardOf(key), "a1", "")
				s.ConfirmLost("a1")
				return nil
			}},
		{name: "split key", service: records, path: route.PathForward, server: "b1",
			prepare: func(s *routetest.Site) *route.Overlay {
				s.Assign(shardOf(key), "a1", "")
				split := shardOf(key)
				split.Key = key
				s.Assign(split, "b1", "")
				return nil
			}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			site := newSite()
			var overlay *route.Overlay
			if row.prepare != nil {
				overlay = row.prepare(site)
			}
			d := route.Keyed(site.View(), overlay, self, row.service, key)
			g.Expect(d.Path).To(gomega.Equal(row.path), d.Path.String())
			g.Expect(d.Reason).To(gomega.Equal(row.reason))
			g.Expect(d.Server).To(gomega.Equal(row.server))
		})
	}
}

func TestLessorIsBypassedOnlyIfServersCheckFences(t *testing.T) {
	g := gomega.NewWithT(t)
	site := newSite()
	site.Assign(shardOf("k"), "b1", "")
	d := route.Keyed(site.View(), nil, self, records, "k")
	g.Expect(bypass(site, self, d).Path).To(gomega.Equal(route.PathDirect))

	unfenced := service(records, 8)
	unfenced.ChecksFencing = false
	site.Configure(unfenced, service(plans, 0))
	d = route.Keyed(site.View(), nil, self, records, "k")
	g.Expect(bypass(site, self, d).Path).To(gomega.Equal(route.PathForward))
	_, allowed := d.AsDeputy(site.View(), self, d.Lessor)
	g.Expect(allowed).To(gomega.BeFalse())
}

// TestFenceNeverDecreases applies activations, assignments from the log and
// prunings in random order. The current fence never decreases, and pruning removes
// the entries that the log has superseded.
func TestFenceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		site := newSite()
		shard := shardOf("k")
		holder := route.NewHolder()
		fences := []topo.Fence{site.Assign(shard, "a1", "b1")}
		var highest topo.Fence
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				chosen := rapid.SampledFrom(fences).Draw(t, "fence")
				holder.Activated(shard, chosen.Standby(), "b1")
			case 1:
				fences = append(fences, site.Assign(shard, "a1", "b1"))
			case 2:
				holder.Prune(site.View())
				assigned, _ := site.View().Shard(shard)
				for _, active := range holder.Overlay().Activations() {
					if !assigned.Fence.Less(active.Fence) {
						t.Fatalf("overlay keeps fence %v, but the log is at %v", active.Fence, assigned.Fence)
					}
				}
			}
			now := route.Keyed(site.View(), holder.Overlay(), self, records, "k").Fence
			if now.Less(highest) {
				t.Fatalf("fence decreased from %v to %v", highest, now)
			}
			highest = now
		}
	})
}

func TestHolderNotifiesOfChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	holder := route.NewHolder()
	changed := holder.Changed()
	holder.Activated(shardOf("k"), topo.MakeFence(5, 1), "b1")
	g.Expect(changed).To(gomega.BeClosed())
	changed = holder.Changed()
	holder.Activated(shardOf("k"), topo.MakeFence(4, 1), "a1")
	g.Expect(changed).NotTo(gomega.BeClosed())
}

func TestDecisionAllocatesNothing(t *testing.T) {
	site := newSite()
	site.AssignAll(records, "a1", "b1")
	view := site.View()
	overlay := new(route.Overlay).Activate(route.Activation{Shard: shardOf("k"), Fence: topo.MakeFence(1<<40, 1), Owner: "b1"})
	allocated := testing.AllocsPerRun(1000, func() { route.Keyed(view, overlay, self, records, "well-7") })
	gomega.NewWithT(t).Expect(allocated).To(gomega.BeZero())
}

// BenchmarkDecision measures decisions over 1,000 servers and 65,536 shards.
func BenchmarkDecision(b *testing.B) {
	const servers, shards, keys = 1000, 1 << 16, 1 << 12
	site := routetest.New()
	site.Configure(service(records, shards))
	owners := make([]topo.ServerID, servers)
	for i := range owners {
		owners[i] = topo.ServerID(fmt.Sprintf("server-%d", i))
		group := topo.MakeGroupID("zone-a", i/50)
		site.Backend(server(owners[i], records, group))
		if _, led := site.View().Group(group); !led {
			site.Lead(group, topo.NodeID(fmt.Sprintf("n%d", i/50)), "b1")
		}
	}
	site.AssignAll(records, owners...)
	names := make([]string, keys)
	for i := range names {
		names[i] = fmt.Sprintf("borehole-%d", i)
	}
	view := site.View()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d := route.Keyed(view, nil, self, records, names[i%keys])
		if d.Server == "" {
			b.Fatal("no owner")
		}
	}
}
