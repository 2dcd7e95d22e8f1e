package load_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	shardCount  = 16
	serverCount = 4
)

// view returns a site of one service whose shards are assigned to the servers in
// turn, and whose split keys belong to server s0.
func view(t *testing.T, split ...string) *state.View {
	t.Helper()
	s := state.New()
	apply := func(rec *bspb.Record) {
		rec.Format, rec.Writer, rec.Sequence = 1, "n@b", uint64(s.Applied())+1
		if result := s.Apply(s.Applied()+1, rec); !result.Accepted {
			t.Fatal(result.Conflict)
		}
	}
	site := &siteconfig.Site{GroupsPerZone: 1, Services: map[topo.Service]*siteconfig.Service{"quotes": quotes()}}
	apply(&bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{Compiled: siteconfig.ToProto(site)}}})
	servers := &bspb.UpdateServers{}
	for i := range serverCount {
		servers.Upsert = append(servers.Upsert, &bspb.ServerEntry{
			Id: fmt.Sprint("s", i), Service: "quotes", Zone: "a", Group: "a/0", Phase: bspb.ServerPhase_SERVER_PHASE_LIVE,
		})
	}
	apply(&bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: servers}})
	apply(&bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{Node: "n", Boot: "b", Zone: "a"}}})
	apply(&bspb.Record{Body: &bspb.Record_ClaimTerm{ClaimTerm: &bspb.ClaimTerm{Group: "a/0", Node: "n", Boot: "b"}}})
	claimed := uint64(s.Applied())
	assign := &bspb.AssignShards{Group: "a/0", Term: &bspb.Ordinal{Offset: claimed}}
	for i := range uint32(shardCount) {
		assign.Assignments = append(assign.Assignments, &bspb.Assignment{
			Shard: &bspb.ShardRef{Service: "quotes", Index: i}, Owner: fmt.Sprint("s", i%serverCount),
		})
	}
	apply(&bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: assign}})
	assigned := uint64(s.Applied())
	for _, key := range split {
		index := topo.ShardIndex(key, shardCount)
		apply(&bspb.Record{Body: &bspb.Record_AssignShards{AssignShards: &bspb.AssignShards{
			Group: "a/0", Term: &bspb.Ordinal{Offset: claimed},
			Assignments: []*bspb.Assignment{{
				Shard:    &bspb.ShardRef{Service: "quotes", Index: index, Key: key},
				Expected: &bspb.Ordinal{Offset: assigned}, Owner: "s0",
			}},
		}}})
	}
	return s.Freeze().View()
}

func quotes() *siteconfig.Service {
	return &siteconfig.Service{
		Name: "quotes", Keyed: true, Shards: shardCount, ConcurrencyPerServer: 6, ConnectionsPerServer: 130,
		ChecksFencing: true, Deadline: time.Second, Weighting: siteconfig.WeightImbalance, MaxBodyBytes: 1 << 20,
	}
}

type noPlannedMoves struct{}

func (noPlannedMoves) Changed(topo.ShardID) time.Time { return time.Time{} }
func (noPlannedMoves) Moving(topo.ShardID) bool       { return false }

// report returns a node's report of the same request rate for every shard. The
// slow server has four times the busy time of the others.
func report(slow topo.ServerID, limit int) *bspb.ReportLoadRequest {
	const rounds = 400
	table := load.NewTable(load.DefaultConfig())
	now := start
	for range rounds {
		now = now.Add(50 * time.Millisecond)
		for i := range uint32(shardCount) {
			server := topo.ServerID(fmt.Sprint("s", i%serverCount))
			busy := 10 * time.Millisecond
			if server == slow {
				busy *= 4
			}
			table.Observe(now, shard(i), "", server, busy, serverapi.OutcomeAnswered)
		}
	}
	message := table.Report(now, limit)
	message.Sender = &bspb.Sender{Node: "n1", Boot: "b1"}
	return message
}

