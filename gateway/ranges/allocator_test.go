package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var allocatorStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func keyedSite(servers ...site.Server) Site {
	s := Site{
		Services: map[site.ServiceName]site.Service{worldService: {Name: worldService, Keyed: true}},
		Servers:  map[site.ServerID]site.Server{},
		Known:    map[site.ServerID]site.Server{},
		Writable: true,
		Settled:  true,
	}
	for _, server := range servers {
		server.Service = worldService
		s.Servers[server.ID] = server
		s.Known[server.ID] = server
	}
	return s
}

// Servers register one after another. The first one must not get every key.
func TestRangesAreCreatedOnceTheRegistryHasSettled(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc := NewAllocator(&Table{}, DefaultTiming(), 0, allocatorStart)
	growing := keyedSite(site.Server{ID: "a", Slots: 4})
	growing.Settled = false
	g.Expect(alloc.Plan(growing, 1, allocatorStart)).To(gomega.BeNil())

	change := alloc.Plan(keyedSite(site.Server{ID: "a", Slots: 4}, site.Server{ID: "b", Slots: 8}), 1, allocatorStart)
	g.Expect(change.Table.Services[worldService]).To(gomega.HaveLen(2))
	first, _ := change.Table.Owner(worldService, 0)
	g.Expect(first.Server).To(gomega.Equal(site.ServerID("a")))
	g.Expect(first.Keys()).To(gomega.BeNumerically("~", 65536/3, 1))
}

// The hold stays the same while the store does not respond. With longer holds, the keys of
// an owner that is lost after an outage would have no owner for longer.
func TestHoldIsConstantUntilTheGrantPeriodEnds(t *testing.T) {
	timing := DefaultTiming()
	alloc := NewAllocator(&Table{}, timing, 0, allocatorStart)
	for _, c := range []struct{ after, want time.Duration }{
		{0, timing.Hold},
		{time.Second, timing.Hold},
		{timing.GrantPeriod - time.Millisecond, timing.Hold},
		{timing.GrantPeriod, 0},
	} {
		hold := alloc.hold(Lease{ConfirmedAt: allocatorStart}, allocatorStart.Add(c.after))
		gomega.NewWithT(t).Expect(hold).To(gomega.Equal(c.want), "%v after", c.after)
	}
}

// ownedRange returns a lessor that has just claimed. Server a owns all keys.
func ownedRange(t *testing.T) (*Allocator, Site) {
	t.Helper()
	return ownedRangeAfter(DefaultTiming().PreviousHold())
}

// ownedRangeAfter is like ownedRange with the given time for which grants of the previous
// lessor may be in force.
func ownedRangeAfter(previousHold time.Duration) (*Allocator, Site) {
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {{Span: Span{To: LastKey}, Server: "a", Fence: 1}}}}
	s := keyedSite(site.Server{ID: "a", Slots: 4, Address: "x"}, site.Server{ID: "b", Slots: 4, Address: "y"})
	return NewAllocator(table, DefaultTiming(), previousHold, allocatorStart), s
}

// ownedByRestartable is like ownedRange with servers that report their start times.
func ownedByRestartable(t *testing.T) (*Allocator, Site) {
	t.Helper()
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {{Span: Span{To: LastKey}, Server: incarnation("a", 1), Fence: 1}}}}
	s := keyedSite(site.Server{ID: incarnation("a", 1), Slots: 4, Address: "x"}, site.Server{ID: incarnation("b", 1), Slots: 4, Address: "y"})
	return NewAllocator(table, DefaultTiming(), DefaultTiming().PreviousHold(), allocatorStart), s
}

func TestAnUnregisteredOwnerKeepsItsRangesUntilItsHoldsExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	delete(s.Servers, "a")
	end := allocatorStart.Add(DefaultTiming().PreviousHold())
	g.Expect(alloc.Plan(s, 2, end.Add(-time.Millisecond))).To(gomega.BeNil())
	change := alloc.Plan(s, 2, end)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(site.ServerID("b")))
	g.Expect(owner.Fence).To(gomega.Equal(Fence(2)))
}

func TestAnOwnerWhoseAddressAnotherServerHasLosesItsRanges(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	delete(s.Servers, "a")
	s.Services["other"] = site.Service{Name: "other"}
	s.Servers["c"] = site.Server{ID: "c", Service: "other", Address: "x"}
	change := alloc.Plan(s, 2, allocatorStart)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(site.ServerID("b")))
}

