package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/hotkeys"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	measureSeed    = 1
	balanceServers = 500
	balanceBudget  = 60
	meanShardLoad  = 0.03 // mean number of requests in service
)

// measureEpoch is the arbitrary time at which decisions are made.
var measureEpoch = time.Unix(1_000_000, 0)

// balanceSeries measures a decision of the default policy by the number of shards
// and by the number of servers.
func balanceSeries(quick bool) []Series {
	shards, servers := []int{10_000, 20_000, 40_000, 80_000}, []int{100, 200, 400, 800}
	if quick {
		shards, servers = []int{2_000, 4_000}, []int{50, 100}
	}
	byShards, _ := sweep(shards, func(n int) (float64, error) { return decisionCost(n, balanceServers), nil })
	byServers, _ := sweep(servers, func(n int) (float64, error) { return decisionCost(20_000, n), nil })
	return []Series{
		newSeries("balance decision by shards", "shards", "µs of processor", byShards),
		newSeries("balance decision by servers", "servers", "µs of processor", byServers),
	}
}

// decisionCost measures one decision over skewed loads, in microseconds of processor
// time.
func decisionCost(shards, servers int) float64 {
	random := rand.New(rand.NewPCG(measureSeed, measureSeed))
	in := &balance.Input{
		Service: serviceName, Now: measureEpoch, Weighting: siteconfig.WeightImbalance, Rand: random,
		Budget: balance.Budget{Ranges: balanceBudget, Keys: balanceBudget, Evacuations: balanceBudget, Probes: balanceBudget},
	}
	for i := range servers {
		in.Servers = append(in.Servers, balance.Server{ID: topo.ServerID(serverID(i)), Phase: state.PhaseLive, Capacity: 6})
	}
	for i := range shards {
		in.Shards = append(in.Shards, balance.Shard{
			ID:    topo.ShardID{Service: serviceName, Index: uint32(i)},
			Owner: random.IntN(servers), Load: random.ExpFloat64() * meanShardLoad,
		})
	}
	return costOf(func() { balance.Push{}.Decide(in) })
}

// sketchSeries measures the hot-key sketch by its capacity, with keys of which most
// are not in the sketch.
func sketchSeries(quick bool) Series {
	sizes := []int{64, 128, 256, 512}
	if quick {
		sizes = sizes[:2]
	}
	points, _ := sweep(sizes, func(size int) (float64, error) { return observeCost(size), nil })
	return newSeries("hot-key sketch, one request observed", "keys held", "µs of processor", points)
}

func observeCost(size int) float64 {
	const batch = 1000
	sketch := hotkeys.New(size, time.Second)
	random := rand.New(rand.NewPCG(measureSeed, measureSeed))
	keys := make([]topo.ShardID, batch)
	for i := range keys {
		keys[i] = topo.ShardID{Service: serviceName, Key: fmt.Sprintf("key-%d", random.IntN(1_000_000))}
	}
	now := measureEpoch
	cost := costOf(func() {
		for _, key := range keys {
			sketch.Observe(now, key, time.Millisecond)
		}
		now = now.Add(time.Millisecond)
	})
	return cost / batch
}
