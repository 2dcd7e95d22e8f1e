package load_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func shard(index uint32) topo.ShardID { return topo.ShardID{Service: "quotes", Index: index} }

// serve records requests at server s1 for a number of seconds and returns the time
// of the last one.
func serve(table *load.Table, from time.Time, seconds, perSecond int, id topo.ShardID, key string,
	busy time.Duration,
) time.Time {
	step := time.Second / time.Duration(perSecond)
	for range seconds * perSecond {
		from = from.Add(step)
		table.Observe(from, id, key, "s1", busy, serverapi.OutcomeAnswered)
	}
	return from
}

func TestReportCarriesRatesAndHotKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	table := load.NewTable(load.DefaultConfig())
	now := serve(table, start, 30, 100, shard(3), "q-1", 20*time.Millisecond)
	report := table.Report(now, 4096)
	g.Expect(report.Shards).To(gomega.HaveLen(1))
	g.Expect(report.Shards[0].PerSecond).To(gomega.BeNumerically("~", 100, 3))
	g.Expect(report.Shards[0].Busy).To(gomega.BeNumerically("~", 2, 0.1))
	g.Expect(report.Keys).To(gomega.HaveLen(1))
	g.Expect(report.Keys[0].Key).To(gomega.Equal("q-1"))
	g.Expect(report.Keys[0].Shard.Index).To(gomega.Equal(uint32(3)))
	g.Expect(report.Servers).To(gomega.HaveLen(1))
	g.Expect(report.Servers[0].MeanLatencyMs).To(gomega.BeNumerically("~", 20, 0.1))
	table.Expire(now.Add(5 * time.Minute))
	g.Expect(table.Report(now.Add(5*time.Minute), 4096).Shards).To(gomega.BeEmpty())
}

func TestSplitKeysDoNotEnterTheSketch(t *testing.T) {
	g := gomega.NewWithT(t)
	table := load.NewTable(load.DefaultConfig())
	split := topo.ShardID{Service: "quotes", Index: 3, Key: "q-1"}
	now := serve(table, start, 2, 100, split, "q-1", time.Millisecond)
	g.Expect(table.Report(now, 4096).Keys).To(gomega.BeEmpty())
	g.Expect(table.Report(now, 4096).Shards).To(gomega.HaveLen(1))
}

func TestRequestsNotRunCountAsShedOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	table := load.NewTable(load.DefaultConfig())
	now := serve(table, start, 20, 100, shard(1), "", 10*time.Millisecond)
	before := table.Report(now, 4096)
	table.Observe(now, shard(1), "", "s1", 0, serverapi.OutcomeNotRun)
	table.Shed(now, "s1", 300)
	after := table.Report(now, 4096)
	g.Expect(after.Shards[0].PerSecond).To(gomega.Equal(before.Shards[0].PerSecond))
	g.Expect(after.Servers[0].ShedPerSecond).To(gomega.BeNumerically(">", 50))
}

func TestReportStaysWithinItsByteLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	table := load.NewTable(load.DefaultConfig())
	for i := range uint32(500) {
		key := fmt.Sprint("key-", i)
		serve(table, start, 1, int(i/10+1), shard(i), key, time.Millisecond)
	}
	now := serve(table, start, 1, 1000, shard(7), "hot", time.Millisecond)
	for _, limit := range []int{0, 50, 500, 2000, 8000} {
		report := table.Report(now, limit)
		envelope := proto.Size(&bspb.ReportLoadRequest{WindowSeconds: report.WindowSeconds})
		g.Expect(proto.Size(report) - envelope).To(gomega.BeNumerically("<=", limit))
	}
	report := table.Report(now, 2000)
	g.Expect(report.Servers).To(gomega.HaveLen(1))
	g.Expect(report.Keys).NotTo(gomega.BeEmpty())
	g.Expect(report.Keys[0].Key).To(gomega.Equal("hot"))
	g.Expect(report.Shards[0].Shard.Index).To(gomega.Equal(uint32(7)))
	g.Expect(report.Shards[1].Shard.Index).To(gomega.BeNumerically(">=", 490))
}

func TestTableIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	config := load.DefaultConfig()
	config.MaxShards = 10
	table := load.NewTable(config)
	for i := range uint32(30) {
		table.Observe(start, shard(i), "", "s1", 0, serverapi.OutcomeAnswered)
	}
	g.Expect(table.Skipped()).To(gomega.Equal(uint64(20)))
	g.Expect(table.Report(start, 1<<20).Shards).To(gomega.HaveLen(10))
}

func TestRecorderCountsInItsOwnGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		recorder := load.NewRecorder(load.DefaultConfig())
		ctx, cancel := context.WithCancel(t.Context())
		go recorder.Run(ctx)
		for range 100 {
			recorder.Observe(shard(1), "q-1", "s1", 10*time.Millisecond, serverapi.OutcomeAnswered)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		report := recorder.Report(ctx, 4096, []load.ServerStats{{Server: "s1", Shed: 50}})
		g.Expect(report.Shards[0].PerSecond).To(gomega.BeNumerically("~", 100, 5))
		g.Expect(report.Servers[0].ShedPerSecond).To(gomega.BeNumerically(">", 10))
		g.Expect(recorder.Dump().Shards).To(gomega.Equal(1))
		cancel()
		synctest.Wait()
		g.Expect(recorder.Report(t.Context(), 4096, nil)).To(gomega.BeNil())
	})
}

func TestAFullRingDropsAndCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	recorder := load.NewRecorder(load.DefaultConfig())
	for range 10_000 {
		recorder.Observe(shard(1), "", "s1", 0, serverapi.OutcomeAnswered)
	}
	stats := recorder.Dump().Observations
	g.Expect(stats.Dropped + uint64(stats.Length)).To(gomega.Equal(uint64(10_000)))
	g.Expect(stats.Dropped).To(gomega.BeNumerically(">", 0))
}
