package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// run returns the ID of a run of server a; runs are numbered by their start.
func run(name site.ServerName, number int64) site.ServerID {
	return site.RunID(name, time.Unix(number, 0))
}

// restarted returns a lessor whose server a owned all keys in its first run, was
// granted them, and is registered with its second run.
func restarted(t *testing.T) (*Allocator, Site) {
	t.Helper()
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {
		{Span: Span{To: LastKey}, Server: run("a", 1), Fence: 1, Handover: "given to the first run"},
	}}}
	first := keyedSite(site.Server{ID: run("a", 1), Slots: 4, Address: "x"}, site.Server{ID: run("b", 1), Slots: 4, Address: "y"})
	k := NewAllocator(table, DefaultTiming(), 0, allocatorStart)
	k.Plan(first, 2, allocatorStart)
	call := k.Calls(first.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0]
	k.Done(call, Result{}, allocatorStart)
	return k, restart(first, "a", 1)
}

// restart returns the site after a run of a server was replaced by the next one.
func restart(s Site, name site.ServerName, number int64) Site {
	next := keyedSite()
	for id, server := range s.Servers {
		if id == run(name, number) {
			server.ID = run(name, number+1)
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

// planned appends what a lessor plans and returns the owner of a key.
func planned(t *testing.T, k *Allocator, s Site, now time.Time) Assignment {
	t.Helper()
	change := k.Plan(s, 3, now)
	if change == nil {
		t.Fatal("nothing is planned")
	}
	k.Appended(change)
	owner, _ := change.Table.Owner(worldService, 7)
	return owner
}

func TestANewRunAtTheAddressDoesNotFreeTheKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	server := s.Servers[run("a", 2)]
	server.Draining = true // it is not to get keys, so others would
	s.Servers[server.ID] = server
	g.Expect(planned(t, k, s, allocatorStart).Server.Name()).To(gomega.Equal(site.ServerName("a")))
}

func TestARangeGoesToTheNewRunOfItsOwnerAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	held := k.Held(allocatorStart)
	lease := Lease{ConfirmedAt: allocatorStart}
	later := allocatorStart.Add(time.Second)
	g.Expect(k.Calls(s.Servers, lease, later)).To(gomega.BeEmpty(), "no call under the assignment to the earlier run")

	change := k.Plan(s, 3, later)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner).To(gomega.Equal(Assignment{Span: Span{To: LastKey}, Server: run("a", 2), Fence: 3}))
	k.Appended(change)
	g.Expect(k.Held(allocatorStart)).To(gomega.Equal(held), "what the earlier run was granted may be in force at the new one")
	g.Expect(k.Routes()[worldService][0].State).To(gomega.Equal(Moving))

	call := k.Calls(s.Servers, lease, later)[0]
	g.Expect(call.Server).To(gomega.Equal(run("a", 2)))
	k.Done(call, Result{}, later)
	g.Expect(k.Routes()[worldService][0].State).To(gomega.Equal(Ready))
}

// The owner is released when its next run registers: nothing is sent to either
// run until the table names the new one.
func TestNoReleaseGoesToAnEarlierRun(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	k.setPhase(k.leases[worldService][0], releasing)
	g.Expect(k.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)).To(gomega.BeEmpty())
	owner := planned(t, k, s, allocatorStart)
	g.Expect(owner.Server).To(gomega.Equal(run("a", 2)))
}

// The answer to a release came when the next run was registered already: the keys
// are free, but what the answer carried is of no use.
func TestAHandoverOfAnEarlierRunIsVoid(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	l := k.leases[worldService][0]
	l.next = run("b", 1)
	k.setPhase(l, released)
	l.handover = "h"
	owner := planned(t, k, s, allocatorStart)
	g.Expect(owner).To(gomega.Equal(Assignment{Span: Span{To: LastKey}, Server: run("b", 1), Fence: 3}))
}

// The server that was to get the keys has started again: it gets nothing on the
// strength of the move that was planned for its earlier run.
func TestAHandoverMeantForAnEarlierRunIsVoid(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	l := k.leases[worldService][0]
	l.Server = run("a", 2)
	l.next = run("b", 1)
	k.setPhase(l, released)
	l.handover = "h"
	owner := planned(t, k, restart(s, "b", 1), allocatorStart)
	g.Expect(owner.Handover).To(gomega.BeEmpty())
	g.Expect(owner.Server).NotTo(gomega.Equal(run("b", 1)))
}

func TestADrainingNewRunIsADrainingOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	server := s.Servers[run("a", 2)]
	server.Draining = true
	s.Servers[server.ID] = server
	lease := Lease{ConfirmedAt: allocatorStart}

	change := k.Plan(s, 3, allocatorStart)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(run("a", 2)))
	k.Appended(change)
	k.Done(k.Calls(s.Servers, lease, allocatorStart)[0], Result{}, allocatorStart)
	g.Expect(k.Plan(s, 4, allocatorStart)).To(gomega.BeNil())
	calls := k.Calls(s.Servers, lease, allocatorStart.Add(releaseNotice))
	g.Expect(calls).To(gomega.HaveLen(1))
	g.Expect(calls[0].Release).To(gomega.BeTrue())
}

// A server that starts again and again does not get its keys back each time: they
// are served by others once the holds that may be in force have run out.
func TestAServerThatKeepsRestartingLosesItsKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	planned(t, k, s, allocatorStart)
	k.Done(k.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0], Result{}, allocatorStart)
	again := restart(s, "a", 2)
	free := allocatorStart.Add(k.Held(allocatorStart))

	g.Expect(k.Plan(again, 4, allocatorStart.Add(time.Second))).To(gomega.BeNil())
	g.Expect(k.Calls(again.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart.Add(time.Second))).To(gomega.BeEmpty())
	g.Expect(k.Plan(again, 4, free.Add(-time.Millisecond))).To(gomega.BeNil())
	change := k.Plan(again, 4, free)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(run("b", 1)))
}

