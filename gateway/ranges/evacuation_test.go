package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// evacuate marks servers as a node does whose zone is evacuated.
func (s Site) evacuate(ids ...site.ServerID) {
	for _, id := range ids {
		server := s.Servers[id]
		server.EvacuateBy = allocatorStart.Add(time.Second)
		s.Servers[id] = server
	}
}

// Keys of owners in an evacuated zone move to a server of another zone, by a release, and are
// granted to none in the evacuated zone.
func TestKeysLeaveTheOwnersOfAnEvacuatedZone(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRangeAfter(0)
	lease := Lease{ConfirmedAt: allocatorStart}
	alloc.Done(alloc.Calls(s.Servers, lease, allocatorStart)[0], Result{}, allocatorStart)
	s.evacuate("a")
	g.Expect(alloc.Plan(s, 2, allocatorStart)).To(gomega.BeNil(), "released first")
	now := allocatorStart.Add(releaseNotice)
	calls := alloc.Calls(s.Servers, lease, now)
	g.Expect(calls).To(gomega.HaveLen(1))
	g.Expect(calls[0].Release).To(gomega.BeTrue())
	alloc.Done(calls[0], Result{Handover: "h"}, now)
	change := alloc.Plan(s, 2, now)
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(site.ServerID("b")))
	g.Expect(owner.Handover).To(gomega.Equal("h"))
}

// With all zones evacuated no server may run a request. The keys stay where they are, and are
// granted again as soon as a zone is taken back.
func TestKeysStayWhenAllZonesAreEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRangeAfter(0)
	alloc.Done(alloc.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0], Result{}, allocatorStart)
	s.evacuate("a", "b")
	later := allocatorStart.Add(time.Minute)
	g.Expect(alloc.Plan(s, 2, allocatorStart)).To(gomega.BeNil())
	g.Expect(alloc.Plan(s, 2, later)).To(gomega.BeNil())

	taken := s.Servers["a"]
	taken.EvacuateBy = time.Time{}
	s.Servers["a"] = taken
	alloc.Plan(s, 3, later)
	calls := alloc.Calls(s.Servers, Lease{ConfirmedAt: later}, later)
	g.Expect(calls).To(gomega.HaveLen(1))
	g.Expect(calls[0].Release).To(gomega.BeFalse())
	g.Expect(calls[0].Grant.Hold).To(gomega.Equal(DefaultTiming().Hold))
}
