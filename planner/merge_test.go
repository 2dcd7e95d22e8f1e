package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/planner"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func ref(index uint32) *bspb.ShardRef { return &bspb.ShardRef{Service: "logs", Index: index} }

func TestMergeSumsReports(t *testing.T) {
	g := gomega.NewWithT(t)
	one := &bspb.ReportLoadRequest{
		WindowSeconds: 3,
		Servers:       []*bspb.ServerLoad{{Server: "s", InFlight: 2, MeanLatencyMs: 10, ShedPerSecond: 1}},
		Keys:          []*bspb.KeyLoad{{Shard: ref(1), Key: "k", PerSecond: 50, ErrorPerSecond: 5}},
		Shards:        []*bspb.ShardLoad{{Shard: ref(1), PerSecond: 60, Busy: 0.6}, {Shard: ref(2), PerSecond: 1, Busy: 0.1}},
	}
	two := &bspb.ReportLoadRequest{
		WindowSeconds: 3,
		Servers:       []*bspb.ServerLoad{{Server: "s", InFlight: 1, MeanLatencyMs: 40, ErrorPerSecond: 2}},
		Keys:          []*bspb.KeyLoad{{Shard: ref(1), Key: "k", PerSecond: 10}},
		Shards:        []*bspb.ShardLoad{{Shard: ref(1), PerSecond: 40, Busy: 0.4}},
	}
	before := proto.CloneOf(one)
	merged := planner.Merge([]*bspb.ReportLoadRequest{one, two}, 1<<20)
	g.Expect(proto.Equal(one, before)).To(gomega.BeTrue(), "Merge does not modify its inputs")
	g.Expect(merged.WindowSeconds).To(gomega.Equal(3.0))
	g.Expect(merged.Shards).To(gomega.HaveLen(2))
	g.Expect(merged.Shards[0].PerSecond).To(gomega.Equal(100.0))
	g.Expect(merged.Shards[0].Busy).To(gomega.Equal(1.0))
	g.Expect(merged.Keys[0].PerSecond).To(gomega.Equal(60.0))
	g.Expect(merged.Keys[0].ErrorPerSecond).To(gomega.Equal(5.0))
	server := merged.Servers[0]
	g.Expect(server.InFlight).To(gomega.Equal(3.0))
	// 200 requests per second of 10 ms and 25 requests per second of 40 ms.
	g.Expect(server.MeanLatencyMs).To(gomega.BeNumerically("~", 3000.0/225, 1e-9))
	g.Expect([]float64{server.ShedPerSecond, server.ErrorPerSecond}).To(gomega.Equal([]float64{1, 2}))
}

func TestMergeKeepsTheHottestEntriesWithinTheSizeLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	report := &bspb.ReportLoadRequest{}
	for i := range uint32(1000) {
		report.Shards = append(report.Shards, &bspb.ShardLoad{Shard: ref(i), Busy: float64(i)})
		report.Keys = append(report.Keys, &bspb.KeyLoad{Shard: ref(i), Key: fmt.Sprint(i), PerSecond: float64(i)})
	}
	report.Servers = append(report.Servers, &bspb.ServerLoad{Server: "s", InFlight: 1})
	for _, limit := range []int{0, 10, 1000, 8192} {
		merged := planner.Merge([]*bspb.ReportLoadRequest{report}, limit)
		g.Expect(proto.Size(merged)).To(gomega.BeNumerically("<=", limit))
		if limit < 1000 {
			continue
		}
		g.Expect(merged.Servers).To(gomega.HaveLen(1))
		g.Expect(merged.Shards[0].Busy).To(gomega.Equal(999.0))
		g.Expect(merged.Keys[0].Key).To(gomega.Equal("999"))
		g.Expect(len(merged.Shards)).To(gomega.BeNumerically(">", len(merged.Keys)))
	}
}

// TestMergeOfManyServersKeepsKeysAndShards guards against a report in which the
// 1,000 servers of a large site leave no space for keys and shards.
func TestMergeOfManyServersKeepsKeysAndShards(t *testing.T) {
	g := gomega.NewWithT(t)
	report := &bspb.ReportLoadRequest{}
	for i := range uint32(1000) {
		report.Servers = append(report.Servers, &bspb.ServerLoad{Server: fmt.Sprintf("server-%d", i), InFlight: float64(i + 1)})
		report.Shards = append(report.Shards, &bspb.ShardLoad{Shard: ref(i), Busy: float64(i)})
		report.Keys = append(report.Keys, &bspb.KeyLoad{Shard: ref(i), Key: fmt.Sprint(i), PerSecond: float64(i)})
	}
	merged := planner.Merge([]*bspb.ReportLoadRequest{report}, planner.ReportingFor(660).MaxBytes)
	g.Expect(merged.Servers[0].InFlight).To(gomega.Equal(1000.0))
	g.Expect(len(merged.Servers)).To(gomega.BeNumerically(">", 40))
	g.Expect(len(merged.Keys)).To(gomega.BeNumerically(">", 10))
	g.Expect(len(merged.Shards)).To(gomega.BeNumerically(">", 20))
}