// Where nobody else can serve the keys, the server gets them back every time.
func TestAServerThatKeepsRestartingKeepsKeysThatNobodyElseCanServe(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	delete(s.Servers, run("b", 1))
	planned(t, k, s, allocatorStart)
	again := restart(s, "a", 2)
	change := k.Plan(again, 4, allocatorStart.Add(time.Second))
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(run("a", 3)))
}

// A restart makes a server forget the fence that shut a late grant out.
func TestAnUnansweredGrantIsWaitedForThoughAHigherFenceWasAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	timing := DefaultTiming()
	table := &Table{Services: map[site.ServiceName][]Assignment{worldService: {{Span: Span{To: LastKey}, Server: run("a", 1), Fence: 1}}}}
	s := keyedSite(site.Server{ID: run("a", 1), Slots: 4, Address: "x"}, site.Server{ID: run("b", 1), Slots: 4, Address: "y"})
	k := NewAllocator(table, timing, 0, allocatorStart)
	lease := Lease{ConfirmedAt: allocatorStart}
	call := k.Calls(s.Servers, lease, allocatorStart)[0]
	again := allocatorStart.Add(timing.CallTimeout)
	k.Done(call, Result{Failed: true, Fate: Arrived}, again)
	k.Done(k.Calls(s.Servers, lease, again)[0], Result{}, again)
	k.Appended(k.Plan(s, 2, again))
	k.Done(k.Calls(s.Servers, lease, again)[0], Result{}, again)

	end := again.Add(takeDelay + timing.arrived(timing.Hold))
	g.Expect(releases(k, s, end.Add(-time.Millisecond))).To(gomega.BeFalse())
	g.Expect(releases(k, s, end)).To(gomega.BeTrue())
}

// releases reports whether a lessor takes the keys from server a now, were it told
// that the server drains.
func releases(k *Allocator, s Site, now time.Time) bool {
	server := s.Servers[k.leases[worldService][0].Server]
	server.Draining = true
	s.Servers[server.ID] = server
	k.startReleases(worldService, s, nil, now)
	return k.leases[worldService][0].phase == releasing
}

func TestGrantsOfAFormerLessorAreWaitedForBeforeAMove(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restartable(t)
	k.Done(k.Calls(s.Servers, Lease{ConfirmedAt: allocatorStart}, allocatorStart)[0], Result{}, allocatorStart)
	end := allocatorStart.Add(DefaultTiming().FormerHold())
	g.Expect(releases(k, s, end.Add(-time.Millisecond))).To(gomega.BeFalse())
	g.Expect(releases(k, s, end)).To(gomega.BeTrue())
}

// What was sent to the first run's address may be taken by a third run there,
// whoever has the second run's address.
func TestAnAddressTakenOverTellsNothingOfCallsToEarlierRuns(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	second := s.Servers[run("a", 2)]
	second.Address = "z"
	s.Servers[second.ID], s.Known[second.ID] = second, second
	planned(t, k, s, allocatorStart)
	delete(s.Servers, second.ID)
	s.Servers["c"] = site.Server{ID: "c", Service: "other", Address: "z"}
	g.Expect(k.Plan(s, 4, allocatorStart)).To(gomega.BeNil())
	g.Expect(k.Plan(s, 4, allocatorStart.Add(k.Held(allocatorStart)))).NotTo(gomega.BeNil())
}

// The owner has no known start in a table that an earlier release wrote, or in an
// entry that does not tell it.
func TestAnOwnerWithoutAStartIsReplacedByARunWithOne(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := owned(t)
	s.Servers[run("a", 1)] = site.Server{ID: run("a", 1), Service: worldService, Slots: 4, Address: "x"}
	delete(s.Servers, "a")
	change := k.Plan(s, 2, allocatorStart)
	g.Expect(change).NotTo(gomega.BeNil())
	owner, _ := change.Table.Owner(worldService, 7)
	g.Expect(owner.Server).To(gomega.Equal(run("a", 1)))
}

func TestThePaceOfAnEarlierRunIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	loads := NewLoads()
	loads.Pace(run("a", 1), time.Second)
	loads.Pace(run("b", 1), 100*time.Millisecond)
	k, s := restarted(t)
	s.Load = loads
	k.Plan(s, 3, allocatorStart)
	g.Expect(loads.Paces()).To(gomega.Equal(map[site.ServerID]int{run("b", 1): 100}))
}

// The new owner has not answered yet when the one that gave the handover starts
// again.
func TestAHandoverIsNotPassedOnOnceItsGiverHasStartedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	k, s := restarted(t)
	l := k.leases[worldService][0]
	l.Server, l.next, l.handover = run("a", 2), run("b", 1), "h"
	k.setPhase(l, released)
	g.Expect(planned(t, k, s, allocatorStart).Handover).To(gomega.Equal("h"))
	lease := Lease{ConfirmedAt: allocatorStart}
	call := k.Calls(s.Servers, lease, allocatorStart)[0]
	g.Expect(call.Grant.Handover).To(gomega.Equal("h"))
	k.Done(call, Result{Failed: true}, allocatorStart)
	call = k.Calls(restart(s, "a", 2).Servers, lease, allocatorStart)[0]
	g.Expect(call.Server).To(gomega.Equal(run("b", 1)))
	g.Expect(call.Grant.Handover).To(gomega.BeEmpty())
}
