package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	benchServers = 1_000
	benchShards  = 100_000
	benchHotKeys = 256
)

func benchInput() *balance.Input {
	random := rand.New(rand.NewPCG(1, 1))
	in := &balance.Input{
		Service:   service,
		Now:       start,
		Weighting: siteconfig.WeightImbalance,
		Budget:    balance.Budget{Ranges: 60, Keys: 60, Evacuations: 256, Probes: 60},
		Rand:      random,
	}
	for i := range benchServers {
		in.Servers = append(in.Servers, balance.Server{
			ID: topo.ServerID(fmt.Sprintf("s%d", i)), Phase: state.PhaseLive, Capacity: 6,
		})
	}
	for range benchShards {
		addShard(in, random.IntN(benchServers), random.ExpFloat64()*0.03)
	}
	for i := range benchHotKeys {
		shard := random.IntN(benchShards)
		in.HotKeys = append(in.HotKeys, balance.HotKey{Shard: shard, Key: fmt.Sprint("k", i), Load: in.Shards[shard].Load / 2})
	}
	return in
}

// BenchmarkDecide measures one decision for 1,000 servers and 100,000 shards.
func BenchmarkDecide(b *testing.B) {
	for _, policy := range policies() {
		b.Run(policy.Name(), func(b *testing.B) {
			in := benchInput()
			b.ReportAllocs()
			moves := 0
			for b.Loop() {
				moves = len(policy.Decide(in))
			}
			b.ReportMetric(float64(moves), "moves")
		})
	}
}