// TestReportTrafficStaysWithinTheBudget sums the reports that a node receives and
// sends.
func TestReportTrafficStaysWithinTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	large := planner.ReportingFor(660)
	perSecond := float64((planner.FanIn+1)*large.MaxBytes) / large.Interval.Seconds()
	g.Expect(perSecond).To(gomega.BeNumerically("<", 10_000))
	g.Expect(planner.ReportingFor(12).MaxAge()).To(gomega.BeNumerically(">", 2*planner.ReportingFor(12).Interval))
}

// TestEveryReportReachesThePlanner follows the parents of each of 660 nodes up to
// the first candidate.
func TestEveryReportReachesThePlanner(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := make([]topo.NodeID, 660)
	for i := range nodes {
		nodes[i] = topo.NodeID(fmt.Sprintf("n%d", i))
	}
	children := map[topo.NodeID]int{}
	for i, id := range nodes {
		parents := planner.Parents(nodes, id)
		if i == 0 {
			g.Expect(parents).To(gomega.BeEmpty())
			continue
		}
		g.Expect(parents[len(parents)-1]).To(gomega.Equal(nodes[0]))
		g.Expect(len(parents)).To(gomega.BeNumerically("<=", 3))
		children[parents[0]]++
	}
	for id, count := range children {
		g.Expect(count).To(gomega.BeNumerically("<=", planner.FanIn), "%s", id)
	}
	g.Expect(planner.Parents(nodes, "stranger")).To(gomega.BeEmpty())
}

// TestAKeyWithAnotherOwnerIsMovedBeforeItIsMerged uses a policy that always
// merges the key into its hash range. A merge takes effect only if one server
// owns both.
func TestAKeyWithAnotherOwnerIsMovedBeforeItIsMerged(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 4))
	h.addLiveServers("logs", 1)
	h.decideUntilIdle()
	const key = "k"
	parent := h.shards("logs")[topo.ShardIndex(key, 4)]
	other := h.shards("logs")[(parent.Shard.Index+1)%4].Owner
	if other == parent.Owner {
		other = h.shards("logs")[(parent.Shard.Index+2)%4].Owner
	}
	id := topo.ShardID{Service: "logs", Index: parent.Shard.Index, Key: key}
	h.expectAccepted(h.site.PerformMove(&bspb.ShardMove{
		Shard: &bspb.ShardRef{Service: "logs", Index: id.Index, Key: key}, To: string(other),
		Fence: &bspb.Ordinal{Offset: uint64(parent.Fence.Offset)},
	}))
	h.policy = mergePolicy{id}
	first := h.decide()
	h.g.Expect(moves(first, "cooled")).To(gomega.HaveLen(1))
	h.g.Expect(moves(first, "cooled")[0].Merge).To(gomega.BeFalse())
	h.g.Expect(moves(first, "cooled")[0].To).To(gomega.BeEquivalentTo(parent.Owner))
	h.apply(first)
	second := h.decide()
	h.g.Expect(moves(second, "cooled")[0].Merge).To(gomega.BeTrue())
	h.apply(second)
	_, exists := h.site.View().Shard(id)
	h.g.Expect(exists).To(gomega.BeFalse())
}

// mergePolicy is a policy that always merges one key.
type mergePolicy struct{ id topo.ShardID }

func (mergePolicy) Name() string { return "merging" }

func (m mergePolicy) Decide(in *balance.Input) []balance.Move {
	for _, shard := range in.Shards {
		if shard.ID == m.id {
			to := in.Servers[shard.Owner].ID
			return []balance.Move{{Kind: balance.MergeKey, Shard: m.id, To: to, Cause: balance.CauseCooled}}
		}
	}
	return nil
}

// TestMovesForLoadAreRateLimited uses a policy that makes as many moves as its
// budget allows.
func TestMovesForLoadAreRateLimited(t *testing.T) {
	h := newHarness(t, sitefake.Keyed("logs", 60))
	h.addLiveServers("logs", 2)
	h.decideUntilIdle()
	h.policy = exhaustBudgetPolicy{}
	moveCount := 0
	for range 300 {
		plan := h.decide()
		moveCount += len(moves(plan, "load"))
		h.apply(plan)
		h.now = h.now.Add(time.Second)
	}
	h.g.Expect(moveCount).To(gomega.BeNumerically("~", 5*15+5, 3), "15 moves per minute and a burst of 5")
}

// exhaustBudgetPolicy is a policy that moves ranges to the next server until its
// budget is used up.
type exhaustBudgetPolicy struct{}

func (exhaustBudgetPolicy) Name() string { return "restless" }

func (exhaustBudgetPolicy) Decide(in *balance.Input) []balance.Move {
	var list []balance.Move
	for _, shard := range in.Shards {
		if len(list) < in.Budget.Ranges && !shard.Moving {
			to := in.Servers[(shard.Owner+1)%len(in.Servers)].ID
			list = append(list, balance.Move{Kind: balance.MoveShard, Shard: shard.ID, To: to, Cause: balance.CauseLoad})
		}
	}
	return list
}
