package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/planner"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// harness is a simulated site with a planner that decides when the test calls it.
type harness struct {
	*testing.T
	g       *gomega.WithT
	site    *sitefake.Site
	tracker *planner.Tracker
	policy  balance.Policy
	reports *load.Collector
	now     time.Time
}

func newHarness(t *testing.T, services ...*bspb.ServiceConfig) *harness {
	h := &harness{
		T: t, g: gomega.NewWithT(t), site: sitefake.New(), tracker: planner.NewTracker(),
		policy: balance.Greedy{}, reports: load.NewCollector(time.Hour), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for _, zone := range zones {
		h.site.Join("node-"+zone, zone)
		h.expectAccepted(h.site.Lessor(zone, "node-"+zone))
	}
	h.expectAccepted(h.site.Publish(services...))
	return h
}

func (h *harness) expectAccepted(result state.Result) {
	h.Helper()
	h.g.Expect(result.Accepted).To(gomega.BeTrue(), "%v", result.Conflict)
}

// addLiveServers adds live servers of a service in each zone.
func (h *harness) addLiveServers(service string, perZone int) {
	for _, zone := range zones {
		for i := range perZone {
			h.expectAccepted(h.site.Server(fmt.Sprintf("%s-%s-%d", service, zone, i), service, zone, state.PhaseLive))
		}
	}
}

func (h *harness) decide() planner.Plan {
	return planner.Decide(&planner.Input{
		Now: h.now, View: h.site.View(), Policy: h.policy, Tracker: h.tracker,
		Snapshot: func(service topo.Service) load.Snapshot { return h.reports.Snapshot(h.now, service) },
		Rand:     rand.New(rand.NewPCG(1, 1)),
	})
}

// apply carries out a plan's assignments and moves as the log and the lessors do.
func (h *harness) apply(plan planner.Plan) {
	h.Helper()
	for _, record := range planner.Records(plan.Assign, "test") {
		h.expectAccepted(h.site.Apply("planner@1", record))
	}
	for i := range plan.Requests {
		h.tracker.Started(&plan.Requests[i], h.now)
		for _, move := range plan.Requests[i].Moves {
			h.expectAccepted(h.site.PerformMove(move))
		}
	}
}

// decideUntilIdle decides and applies plans until a plan is empty.
func (h *harness) decideUntilIdle() {
	h.Helper()
	for range 50 {
		plan := h.decide()
		if len(plan.Assign) == 0 && len(plan.Requests) == 0 {
			return
		}
		h.apply(plan)
		h.now = h.now.Add(time.Second)
	}
	h.Fatal("the planner still made changes after 50 decisions")
}

func (h *harness) shards(service string) []state.Assignment {
	var list []state.Assignment
	h.site.View().EachShard(topo.Service(service), func(a state.Assignment) bool {
		list = append(list, a)
		return true
	})
	return list
}

func (h *harness) server(id topo.ServerID) state.Server {
	server, exists := h.site.View().Server(id)
	h.g.Expect(exists).To(gomega.BeTrue(), "server %s", id)
	return server
}

// moves returns the moves of one reason, over all requests.
func moves(plan planner.Plan, reason string) []*bspb.ShardMove {
	var list []*bspb.ShardMove
	for _, request := range plan.Requests {
		if request.Reason == reason {
			list = append(list, request.Moves...)
		}
	}
	return list
}

func TestUnownedShardsAreSpreadWithStandbysInTheOwnersGroup(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 96))
	h.addLiveServers("logs", 4)
	h.decideUntilIdle()
	owned, standby := map[topo.ServerID]int{}, map[topo.ServerID]int{}
	for _, a := range h.shards("logs") {
		h.g.Expect(a.Fence.IsZero()).To(gomega.BeFalse())
		h.g.Expect(a.Standby).NotTo(gomega.Equal(a.Owner))
		h.g.Expect(h.server(a.Standby).Group).To(gomega.Equal(h.server(a.Owner).Group))
		owned[a.Owner]++
		standby[a.Standby]++
	}
	h.g.Expect(owned).To(gomega.HaveLen(12))
	for id := range owned {
		h.g.Expect(owned[id]).To(gomega.Equal(8), "%s", id)
		h.g.Expect(standby[id]).To(gomega.BeNumerically("~", 8, 2), "%s", id)
	}
}

