package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// incarnation returns the ID of an incarnation of a server. Incarnations are numbered by
// their start time.
func incarnation(name site.ServerName, number int64) site.ServerID {
	return site.IncarnationID(name, time.Unix(number, 0))
}

// restartedServer returns a lessor whose server a owned all keys in its first incarnation,
// was granted them, and is registered with its second incarnation.
func restartedServer(t *testing.T) (*Allocator, Site) {
	t.Helper()
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {
		{Span: Span{To: LastKey}, Server: incarnation("a", 1), Fence: 1, Handover: "given to the first incarnation"},
	}}}
	first := keyedSite(site.Server{ID: incarnation("a", 1), Slots: 4, Address: "x"}, site.Server{ID: incarnation("b", 1), Slots: 4, Address: "y"})
	alloc := NewAllocator(table, DefaultTiming(), 0, allocatorStart)
	alloc.Plan(first, 2, allocatorStart)
	call := alloc.Calls(first.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0]
	alloc.Done(call, Result{}, allocatorStart)
	return alloc, withRestart(first, "a", 1)
}

// withRestart returns the site after the next incarnation has replaced one of a server.
func withRestart(s Site, name site.ServerName, number int64) Site {
	next := keyedSite()
	for id, server := range s.Servers {
		if id == incarnation(name, number) {
			server.ID = incarnation(name, number+1)
		}
		next.Servers[server.ID] = server
	}
	for id, server := range s.Known {
		next.Known[id] = server
	}
	for id, server := range next.Servers {
		next.Known[id] = server
	}
	return next
}

// appendPlan appends the planned change and returns the assignment of a key.
func appendPlan(t *testing.T, alloc *Allocator, s Site, now time.Time) Assignment {
	t.Helper()
	change := alloc.Plan(s, 3, now)
	if change == nil {
		t.Fatal("no change is planned")
	}
	alloc.Appended(change)
	owner, _ := change.Table.Owner(worldService, 7)
	return owner
}

func TestANewIncarnationAtTheAddressDoesNotFreeTheKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	server := s.Servers[incarnation("a", 2)]
	server.Draining = true // it must not get keys, so other servers would
	s.Servers[server.ID] = server
	g.Expect(appendPlan(t, alloc, s, allocatorStart).Server.Name()).To(gomega.Equal(site.ServerName("a")))
}

func TestARangeMovesToTheNewIncarnationOfItsOwnerAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	held := alloc.HeldFor(allocatorStart)
	lease := Lease{ConfirmedAt: allocatorStart}
	later := allocatorStart.Add(time.Second)
	g.Expect(alloc.Calls(s.Servers, lease, later)).To(gomega.BeEmpty(), "no call under the assignment to the earlier incarnation")

	change := alloc.Plan(s, 3, later)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner).To(gomega.Equal(Assignment{Span: Span{To: LastKey}, Server: incarnation("a", 2), Fence: 3}))
	alloc.Appended(change)
	g.Expect(alloc.HeldFor(allocatorStart)).To(gomega.Equal(held), "grants to the earlier incarnation may be in force at the new one")
	g.Expect(alloc.Routes()[worldService][0].State).To(gomega.Equal(Moving))

	call := alloc.Calls(s.Servers, lease, later)[0]
	g.Expect(call.Server).To(gomega.Equal(incarnation("a", 2)))
	alloc.Done(call, Result{}, later)
	g.Expect(alloc.Routes()[worldService][0].State).To(gomega.Equal(Ready))
}

// The next incarnation of the owner registers while the range is being released. Nothing is
// sent to either incarnation until the table names the new one.
func TestNoReleaseIsSentToAnEarlierIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	alloc.setPhase(alloc.leases[worldService][0], releasing)
	g.Expect(alloc.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)).To(gomega.BeEmpty())
	owner := appendPlan(t, alloc, s, allocatorStart)
	g.Expect(owner.Server).To(gomega.Equal(incarnation("a", 2)))
}