func TestARangeIsReleasedOnlyUnderAFenceWhoseGrantsWereAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	lease := Lease{ConfirmedAt: allocatorStart}
	call := alloc.Calls(s.Servers, lease, allocatorStart)[0]
	alloc.Done(call, Result{Failed: true}, allocatorStart)
	call = alloc.Calls(s.Servers, lease, allocatorStart)[0]
	alloc.Done(call, Result{}, allocatorStart)

	leaving := s.Servers["a"]
	leaving.Draining = true
	s.Servers["a"] = leaving
	change := alloc.Plan(s, 2, allocatorStart)
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(site.ServerID("a")), "the fence is raised first")
	g.Expect(owner.Fence).To(gomega.Equal(Fence(2)))
	alloc.Appended(change)
	call = alloc.Calls(s.Servers, lease, allocatorStart)[0]
	g.Expect(call.Release).To(gomega.BeFalse())
	alloc.Done(call, Result{}, allocatorStart)
	g.Expect(alloc.Plan(s, 3, allocatorStart)).To(gomega.BeNil())
	g.Expect(alloc.Calls(s.Servers, lease, allocatorStart)).To(gomega.BeEmpty(), "nodes are notified of the move first")
	call = alloc.Calls(s.Servers, lease, allocatorStart.Add(releaseNotice))[0]
	g.Expect(call.Release).To(gomega.BeTrue())
	alloc.Done(call, Result{Handover: "h"}, allocatorStart)
	change = alloc.Plan(s, 3, allocatorStart)
	owner, _ = change.Table.Owner(worldService, 7)
	g.Expect(owner).To(gomega.Equal(Assignment{Span: Span{To: LastKey}, Server: "b", Fence: 3, Handover: "h"}))
}

// A server that reports its start time may restart under its name and forget the fence that
// excluded an earlier grant.
func TestARangeOfARestartableServerWaitsForUnansweredGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedByRestartable(t)
	lease := Lease{ConfirmedAt: allocatorStart}
	call := alloc.Calls(s.Servers, lease, allocatorStart)[0]
	alloc.Done(call, Result{Failed: true}, allocatorStart)
	call = alloc.Calls(s.Servers, lease, allocatorStart)[0]
	alloc.Done(call, Result{}, allocatorStart)

	leaving := s.Servers[incarnation("a", 1)]
	leaving.Draining = true
	s.Servers[incarnation("a", 1)] = leaving
	change := alloc.Plan(s, 2, allocatorStart)
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(incarnation("a", 1)), "the fence is raised first")
	g.Expect(owner.Fence).To(gomega.Equal(Fence(2)))
	alloc.Appended(change)
	call = alloc.Calls(s.Servers, lease, allocatorStart)[0]
	g.Expect(call.Release).To(gomega.BeFalse())
	alloc.Done(call, Result{}, allocatorStart)
	g.Expect(alloc.Plan(s, 3, allocatorStart)).To(gomega.BeNil())
	g.Expect(alloc.Calls(s.Servers, lease, allocatorStart)).To(gomega.BeEmpty(), "uncertain grants, also of the previous lessor, may reach the owner's next incarnation")
	end := allocatorStart.Add(DefaultTiming().PreviousHold())
	g.Expect(alloc.Plan(s, 3, end)).To(gomega.BeNil())
	call = alloc.Calls(s.Servers, Lease{ConfirmedAt: end}, end.Add(releaseNotice))[0]
	g.Expect(call.Release).To(gomega.BeTrue())
	alloc.Done(call, Result{Handover: "h"}, end)
	change = alloc.Plan(s, 3, end)
	owner, _ = change.Table.Owner(worldService, 7)
	g.Expect(owner).To(gomega.Equal(Assignment{Span: Span{To: LastKey}, Server: incarnation("b", 1), Fence: 3, Handover: "h"}))
}

// The grant period of the previous lessor is measured from its last record, which a node
// that claims may have seen some time before the claim.
func TestAClaimDeductsTheTimeWithoutRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	g.Expect(timing.PreviousHoldAfterIdle(0)).To(gomega.Equal(timing.PreviousHold()))
	g.Expect(timing.PreviousHoldAfterIdle(idleMargin)).To(gomega.Equal(timing.PreviousHold()))
	g.Expect(timing.PreviousHoldAfterIdle(idleMargin + time.Second)).To(gomega.Equal(timing.PreviousHold() - time.Second))
	g.Expect(timing.PreviousHoldAfterIdle(time.Minute)).To(gomega.BeZero())
}

// All grants that the previous lessor sent after its last observed confirmation must have
// expired when the new lessor's wait ends.
func TestAllGrantsOfThePreviousLessorAreWaitedFor(t *testing.T) {
	timing := DefaultTiming()
	alloc := NewAllocator(&Table{}, timing, 0, allocatorStart)
	for sent := time.Duration(0); sent < timing.GrantPeriod; sent += 50 * time.Millisecond {
		hold := alloc.hold(Lease{ConfirmedAt: allocatorStart}, allocatorStart.Add(sent))
		for _, idle := range []time.Duration{0, time.Second, 3 * time.Second} {
			end := idle + timing.PreviousHoldAfterIdle(idle)
			if idle == 0 {
				end += idleMargin // only a node that has just started claims without observing an idle topic
			}
			gomega.NewWithT(t).Expect(sent+timing.maxTimeInForce(hold)).To(gomega.BeNumerically("<=", end), "sent %v, idle %v", sent, idle)
		}
	}
}