func TestAssignmentsArePackedIntoFewRecords(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 3000))
	h.addLiveServers("logs", 2)
	records := planner.Records(h.decide().Assign, "test")
	h.g.Expect(records).To(gomega.HaveLen(3))
}

func TestStandbyIsInAnotherZoneOrEmptyWithoutACloserServer(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 6))
	h.expectAccepted(h.site.Server("one", "logs", "zone-a", state.PhaseLive))
	h.decideUntilIdle()
	h.g.Expect(h.shards("logs")[0].Standby).To(gomega.BeEmpty())
	h.expectAccepted(h.site.Server("two", "logs", "zone-b", state.PhaseLive))
	h.decideUntilIdle()
	for _, a := range h.shards("logs") {
		h.g.Expect([]topo.ServerID{a.Owner, a.Standby}).To(gomega.ConsistOf(topo.ServerID("one"), topo.ServerID("two")))
	}
}

func TestAMissingStandbyIsReplacedWithoutMovingTheOwner(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 12))
	h.addLiveServers("logs", 3)
	h.decideUntilIdle()
	before := h.shards("logs")
	h.expectAccepted(h.site.Server("logs-zone-a-0", "logs", "zone-a", state.PhaseGone))
	h.expectAccepted(h.site.ConfirmLost("logs-zone-a-0"))
	plan := h.decide()
	for _, move := range moves(plan, planner.ReasonStandby) {
		was := before[move.Shard.Index]
		h.g.Expect(move.To).To(gomega.BeEquivalentTo(was.Owner))
		h.g.Expect(was.Standby).To(gomega.BeEquivalentTo("logs-zone-a-0"))
		h.g.Expect(move.Standby).NotTo(gomega.BeElementOf("", "logs-zone-a-0", string(was.Owner)))
	}
	h.g.Expect(moves(plan, planner.ReasonStandby)).NotTo(gomega.BeEmpty())
}

func TestADrainingServerGetsNoNewShardsAndIsEmptied(t *testing.T) {
	for _, weighting := range []bspb.Weighting{
		bspb.Weighting_WEIGHTING_UNAVAILABILITY, bspb.Weighting_WEIGHTING_IMBALANCE,
	} {
		t.Run(weighting.String(), func(t *testing.T) {
			service := sitefake.Keyed("logs", 60)
			service.Weighting = weighting
			h := newHarness(t, service)
			h.addLiveServers("logs", 2)
			h.decideUntilIdle()
			standbys := map[uint32]topo.ServerID{}
			for _, a := range h.shards("logs") {
				standbys[a.Shard.Index] = a.Standby
			}
			const leaving = "logs-zone-b-1"
			h.expectAccepted(h.site.Server(leaving, "logs", "zone-b", state.PhaseDraining))
			first := h.decide()
			h.g.Expect(moves(first, "draining")).To(gomega.HaveLen(10))
			for _, move := range moves(first, "draining") {
				h.g.Expect(move.To).NotTo(gomega.Equal(leaving))
				h.g.Expect(move.Standby).NotTo(gomega.Equal(leaving))
				if weighting == bspb.Weighting_WEIGHTING_UNAVAILABILITY {
					h.g.Expect(move.To).To(gomega.BeEquivalentTo(standbys[move.Shard.Index]), "the standby, which is warm, becomes the owner")
				}
			}
			h.decideUntilIdle()
			for _, a := range h.shards("logs") {
				h.g.Expect([]topo.ServerID{a.Owner, a.Standby}).NotTo(gomega.ContainElement(topo.ServerID(leaving)))
			}
		})
	}
}

func TestServicesStartAfterTheirDependencies(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("licensing", 8, "archive", "search"), sitefake.Keyed("archive", 8), sitefake.Unkeyed("search"))
	h.addLiveServers("licensing", 1)
	plan := h.decide()
	h.g.Expect(plan.Assign).To(gomega.BeEmpty())
	h.g.Expect(plan.Waiting).To(gomega.ConsistOf(topo.Service("licensing")))

	h.addLiveServers("archive", 1)
	h.apply(h.decide())
	h.g.Expect(h.decide().Waiting).To(gomega.ConsistOf(topo.Service("licensing")), "search has no live server yet")

	h.addLiveServers("search", 1)
	plan = h.decide()
	h.g.Expect(plan.Waiting).To(gomega.BeEmpty())
	h.g.Expect(plan.Assign).To(gomega.HaveLen(8))
}

