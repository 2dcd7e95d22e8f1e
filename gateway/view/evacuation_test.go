package view

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// twoZones is a registry with one server of a service in each of two zones.
func twoZones() Servers {
	servers := Servers{Offset: 1, Servers: map[site.ServerID]site.Server{}}
	for _, zone := range []string{"a", "b"} {
		id := site.ServerID("server-" + zone)
		servers.Servers[id] = site.Server{ID: id, Service: "s", Zone: zone, Slots: 4}
	}
	return servers
}

func isLeaving(s *State, id site.ServerID) bool { return s.Now().Registered()[id].IsLeaving() }

// The operator evacuates zones in the store, beside the registry: servers that register later
// are evacuated too, and every list of servers says so.
func TestServersOfEvacuatedZonesAreMarked(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewState()
	s.MergeEvacuation(3, []string{"a", "unknown"})
	s.MergeServers(twoZones())
	g.Expect(isLeaving(s, "server-a")).To(gomega.BeTrue())
	g.Expect(isLeaving(s, "server-b")).To(gomega.BeFalse())
	for _, server := range s.Now().ServersOf("s") {
		g.Expect(server.IsLeaving()).To(gomega.Equal(server.Zone == "a"))
	}
	s.MergeEvacuation(4, []string{"a", "b"})
	g.Expect(isLeaving(s, "server-b")).To(gomega.BeTrue())
	s.MergeEvacuation(6, nil)
	for _, server := range s.Now().ServersOf("s") {
		g.Expect(server.IsLeaving()).To(gomega.BeFalse(), string(server.ID))
	}
	g.Expect(s.Now().Servers).To(gomega.Equal(twoZones()), "what other nodes get says nothing of this node's clock")
}

// Evacuations reach a node from the store and from other nodes, in any order.
func TestOlderEvacuationIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewState()
	s.MergeServers(twoZones())
	s.MergeEvacuation(5, []string{"a"})
	_, changed := s.MergeEvacuation(4, nil)
	g.Expect(changed).To(gomega.BeFalse())
	g.Expect(isLeaving(s, "server-a")).To(gomega.BeTrue())
}

// Owners of keys get requests until their keys can have moved, counted from when the node
// first knew of the evacuation, and nothing else.
func TestOwnersServeForTheGraceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := NewState()
		s.SetEvacuationGrace(2 * time.Second)
		s.MergeServers(twoZones())
		s.MergeEvacuation(5, []string{"a"})
		time.Sleep(time.Second)
		s.MergeEvacuation(7, []string{"a", "b"}) // does not prolong that of a
		a, b := s.Now().Registered()["server-a"], s.Now().Registered()["server-b"]
		g.Expect(a.MayServe(false, time.Now())).To(gomega.BeFalse())
		g.Expect(a.MayServe(true, time.Now())).To(gomega.BeTrue())
		time.Sleep(time.Second)
		g.Expect(a.MayServe(true, time.Now())).To(gomega.BeFalse())
		g.Expect(b.MayServe(true, time.Now())).To(gomega.BeTrue())
	})
}