// The response to a release arrives when the next incarnation is already registered: the
// keys are free, but the handover is useless.
func TestAHandoverFromAnEarlierIncarnationIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	l := alloc.leases[worldService][0]
	l.next = incarnation("b", 1)
	alloc.setPhase(l, released)
	l.handover = "h"
	owner := appendPlan(t, alloc, s, allocatorStart)
	g.Expect(owner).To(gomega.Equal(Assignment{Span: Span{To: LastKey}, Server: incarnation("b", 1), Fence: 3}))
}

// The target of a move has restarted. It must not get the range or the handover that were
// meant for its earlier incarnation.
func TestAHandoverForAnEarlierIncarnationIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	l := alloc.leases[worldService][0]
	l.Server = incarnation("a", 2)
	l.next = incarnation("b", 1)
	alloc.setPhase(l, released)
	l.handover = "h"
	owner := appendPlan(t, alloc, withRestart(s, "b", 1), allocatorStart)
	g.Expect(owner.Handover).To(gomega.BeEmpty())
	g.Expect(owner.Server).NotTo(gomega.Equal(incarnation("b", 1)))
}

func TestADrainingNewIncarnationIsADrainingOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	server := s.Servers[incarnation("a", 2)]
	server.Draining = true
	s.Servers[server.ID] = server
	lease := Lease{ConfirmedAt: allocatorStart}

	change := alloc.Plan(s, 3, allocatorStart)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(incarnation("a", 2)))
	alloc.Appended(change)
	alloc.Done(alloc.Calls(s.Servers, lease, allocatorStart)[0], Result{}, allocatorStart)
	g.Expect(alloc.Plan(s, 4, allocatorStart)).To(gomega.BeNil())
	calls := alloc.Calls(s.Servers, lease, allocatorStart.Add(releaseNotice))
	g.Expect(calls).To(gomega.HaveLen(1))
	g.Expect(calls[0].Release).To(gomega.BeTrue())
}

// A server that restarts repeatedly does not get its keys back each time. Other servers get
// them once the holds that may be in force have expired.
func TestACrashLoopingServerLosesItsKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	appendPlan(t, alloc, s, allocatorStart)
	alloc.Done(alloc.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0], Result{}, allocatorStart)
	again := withRestart(s, "a", 2)
	free := allocatorStart.Add(alloc.HeldFor(allocatorStart))

	g.Expect(alloc.Plan(again, 4, allocatorStart.Add(time.Second))).To(gomega.BeNil())
	g.Expect(alloc.Calls(again.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart.Add(time.Second))).To(gomega.BeEmpty())
	g.Expect(alloc.Plan(again, 4, free.Add(-time.Millisecond))).To(gomega.BeNil())
	change := alloc.Plan(again, 4, free)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(incarnation("b", 1)))
}

// If no other server can serve the keys, the server gets them back every time.
func TestACrashLoopingServerKeepsKeysThatNoOtherServerCanServe(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	delete(s.Servers, incarnation("b", 1))
	appendPlan(t, alloc, s, allocatorStart)
	again := withRestart(s, "a", 2)
	change := alloc.Plan(again, 4, allocatorStart.Add(time.Second))
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(incarnation("a", 3)))
}

// A restart makes a server forget the fence that excluded a late grant.
func TestAnUnansweredGrantIsWaitedForAfterAHigherFenceWasAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {{Span: Span{To: LastKey}, Server: incarnation("a", 1), Fence: 1}}}}
	s := keyedSite(site.Server{ID: incarnation("a", 1), Slots: 4, Address: "x"}, site.Server{ID: incarnation("b", 1), Slots: 4, Address: "y"})
	alloc := NewAllocator(table, timing, 0, allocatorStart)
	lease := Lease{ConfirmedAt: allocatorStart}
	call := alloc.Calls(s.Servers, lease, allocatorStart)[0]
	again := allocatorStart.Add(timing.CallTimeout)
	alloc.Done(call, Result{Failed: true, Outcome: Arrived}, again)
	alloc.Done(alloc.Calls(s.Servers, lease, again)[0], Result{}, again)
	alloc.Appended(alloc.Plan(s, 2, again))
	alloc.Done(alloc.Calls(s.Servers, lease, again)[0], Result{}, again)

	end := again.Add(serverReadDelay + timing.holdAfterArrival(timing.Hold))
	g.Expect(startsRelease(alloc, s, end.Add(-time.Millisecond))).To(gomega.BeFalse())
	g.Expect(startsRelease(alloc, s, end)).To(gomega.BeTrue())
}

