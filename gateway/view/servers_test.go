package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// registryAt returns a registry of servers of three services, without the servers in gone
// and with later incarnations of those in again.
func registryAt(offset store.Offset, size int, gone, again map[int]bool) Servers {
	servers := Servers{Offset: offset, Servers: map[site.ServerID]site.Server{}}
	for i := range size {
		if gone[i] {
			continue
		}
		id := site.ServerID(fmt.Sprintf("i-%04x@a", i))
		if again[i] {
			id = site.ServerID(fmt.Sprintf("i-%04x@b", i))
		}
		service := site.ServiceName(fmt.Sprint("service-", i%3))
		servers.Servers[id] = site.Server{ID: id, Service: service, Address: fmt.Sprint("10.0.0.", i), Zone: "a", Slots: 4}
	}
	return servers
}

// Load: 295 nodes apply every change of a registry of 720 servers, with several changes per
// second on release days. The cost of a change must not grow with the services that it does
// not affect: their pools remain unchanged.
func TestServiceKeepsItsListWhileItsServersAreUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewState()
	s.MergeServers(registryAt(1, 720, nil, nil))
	before := s.Now()
	s.MergeServers(registryAt(2, 720, map[int]bool{3: true}, map[int]bool{6: true}))
	after := s.Now()
	g.Expect(after.ServersOf("service-0")).To(gomega.HaveLen(len(before.ServersOf("service-0")) - 1))
	for _, service := range []site.ServiceName{"service-1", "service-2"} {
		old, kept := before.ServersOf(service), after.ServersOf(service)
		g.Expect(&kept[0]).To(gomega.BeIdenticalTo(&old[0]), "%s has the same servers", service)
	}
	s.MergeServers(Servers{Offset: 3, Servers: map[site.ServerID]site.Server{}})
	g.Expect(s.Now().ServersOf("service-0")).To(gomega.BeEmpty())
	g.Expect(s.Now().ServersOf("service-1")).To(gomega.BeEmpty())
}

// Nodes request the difference from the registry with their sum, so the sum must be that of
// the whole registry, independent of the sequence of changes.
func TestSumOfRegistryIsIndependentOfChangeSequence(t *testing.T) {
	g := gomega.NewWithT(t)
	atOnce, bySteps := NewState(), NewState()
	bySteps.MergeServers(registryAt(1, 20, nil, nil))
	bySteps.MergeServers(registryAt(2, 25, map[int]bool{3: true}, nil))
	bySteps.MergeServers(registryAt(3, 25, map[int]bool{4: true}, map[int]bool{3: true, 7: true}))
	whole := registryAt(3, 25, map[int]bool{4: true}, map[int]bool{3: true, 7: true})
	atOnce.MergeServers(whole)
	g.Expect(bySteps.Now().ServersSum()).To(gomega.Equal(atOnce.Now().ServersSum()))
	g.Expect(bySteps.Now().ServersSum()).To(gomega.Equal(whole.sum()))

	reported := NewState()
	reported.MergeServers(registryAt(1, 20, nil, nil))
	change := reported.Now().Servers.ChangeTo(whole)
	changed, ok := reported.Now().ServersWith(change, 3, whole.sum())
	g.Expect(ok).To(gomega.BeTrue())
	reported.MergeServers(changed)
	g.Expect(reported.Now().Servers).To(gomega.Equal(whole))
	g.Expect(reported.Now().ServersSum()).To(gomega.Equal(whole.sum()))
	_, ok = bySteps.Now().ServersWith(change, 3, whole.sum()+1)
	g.Expect(ok).To(gomega.BeFalse(), "the change starts from another registry")
}

// The lists contain the warm-up as of when a server turned cold. Nodes that follow another one
// get to know that a server is cold, and that it is warm, by a change of the sum.
func TestTurningColdAndWarmAreChangesOfTheSum(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewState()
	s.MergeServers(registryAt(1, 3, nil, nil))
	warm := s.Now().ServersSum()
	cold := func(offset store.Offset, left time.Duration) Servers {
		next := registryAt(offset, 3, nil, nil)
		server := next.Servers["i-0001@a"]
		server.WarmUp = left
		next.Servers[server.ID] = server
		return next
	}
	s.MergeServers(cold(2, 3*time.Second))
	before := s.Now()
	g.Expect(before.ServersSum()).NotTo(gomega.Equal(warm))
	g.Expect(before.ServersOf("service-1")).To(gomega.ConsistOf(cold(2, 3*time.Second).Servers["i-0001@a"]))
	g.Expect(before.Servers.ChangeTo(registryAt(3, 3, nil, nil)).Put).To(gomega.HaveLen(1))
	s.MergeServers(cold(3, 2*time.Second))
	g.Expect(s.Now().ServersSum()).To(gomega.Equal(before.ServersSum()), "the countdown is not in the sum")
	s.MergeServers(registryAt(4, 3, nil, nil))
	g.Expect(s.Now().ServersSum()).To(gomega.Equal(warm))
}

// MembersHash is called twice in every call between nodes, so the view stores it.
func TestHashOfMembersFollowsList(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewState()
	none := s.Now().MembersHash()
	members := []Member{{Node: "a", Boot: "1"}, {Node: "b", Boot: "2"}}
	s.SetMembers(members)
	g.Expect(s.Now().MembersHash()).To(gomega.Equal(HashMembers(members)))
	g.Expect(s.Now().MembersHash()).NotTo(gomega.Equal(none))
	s.SetMembers([]Member{{Node: "a", Boot: "1"}, {Node: "b", Boot: "3"}})
	g.Expect(s.Now().MembersHash()).NotTo(gomega.Equal(HashMembers(members)), "b has restarted")
}