func input(v *state.View, snapshot load.Snapshot) *balance.Input {
	sources := load.Sources{View: v, Service: quotes(), Snapshot: snapshot, PlannedMoves: noPlannedMoves{}}
	return sources.Input(start)
}

func TestInputOfABalancedSite(t *testing.T) {
	g := gomega.NewWithT(t)
	collector := load.NewCollector(10 * time.Second)
	collector.Add(start, report("", 1<<20))
	in := input(view(t), collector.Snapshot(start, "quotes"))
	g.Expect(in.Servers).To(gomega.HaveLen(serverCount))
	g.Expect(in.Shards).To(gomega.HaveLen(shardCount))
	for i, s := range in.Shards {
		g.Expect(s.Owner).To(gomega.Equal(i % serverCount))
		g.Expect(s.Load).To(gomega.BeNumerically("~", 0.2, 0.02))
	}
	for _, s := range in.Servers {
		g.Expect(s.Capacity).To(gomega.Equal(6.0))
		g.Expect(s.Background).To(gomega.BeZero())
	}
}

func TestASlowServerHasLessCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	collector := load.NewCollector(10 * time.Second)
	collector.Add(start, report("s2", 1<<20))
	in := input(view(t), collector.Snapshot(start, "quotes"))
	g.Expect(in.Servers[2].Capacity).To(gomega.BeNumerically("~", 1.5, 0.05))
	g.Expect(in.Shards[2].Load).To(gomega.BeNumerically("~", 0.2, 0.02))
}

func TestLoadThatDoesNotFitIsBackground(t *testing.T) {
	g := gomega.NewWithT(t)
	collector := load.NewCollector(10 * time.Second)
	collector.Add(start, report("", 400))
	in := input(view(t), collector.Snapshot(start, "quotes"))
	total := 0.0
	for i := range in.Servers {
		total += in.Servers[i].Background
	}
	for _, s := range in.Shards {
		total += s.Load
	}
	g.Expect(total).To(gomega.BeNumerically("~", 3.2, 0.2))
	g.Expect(in.Servers[0].Background).To(gomega.BeNumerically(">", 0))
}

func TestShedRequestsRaiseTheLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	message := report("", 1<<20)
	message.Servers[1].ShedPerSecond = 80 // equal to the rate of served requests
	collector := load.NewCollector(10 * time.Second)
	collector.Add(start, message)
	in := input(view(t), collector.Snapshot(start, "quotes"))
	g.Expect(in.Shards[1].Load).To(gomega.BeNumerically("~", 2*in.Shards[0].Load, 0.05))
}

func TestHotKeysExcludeSplitKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	table := load.NewTable(load.DefaultConfig())
	now := start
	for _, key := range []string{"hot", "split"} {
		now = serve(table, start, 10, 30, shard(topo.ShardIndex(key, shardCount)), key, 10*time.Millisecond)
	}
	collector := load.NewCollector(10 * time.Second)
	message := table.Report(now, 1<<20)
	message.Sender = &bspb.Sender{Node: "n1"}
	collector.Add(now, message)
	in := input(view(t, "split"), collector.Snapshot(now, "quotes"))
	g.Expect(in.HotKeys).To(gomega.HaveLen(1))
	g.Expect(in.HotKeys[0].Key).To(gomega.Equal("hot"))
	g.Expect(in.Shards[in.HotKeys[0].Shard].ID.Index).To(gomega.Equal(topo.ShardIndex("hot", shardCount)))
	g.Expect(in.HotKeys[0].Load).To(gomega.BeNumerically("~", 0.3, 0.05))
	g.Expect(in.Shards[shardCount].ID.Key).To(gomega.Equal("split"))
}

func TestOldReportsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	collector := load.NewCollector(10 * time.Second)
	collector.Add(start, report("", 1<<20))
	later := start.Add(11 * time.Second)
	g.Expect(collector.Snapshot(later, "quotes").Shards).To(gomega.BeEmpty())
}