func TestAServiceStartsWithoutItsDependenciesAfterTheTimeout(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("licensing", 8, "archive"), sitefake.Keyed("archive", 8))
	h.addLiveServers("licensing", 1)
	h.g.Expect(h.decide().Assign).To(gomega.BeEmpty())
	h.now = h.now.Add(planner.DependencyTimeout - time.Millisecond)
	h.g.Expect(h.decide().Assign).To(gomega.BeEmpty())
	h.now = h.now.Add(time.Millisecond)
	h.g.Expect(h.decide().Assign).To(gomega.HaveLen(8))
}

func TestAStartedServiceDoesNotWaitForDependenciesAgain(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("licensing", 8, "search"), sitefake.Unkeyed("search"))
	h.addLiveServers("licensing", 1)
	h.addLiveServers("search", 1)
	h.decideUntilIdle()
	for _, zone := range zones {
		h.expectAccepted(h.site.Server("search-"+zone+"-0", "search", zone, state.PhaseGone))
	}
	h.expectAccepted(h.site.Server("licensing-zone-a-0", "licensing", "zone-a", state.PhaseDraining))
	h.g.Expect(h.decide().Requests).NotTo(gomega.BeEmpty())
}

func TestRemovedServicesAreDrainedDependantsFirst(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("licensing", 4, "archive"), sitefake.Keyed("archive", 4), sitefake.Keyed("logs", 4))
	for _, service := range []string{"licensing", "archive", "logs"} {
		h.addLiveServers(service, 1)
	}
	h.decideUntilIdle()
	h.expectAccepted(h.site.Publish(sitefake.Keyed("logs", 4)))

	plan := h.decide()
	released := moves(plan, planner.ReasonRetire)
	h.g.Expect(released).To(gomega.HaveLen(4))
	for _, move := range released {
		h.g.Expect(move.Shard.Service).To(gomega.Equal("licensing"), "licensing depends on archive until its shards are released")
		h.g.Expect(move.To).To(gomega.BeEmpty())
	}
	h.apply(plan)
	released = moves(h.decide(), planner.ReasonRetire)
	h.g.Expect(released).To(gomega.HaveLen(4))
	h.g.Expect(released[0].Shard.Service).To(gomega.Equal("archive"))
	h.decideUntilIdle()
	h.g.Expect(h.site.View().Tables()).To(gomega.ConsistOf(topo.Service("logs")))
	h.g.Expect(h.site.View().Retiring()).To(gomega.BeEmpty())
}

func TestAMoveInFlightIsPlannedAgainOnlyAfterItsTimeout(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 6))
	h.addLiveServers("logs", 2)
	h.decideUntilIdle()
	h.expectAccepted(h.site.Server("logs-zone-a-0", "logs", "zone-a", state.PhaseDraining))
	plan := h.decide()
	h.g.Expect(moves(plan, "draining")).To(gomega.HaveLen(1))
	for i := range plan.Requests {
		h.tracker.Started(&plan.Requests[i], h.now)
	}
	h.g.Expect(moves(h.decide(), "draining")).To(gomega.BeEmpty())
	h.now = h.now.Add(planner.MoveTimeout)
	again := h.decide()
	h.g.Expect(moves(again, "draining")).To(gomega.HaveLen(1))
	h.tracker.Started(&again.Requests[0], h.now)
	h.tracker.Answered(&again.Requests[0], 0, h.now)
	h.g.Expect(moves(h.decide(), "draining")).To(gomega.BeEmpty(), "a lessor that refused the move gets no immediate retry")
	h.now = h.now.Add(planner.RetryRefusedAfter)
	h.g.Expect(moves(h.decide(), "draining")).To(gomega.HaveLen(1))
}

func TestMovesOfAPartlyAcceptedRequestAreRetriedLater(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 12))
	h.addLiveServers("logs", 2)
	h.decideUntilIdle()
	h.expectAccepted(h.site.Server("logs-zone-a-0", "logs", "zone-a", state.PhaseDraining))
	plan := h.decide()
	h.g.Expect(moves(plan, "draining")).To(gomega.HaveLen(2))
	h.tracker.Started(&plan.Requests[0], h.now)
	h.tracker.Answered(&plan.Requests[0], 1, h.now)
	h.expectAccepted(h.site.PerformMove(moves(plan, "draining")[0]))
	h.now = h.now.Add(planner.RetryPartialAfter - 1)
	h.g.Expect(moves(h.decide(), "draining")).To(gomega.BeEmpty())
	h.now = h.now.Add(1)
	h.g.Expect(moves(h.decide(), "draining")).To(gomega.HaveLen(1), "only the move that was not made is retried")
}