// startsRelease reports whether the lessor would start to release the range now if its
// owner were draining.
func startsRelease(alloc *Allocator, s Site, now time.Time) bool {
	server := s.Servers[alloc.leases[worldService][0].Server]
	server.Draining = true
	s.Servers[server.ID] = server
	alloc.startReleases(worldService, s, nil, now)
	return alloc.leases[worldService][0].phase == releasing
}

func TestGrantsOfAPreviousLessorAreWaitedForBeforeAMove(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedByRestartable(t)
	alloc.Done(alloc.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0], Result{}, allocatorStart)
	end := allocatorStart.Add(DefaultTiming().PreviousHold())
	g.Expect(startsRelease(alloc, s, end.Add(-time.Millisecond))).To(gomega.BeFalse())
	g.Expect(startsRelease(alloc, s, end)).To(gomega.BeTrue())
}

// A call that was sent to the address of the first incarnation may reach a third
// incarnation there, even if another server has the address of the second one.
func TestAReusedAddressDoesNotProveThatCallsToEarlierIncarnationsEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	second := s.Servers[incarnation("a", 2)]
	second.Address = "z"
	s.Servers[second.ID], s.Known[second.ID] = second, second
	appendPlan(t, alloc, s, allocatorStart)
	delete(s.Servers, second.ID)
	s.Servers["c"] = site.Server{ID: "c", Service: "other", Address: "z"}
	g.Expect(alloc.Plan(s, 4, allocatorStart)).To(gomega.BeNil())
	g.Expect(alloc.Plan(s, 4, allocatorStart.Add(alloc.HeldFor(allocatorStart)))).NotTo(gomega.BeNil())
}

// The owner has no start time in a table that an earlier release wrote, or in a registry
// entry without one.
func TestAnOwnerWithoutAStartIsReplacedByAnIncarnationWithOne(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := ownedRange(t)
	s.Servers[incarnation("a", 1)] = site.Server{ID: incarnation("a", 1), Service: worldService, Slots: 4, Address: "x"}
	delete(s.Servers, "a")
	change := alloc.Plan(s, 2, allocatorStart)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(incarnation("a", 1)))
}

func TestTheServiceTimeOfAnEarlierIncarnationIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	loads := NewLoads()
	loads.ReportServiceTime(incarnation("a", 1), time.Second)
	loads.ReportServiceTime(incarnation("b", 1), 100*time.Millisecond)
	alloc, s := restartedServer(t)
	s.Load = loads
	alloc.Plan(s, 3, allocatorStart)
	g.Expect(loads.ServiceTimes()).To(gomega.Equal(map[site.ServerID]int{incarnation("b", 1): 100}))
}

// The source of the handover restarts before the new owner has responded.
func TestAHandoverIsDroppedOnceItsSourceHasRestarted(t *testing.T) {
	g := gomega.NewWithT(t)
	alloc, s := restartedServer(t)
	l := alloc.leases[worldService][0]
	l.Server, l.next, l.handover = incarnation("a", 2), incarnation("b", 1), "h"
	alloc.setPhase(l, released)
	g.Expect(appendPlan(t, alloc, s, allocatorStart).Handover).To(gomega.Equal("h"))
	lease := Lease{ConfirmedAt: allocatorStart}
	call := alloc.Calls(s.Servers, lease, allocatorStart)[0]
	g.Expect(call.Grant.Handover).To(gomega.Equal("h"))
	alloc.Done(call, Result{Failed: true}, allocatorStart)
	call = alloc.Calls(withRestart(s, "a", 2).Servers, lease, allocatorStart)[0]
	g.Expect(call.Server).To(gomega.Equal(incarnation("b", 1)))
	g.Expect(call.Grant.Handover).To(gomega.BeEmpty())
}
