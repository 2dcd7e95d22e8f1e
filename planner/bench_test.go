package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/planner"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// BenchmarkDecideAtRest measures one decision of the planner for a site that
// needs no changes, with load reports for 500 busy shards.
func BenchmarkDecideAtRest(b *testing.B) {
	for _, size := range []struct {
		servers int
		shards  uint32
	}{{30, 3000}, {100, 10_000}, {1000, 100_000}} {
		b.Run(fmt.Sprintf("servers=%d/shards=%d", size.servers, size.shards), func(b *testing.B) {
			site := sitefake.New()
			site.Publish(sitefake.Keyed("logs", size.shards))
			for _, zone := range zones {
				site.Join("node-"+zone, zone)
				site.Lessor(zone, "node-"+zone)
			}
			for i := range size.servers {
				zone := zones[i%len(zones)]
				site.Server(fmt.Sprintf("s%d", i), "logs", zone, state.PhaseLive)
			}
			in := &planner.Input{
				Now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), View: site.View(), Policy: balance.Push{},
				Tracker: planner.NewTracker(), Rand: rand.New(rand.NewPCG(1, 1)),
			}
			reports := load.NewCollector(time.Hour)
			in.Snapshot = func(service topo.Service) load.Snapshot { return reports.Snapshot(in.Now, service) }
			for {
				plan := planner.Decide(in)
				if len(plan.Assign) == 0 {
					break
				}
				for _, record := range planner.Records(plan.Assign, "bench") {
					site.Apply("planner@1", record)
				}
				in.View = site.View()
			}
			reports.Add(in.Now, busyReport(site.View(), 500))
			b.ResetTimer()
			for b.Loop() {
				in.Now = in.Now.Add(time.Second)
				planner.Decide(in)
			}
		})
	}
}

func busyReport(view *state.View, shards uint32) *bspb.ReportLoadRequest {
	report := &bspb.ReportLoadRequest{Sender: &bspb.Sender{Node: "n", Boot: "1"}}
	for index := range shards {
		report.Shards = append(report.Shards, &bspb.ShardLoad{
			Shard: &bspb.ShardRef{Service: "logs", Index: index}, PerSecond: 10, Busy: 0.1,
		})
	}
	for id := range view.Servers() {
		report.Servers = append(report.Servers, &bspb.ServerLoad{Server: string(id), InFlight: 1, MeanLatencyMs: 10})
	}
	return report
}