func TestMovesWaitForALessorOfTheGroup(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 4))
	h.expectAccepted(h.site.Server("d-1", "logs", "zone-d", state.PhaseLive))
	h.decideUntilIdle()
	h.addLiveServers("logs", 1)
	h.expectAccepted(h.site.Server("d-1", "logs", "zone-d", state.PhaseDraining))
	h.g.Expect(h.decide().Requests).To(gomega.BeEmpty())
	h.site.Join("node-d", "zone-d")
	h.expectAccepted(h.site.Lessor("zone-d", "node-d"))
	h.g.Expect(moves(h.decide(), "draining")).To(gomega.HaveLen(4))
}

// TestASecondPlannersAssignmentsHaveNoEffect applies the assignments of two
// planners that decided on the same view: each shard is assigned only once.
func TestASecondPlannersAssignmentsHaveNoEffect(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 32))
	h.addLiveServers("logs", 1)
	late := h.decide()
	h.decideUntilIdle()
	before := h.shards("logs")
	for _, record := range planner.Records(late.Assign, "late") {
		h.g.Expect(h.site.Apply("late@1", record).Accepted).To(gomega.BeFalse())
	}
	h.g.Expect(h.shards("logs")).To(gomega.Equal(before))
}

// TestAHotKeyIsSplitOutAndMergedBack reports one key as hot, then as cold.
func TestAHotKeyIsSplitOutAndMergedBack(t *testing.T) {
	service := sitefake.Keyed("quotes", 12)
	service.Weighting = bspb.Weighting_WEIGHTING_IMBALANCE
	h := newHarness(t, service)
	h.addLiveServers("quotes", 2)
	h.decideUntilIdle()
	const key = "hot"
	index := topo.ShardIndex(key, 12)
	owner := h.shards("quotes")[index].Owner
	h.now = h.now.Add(time.Minute)
	h.report(index, owner, 3.2, key, 0.6)
	plan := h.decide()
	split := moves(plan, "load")
	h.g.Expect(split).NotTo(gomega.BeEmpty())
	h.g.Expect(split[0].Shard.Key).To(gomega.Equal(key))
	h.g.Expect(split[0].Fence.Offset).To(gomega.BeEquivalentTo(h.shards("quotes")[index].Fence.Offset))
	for i := range plan.Requests {
		h.tracker.Started(&plan.Requests[i], h.now)
	}
	h.g.Expect(moves(h.decide(), "load")).To(gomega.BeEmpty(), "the split is in flight")
	for _, move := range split {
		h.expectAccepted(h.site.PerformMove(move))
	}
	id := topo.ShardID{Service: "quotes", Index: index, Key: key}
	taken, exists := h.site.View().Shard(id)
	h.g.Expect(exists).To(gomega.BeTrue())
	h.g.Expect(taken.Owner).NotTo(gomega.Equal(owner))

	h.now = h.now.Add(time.Minute)
	h.report(index, owner, 0.4, key, 0)
	h.decideUntilIdle()
	_, exists = h.site.View().Shard(id)
	h.g.Expect(exists).To(gomega.BeFalse(), "a key that cooled returns to its hash range")
}

// report adds a load report with one busy hash range; part is the fraction of its
// requests that are for the key.
func (h *harness) report(index uint32, owner topo.ServerID, busy float64, key string, part float64) {
	report := &bspb.ReportLoadRequest{Sender: &bspb.Sender{Node: "node-zone-a", Boot: "1"}}
	shard := &bspb.ShardRef{Service: "quotes", Index: index}
	report.Shards = append(report.Shards, &bspb.ShardLoad{Shard: shard, PerSecond: 100, Busy: busy})
	if part > 0 {
		report.Keys = append(report.Keys, &bspb.KeyLoad{Shard: shard, Key: key, PerSecond: 100 * part})
	}
	report.Servers = append(report.Servers, &bspb.ServerLoad{Server: string(owner), InFlight: busy, MeanLatencyMs: 10 * busy})
	h.reports.Add(h.now, report)
}
