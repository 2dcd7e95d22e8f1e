package view

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// newLeavingState returns a state with two registered servers, of which "a@1" has said that it leaves.
func newLeavingState() *State {
	s := NewState()
	s.SetDrainGrace(time.Minute)
	s.MergeServers(registryOf(1, "a@1", "b@1"))
	s.MergeLeaving([]LeavingServer{{Server: "a@1", At: time.Now(), From: "server"}})
	return s
}

// registryOf returns a registry with ready servers.
func registryOf(offset store.Offset, ids ...site.ServerID) Servers {
	servers := Servers{Offset: offset, Servers: map[site.ServerID]site.Server{}}
	for _, id := range ids {
		servers.Servers[id] = site.Server{ID: id, Service: "s", Address: string(id)}
	}
	return servers
}

// Guards against a server that gets requests again after its word that it leaves: that is final for the
// incarnation, whatever its registry entry says.
func TestServerThatSaidThatItLeavesIsNotUsedAgain(t *testing.T) {
	for name, change := range map[string]func(*State){
		"nothing changes":              func(*State) {},
		"its entry is written again":   func(s *State) { s.MergeServers(registryOf(2, "a@1", "b@1")) },
		"its entry lapses and is back": func(s *State) { s.MergeServers(registryOf(2, "b@1")); s.MergeServers(registryOf(3, "a@1", "b@1")) },
		"its address changes": func(s *State) {
			moved := registryOf(2, "a@1")
			moved.Servers["a@1"] = site.Server{ID: "a@1", Service: "s", Address: "x"}
			s.MergeServers(moved)
		},
		"a zone is evacuated and taken back":   func(s *State) { s.MergeEvacuation(5, []string{""}); s.MergeEvacuation(6, nil) },
		"it is reported again by another node": func(s *State) { s.MergeLeaving([]LeavingServer{{Server: "a@1", At: time.Now(), From: "node"}}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newLeavingState()
			change(s)
			server := s.Now().Registered()["a@1"]
			g.Expect(server.IsLeaving()).To(gomega.BeTrue())
			g.Expect(server.MayServe(false, time.Now())).To(gomega.BeFalse())
			g.Expect(server.MayServe(true, time.Now())).To(gomega.BeTrue(), "for its keys, until they have moved")
			g.Expect(server.MayServe(true, time.Now().Add(time.Minute))).To(gomega.BeFalse())
			for _, listed := range s.Now().ServersOf("s") {
				g.Expect(listed.IsLeaving()).To(gomega.Equal(listed.ID == "a@1"))
			}
		})
	}
}

// Guards against keys that are still sent to a server whose own report has arrived: the lessor moves them.
func TestServerThatSaidThatItLeavesAndIsDrainingGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLeavingState()
	draining := registryOf(2, "a@1", "b@1")
	draining.Servers["a@1"] = site.Server{ID: "a@1", Service: "s", Address: "a@1", Draining: true}
	s.MergeServers(draining)
	server := s.Now().Registered()["a@1"]
	g.Expect(server.IsLeaving()).To(gomega.BeTrue())
	g.Expect(server.MayServe(true, time.Now())).To(gomega.BeFalse())
	s.MergeServers(registryOf(3, "b@1"))
	g.Expect(s.Now().LeavingServers()).To(gomega.BeEmpty())
}

// Guards against a new incarnation that gets no requests because the one before it has left.
func TestNextIncarnationOfAServerThatLeftIsUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLeavingState()
	s.MergeServers(registryOf(2, "a@2", "b@1"))
	g.Expect(s.Now().Registered()["a@2"].IsLeaving()).To(gomega.BeFalse())
	g.Expect(s.Now().LeavingServers()).To(gomega.BeEmpty())
}

// A server may say that it leaves before this node has its registry entry.
func TestServerThatLeavesBeforeItIsKnownIsMarked(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLeavingState()
	s.MergeLeaving([]LeavingServer{{Server: "c@1", At: time.Now(), From: "node"}})
	s.MergeServers(registryOf(2, "b@1", "c@1"))
	g.Expect(s.Now().Registered()["c@1"].IsLeaving()).To(gomega.BeTrue())
}

// Guards against a copy of the whole registry at each of its changes, once a server has left: only while one that
// leaves is registered are servers marked.
func TestRegistryIsCopiedOnlyWhileAServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newLeavingState()
	isCopied := func() bool {
		return reflect.ValueOf(s.Now().registered).Pointer() != reflect.ValueOf(s.Now().Servers.Servers).Pointer()
	}
	g.Expect(isCopied()).To(gomega.BeTrue())
	s.MergeServers(registryOf(2, "b@1"))
	g.Expect(isCopied()).To(gomega.BeFalse())
	s.MergeServers(registryOf(3, "a@1", "b@1"))
	g.Expect(isCopied()).To(gomega.BeTrue(), "it is back")
}

// The list of leaving servers is bounded, and positions in it stay valid when the oldest are dropped.
func TestListOfLeavingServersIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewState()
	for i := range maxLeaving + 10 {
		s.MergeLeaving([]LeavingServer{{Server: site.ServerID(fmt.Sprint("s", i)), At: time.Now()}})
	}
	leaving := s.Now().Leaving
	g.Expect(leaving.Since(0)).To(gomega.HaveLen(maxLeaving))
	g.Expect(leaving.Next()).To(gomega.Equal(uint64(maxLeaving + 10)))
	g.Expect(leaving.Since(leaving.Next() - 1)).To(gomega.HaveLen(1))
	g.Expect(leaving.Since(leaving.Next())).To(gomega.BeEmpty())
	g.Expect(leaving.Since(leaving.Next() + 5)).To(gomega.BeEmpty())
	g.Expect(leaving.Contains("s0")).To(gomega.BeFalse())
}
