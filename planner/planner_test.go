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

// bench is a site with a planner that decides at moments the test names.
type bench struct {
	*testing.T
	g       *gomega.WithT
	site    *sitefake.Site
	tracker *planner.Tracker
	policy  balance.Policy
	reports *load.Collector
	now     time.Time
}

func newBench(t *testing.T, services ...*bspb.ServiceConfig) *bench {
	b := &bench{
		T: t, g: gomega.NewWithT(t), site: sitefake.New(), tracker: planner.NewTracker(),
		policy: balance.Greedy{}, reports: load.NewCollector(time.Hour), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for _, zone := range zones {
		b.site.Join("node-"+zone, zone)
		b.accepted(b.site.Lessor(zone, "node-"+zone))
	}
	b.accepted(b.site.Publish(services...))
	return b
}

func (b *bench) accepted(result state.Result) {
	b.Helper()
	b.g.Expect(result.Accepted).To(gomega.BeTrue(), "%v", result.Conflict)
}

// servers adds live servers of a service to each zone.
func (b *bench) servers(service string, perZone int) {
	for _, zone := range zones {
		for i := range perZone {
			b.accepted(b.site.Server(fmt.Sprintf("%s-%s-%d", service, zone, i), service, zone, state.PhaseLive))
		}
	}
}

func (b *bench) decide() planner.Plan {
	return planner.Decide(&planner.Input{
		Now: b.now, View: b.site.View(), Policy: b.policy, Tracker: b.tracker,
		Picture: func(service topo.Service) load.Picture { return b.reports.Picture(b.now, service) },
		Rand:    rand.New(rand.NewPCG(1, 1)),
	})
}

// carryOut makes a plan's assignments and moves, as the log and the lessors do.
func (b *bench) carryOut(plan planner.Plan) {
	b.Helper()
	for _, record := range planner.Records(plan.Assign, "test") {
		b.accepted(b.site.Apply("planner@1", record))
	}
	for i := range plan.Requests {
		b.tracker.Started(&plan.Requests[i], b.now)
		for _, move := range plan.Requests[i].Moves {
			b.accepted(b.site.Make(move))
		}
	}
}

// settle decides and carries out until nothing is left to do.
func (b *bench) settle() {
	b.Helper()
	for range 50 {
		plan := b.decide()
		if len(plan.Assign) == 0 && len(plan.Requests) == 0 {
			return
		}
		b.carryOut(plan)
		b.now = b.now.Add(time.Second)
	}
	b.Fatal("the planner never came to rest")
}

func (b *bench) shards(service string) []state.Assignment {
	var list []state.Assignment
	b.site.View().EachShard(topo.Service(service), func(a state.Assignment) bool {
		list = append(list, a)
		return true
	})
	return list
}

func (b *bench) server(id topo.ServerID) state.Server {
	server, exists := b.site.View().Server(id)
	b.g.Expect(exists).To(gomega.BeTrue(), "server %s", id)
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
	b := newBench(t, sitefake.Keyed("logs", 96))
	b.servers("logs", 4)
	b.settle()
	owned, standby := map[topo.ServerID]int{}, map[topo.ServerID]int{}
	for _, a := range b.shards("logs") {
		b.g.Expect(a.Fence.IsZero()).To(gomega.BeFalse())
		b.g.Expect(a.Standby).NotTo(gomega.Equal(a.Owner))
		b.g.Expect(b.server(a.Standby).Group).To(gomega.Equal(b.server(a.Owner).Group))
		owned[a.Owner]++
		standby[a.Standby]++
	}
	b.g.Expect(owned).To(gomega.HaveLen(12))
	for id := range owned {
		b.g.Expect(owned[id]).To(gomega.Equal(8), "%s", id)
		b.g.Expect(standby[id]).To(gomega.BeNumerically("~", 8, 2), "%s", id)
	}
}

func TestAPlanIsFewRecords(t *testing.T) {
	b := newBench(t, sitefake.Keyed("logs", 3000))
	b.servers("logs", 2)
	records := planner.Records(b.decide().Assign, "test")
	b.g.Expect(records).To(gomega.HaveLen(3))
}

func TestStandbyIsInTheZoneElseElsewhereElseNone(t *testing.T) {
	b := newBench(t, sitefake.Keyed("logs", 6))
	b.accepted(b.site.Server("one", "logs", "zone-a", state.PhaseLive))
	b.settle()
	b.g.Expect(b.shards("logs")[0].Standby).To(gomega.BeEmpty())
	b.accepted(b.site.Server("two", "logs", "zone-b", state.PhaseLive))
	b.settle()
	for _, a := range b.shards("logs") {
		b.g.Expect([]topo.ServerID{a.Owner, a.Standby}).To(gomega.ConsistOf(topo.ServerID("one"), topo.ServerID("two")))
	}
}

func TestAStandbyThatLeavesIsReplacedWithoutMovingTheOwner(t *testing.T) {
	b := newBench(t, sitefake.Keyed("logs", 12))
	b.servers("logs", 3)
	b.settle()
	before := b.shards("logs")
	b.accepted(b.site.Server("logs-zone-a-0", "logs", "zone-a", state.PhaseGone))
	b.accepted(b.site.Lost("logs-zone-a-0"))
	plan := b.decide()
	for _, move := range moves(plan, planner.ReasonStandby) {
		was := before[move.Shard.Index]
		b.g.Expect(move.To).To(gomega.BeEquivalentTo(was.Owner))
		b.g.Expect(was.Standby).To(gomega.BeEquivalentTo("logs-zone-a-0"))
		b.g.Expect(move.Standby).NotTo(gomega.BeElementOf("", "logs-zone-a-0", string(was.Owner)))
	}
	b.g.Expect(moves(plan, planner.ReasonStandby)).NotTo(gomega.BeEmpty())
}

func TestALeavingServerGetsNothingNewAndIsEmptied(t *testing.T) {
	for _, weighting := range []bspb.Weighting{
		bspb.Weighting_WEIGHTING_UNAVAILABILITY, bspb.Weighting_WEIGHTING_IMBALANCE,
	} {
		t.Run(weighting.String(), func(t *testing.T) {
			service := sitefake.Keyed("logs", 60)
			service.Weighting = weighting
			b := newBench(t, service)
			b.servers("logs", 2)
			b.settle()
			standbys := map[uint32]topo.ServerID{}
			for _, a := range b.shards("logs") {
				standbys[a.Shard.Index] = a.Standby
			}
			const leaving = "logs-zone-b-1"
			b.accepted(b.site.Server(leaving, "logs", "zone-b", state.PhaseDraining))
			first := b.decide()
			b.g.Expect(moves(first, "draining")).To(gomega.HaveLen(10))
			for _, move := range moves(first, "draining") {
				b.g.Expect(move.To).NotTo(gomega.Equal(leaving))
				b.g.Expect(move.Standby).NotTo(gomega.Equal(leaving))
				if weighting == bspb.Weighting_WEIGHTING_UNAVAILABILITY {
					b.g.Expect(move.To).To(gomega.BeEquivalentTo(standbys[move.Shard.Index]), "the warm one takes over")
				}
			}
			b.settle()
			for _, a := range b.shards("logs") {
				b.g.Expect([]topo.ServerID{a.Owner, a.Standby}).NotTo(gomega.ContainElement(topo.ServerID(leaving)))
			}
		})
	}
}

func TestServicesStartAfterThoseTheyDependOn(t *testing.T) {
	b := newBench(t, sitefake.Keyed("licensing", 8, "archive", "search"), sitefake.Keyed("archive", 8), sitefake.Unkeyed("search"))
	b.servers("licensing", 1)
	plan := b.decide()
	b.g.Expect(plan.Assign).To(gomega.BeEmpty())
	b.g.Expect(plan.Waiting).To(gomega.ConsistOf(topo.Service("licensing")))

	b.servers("archive", 1)
	b.carryOut(b.decide())
	b.g.Expect(b.decide().Waiting).To(gomega.ConsistOf(topo.Service("licensing")), "search has no server yet")

	b.servers("search", 1)
	plan = b.decide()
	b.g.Expect(plan.Waiting).To(gomega.BeEmpty())
	b.g.Expect(plan.Assign).To(gomega.HaveLen(8))
}

func TestAServiceStartsAloneAfterWaitingLong(t *testing.T) {
	b := newBench(t, sitefake.Keyed("licensing", 8, "archive"), sitefake.Keyed("archive", 8))
	b.servers("licensing", 1)
	b.g.Expect(b.decide().Assign).To(gomega.BeEmpty())
	b.now = b.now.Add(planner.StartPatience - time.Millisecond)
	b.g.Expect(b.decide().Assign).To(gomega.BeEmpty())
	b.now = b.now.Add(time.Millisecond)
	b.g.Expect(b.decide().Assign).To(gomega.HaveLen(8))
}

func TestAStartedServiceDoesNotWaitAgain(t *testing.T) {
	b := newBench(t, sitefake.Keyed("licensing", 8, "search"), sitefake.Unkeyed("search"))
	b.servers("licensing", 1)
	b.servers("search", 1)
	b.settle()
	for _, zone := range zones {
		b.accepted(b.site.Server("search-"+zone+"-0", "search", zone, state.PhaseGone))
	}
	b.accepted(b.site.Server("licensing-zone-a-0", "licensing", "zone-a", state.PhaseDraining))
	b.g.Expect(b.decide().Requests).NotTo(gomega.BeEmpty())
}

func TestRemovedServicesAreDrainedDependantsFirst(t *testing.T) {
	b := newBench(t, sitefake.Keyed("licensing", 4, "archive"), sitefake.Keyed("archive", 4), sitefake.Keyed("logs", 4))
	for _, service := range []string{"licensing", "archive", "logs"} {
		b.servers(service, 1)
	}
	b.settle()
	b.accepted(b.site.Publish(sitefake.Keyed("logs", 4)))

	plan := b.decide()
	released := moves(plan, planner.ReasonRetire)
	b.g.Expect(released).To(gomega.HaveLen(4))
	for _, move := range released {
		b.g.Expect(move.Shard.Service).To(gomega.Equal("licensing"), "archive is needed until licensing is empty")
		b.g.Expect(move.To).To(gomega.BeEmpty())
	}
	b.carryOut(plan)
	released = moves(b.decide(), planner.ReasonRetire)
	b.g.Expect(released).To(gomega.HaveLen(4))
	b.g.Expect(released[0].Shard.Service).To(gomega.Equal("archive"))
	b.settle()
	b.g.Expect(b.site.View().Tables()).To(gomega.ConsistOf(topo.Service("logs")))
	b.g.Expect(b.site.View().Retiring()).To(gomega.BeEmpty())
}

func TestAMoveUnderWayIsNotPlannedAgainUntilItTakesTooLong(t *testing.T) {
	b := newBench(t, sitefake.Keyed("logs", 6))
	b.servers("logs", 2)
	b.settle()
	b.accepted(b.site.Server("logs-zone-a-0", "logs", "zone-a", state.PhaseDraining))
	plan := b.decide()
	b.g.Expect(moves(plan, "draining")).To(gomega.HaveLen(1))
	for i := range plan.Requests {
		b.tracker.Started(&plan.Requests[i], b.now)
	}
	b.g.Expect(moves(b.decide(), "draining")).To(gomega.BeEmpty())
	b.now = b.now.Add(planner.MoveTimeout)
	again := b.decide()
	b.g.Expect(moves(again, "draining")).To(gomega.HaveLen(1))
	b.tracker.Started(&again.Requests[0], b.now)
	b.tracker.Answered(&again.Requests[0], 0, b.now)
	b.g.Expect(moves(b.decide(), "draining")).To(gomega.BeEmpty(), "a lessor that did not take it is not asked in haste")
	b.now = b.now.Add(planner.RetryMoveAfter)
	b.g.Expect(moves(b.decide(), "draining")).To(gomega.HaveLen(1))
}

func TestMovesThatALessorTookInPartAreAskedForAgainLater(t *testing.T) {
	b := newBench(t, sitefake.Keyed("logs", 12))
	b.servers("logs", 2)
	b.settle()
	b.accepted(b.site.Server("logs-zone-a-0", "logs", "zone-a", state.PhaseDraining))
	plan := b.decide()
	b.g.Expect(moves(plan, "draining")).To(gomega.HaveLen(2))
	b.tracker.Started(&plan.Requests[0], b.now)
	b.tracker.Answered(&plan.Requests[0], 1, b.now)
	b.accepted(b.site.Make(moves(plan, "draining")[0]))
	b.now = b.now.Add(planner.RetryPartAfter - 1)
	b.g.Expect(moves(b.decide(), "draining")).To(gomega.BeEmpty())
	b.now = b.now.Add(1)
	b.g.Expect(moves(b.decide(), "draining")).To(gomega.HaveLen(1), "only the other one is left")
}

func TestShardsOfAGroupWithoutLessorWait(t *testing.T) {
	b := newBench(t, sitefake.Keyed("logs", 4))
	b.accepted(b.site.Server("d-1", "logs", "zone-d", state.PhaseLive))
	b.settle()
	b.servers("logs", 1)
	b.accepted(b.site.Server("d-1", "logs", "zone-d", state.PhaseDraining))
	b.g.Expect(b.decide().Requests).To(gomega.BeEmpty())
	b.site.Join("node-d", "zone-d")
	b.accepted(b.site.Lessor("zone-d", "node-d"))
	b.g.Expect(moves(b.decide(), "draining")).To(gomega.HaveLen(4))
}

// TestTwoPlannersAreHarmless lets two decide on the same view, one of them
// late: each assignment takes effect once.
func TestTwoPlannersAreHarmless(t *testing.T) {
	b := newBench(t, sitefake.Keyed("logs", 32))
	b.servers("logs", 1)
	late := b.decide()
	b.settle()
	before := b.shards("logs")
	for _, record := range planner.Records(late.Assign, "late") {
		b.g.Expect(b.site.Apply("late@1", record).Accepted).To(gomega.BeFalse())
	}
	b.g.Expect(b.shards("logs")).To(gomega.Equal(before))
}

// TestAHotKeyIsSplitOutAndMergedBack follows one key through both, as reported
// by the nodes.
func TestAHotKeyIsSplitOutAndMergedBack(t *testing.T) {
	service := sitefake.Keyed("quotes", 12)
	service.Weighting = bspb.Weighting_WEIGHTING_IMBALANCE
	b := newBench(t, service)
	b.servers("quotes", 2)
	b.settle()
	const key = "hot"
	index := topo.ShardIndex(key, 12)
	owner := b.shards("quotes")[index].Owner
	b.now = b.now.Add(time.Minute)
	b.report(index, owner, 3.2, key, 0.6)
	plan := b.decide()
	split := moves(plan, "load")
	b.g.Expect(split).NotTo(gomega.BeEmpty())
	b.g.Expect(split[0].Shard.Key).To(gomega.Equal(key))
	b.g.Expect(split[0].Fence.Offset).To(gomega.BeEquivalentTo(b.shards("quotes")[index].Fence.Offset))
	for i := range plan.Requests {
		b.tracker.Started(&plan.Requests[i], b.now)
	}
	b.g.Expect(moves(b.decide(), "load")).To(gomega.BeEmpty(), "the split is under way")
	for _, move := range split {
		b.accepted(b.site.Make(move))
	}
	id := topo.ShardID{Service: "quotes", Index: index, Key: key}
	taken, exists := b.site.View().Shard(id)
	b.g.Expect(exists).To(gomega.BeTrue())
	b.g.Expect(taken.Owner).NotTo(gomega.Equal(owner))

	b.now = b.now.Add(time.Minute)
	b.report(index, owner, 0.4, key, 0)
	b.settle()
	_, exists = b.site.View().Shard(id)
	b.g.Expect(exists).To(gomega.BeFalse(), "a key that cooled returns to its hash range")
}

// report tells of one busy hash range among idle ones.
func (b *bench) report(index uint32, owner topo.ServerID, busy float64, key string, part float64) {
	report := &bspb.ReportLoadRequest{Sender: &bspb.Sender{Node: "node-zone-a", Boot: "1"}}
	shard := &bspb.ShardRef{Service: "quotes", Index: index}
	report.Shards = append(report.Shards, &bspb.ShardLoad{Shard: shard, PerSecond: 100, Busy: busy})
	if part > 0 {
		report.Keys = append(report.Keys, &bspb.KeyLoad{Shard: shard, Key: key, PerSecond: 100 * part})
	}
	report.Servers = append(report.Servers, &bspb.ServerLoad{Server: string(owner), InFlight: busy, MeanLatencyMs: 10 * busy})
	b.reports.Add(b.now, report)
}
