package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

func drawInput(t *rapid.T) *balance.Input {
	servers := rapid.IntRange(1, 8).Draw(t, "servers")
	shards := rapid.IntRange(1, 60).Draw(t, "shards")
	in := &balance.Input{
		Service:   service,
		Now:       start,
		Weighting: rapid.SampledFrom([]siteconfig.Weighting{siteconfig.WeightImbalance, siteconfig.WeightUnavailability}).Draw(t, "weighting"),
		Budget: balance.Budget{
			Ranges:      rapid.IntRange(0, 20).Draw(t, "moves"),
			Keys:        rapid.IntRange(0, 20).Draw(t, "keys"),
			Evacuations: rapid.IntRange(0, 20).Draw(t, "evacuations"),
			Probes:      rapid.IntRange(0, 50).Draw(t, "probes"),
		},
		Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	for i := range servers {
		in.Servers = append(in.Servers, balance.Server{
			ID:       topo.ServerID(fmt.Sprintf("s%d", i)),
			Phase:    rapid.SampledFrom([]state.Phase{state.PhaseLive, state.PhaseLive, state.PhaseLive, state.PhaseDraining, state.PhaseGone}).Draw(t, "phase"),
			Capacity: rapid.SampledFrom([]float64{0, 1, 4, 4, 4, 6}).Draw(t, "capacity"),
		})
	}
	for range shards {
		at := addShard(in, rapid.IntRange(-1, servers-1).Draw(t, "owner"), rapid.Float64Range(0, 1).Draw(t, "load"))
		in.Shards[at].Moving = rapid.IntRange(0, 9).Draw(t, "moving") == 0
	}
	addDrawnKeys(t, in, shards)
	return in
}

func addDrawnKeys(t *rapid.T, in *balance.Input, shards int) {
	for i := range rapid.IntRange(0, 5).Draw(t, "hot") {
		shard := rapid.IntRange(0, shards-1).Draw(t, "shard")
		load := in.Shards[shard].Load * 0.15
		in.HotKeys = append(in.HotKeys, balance.HotKey{Shard: shard, Key: fmt.Sprintf("hot-%d", i), Load: load})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "split") {
		at := addShard(in, rapid.IntRange(-1, len(in.Servers)-1).Draw(t, "owner"), rapid.Float64Range(0, 1).Draw(t, "load"))
		index := uint32(rapid.IntRange(0, shards-1).Draw(t, "range"))
		in.Shards[at].ID = topo.ShardID{Service: service, Index: index, Key: fmt.Sprintf("split-%d", i)}
	}
}

func drawPolicy(t *rapid.T) balance.Policy {
	return rapid.SampledFrom(policies()).Draw(t, "policy")
}

func TestPropertyMovesAreAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		budget := in.Budget
		used := balance.Budget{}
		touched := map[topo.ShardID]bool{}
		for _, move := range drawPolicy(t).Decide(in) {
			checkMove(t, in, move)
			if touched[move.Shard] {
				t.Fatalf("%v is moved twice", move.Shard)
			}
			touched[move.Shard] = true
			switch {
			case move.Cause == balance.CauseUnowned:
			case move.Cause == balance.CauseDraining:
				used.Evacuations++
			case move.Shard.Key != "":
				used.Keys++
			default:
				used.Ranges++
			}
		}
		if used.Ranges > budget.Ranges || used.Keys > budget.Keys || used.Evacuations > budget.Evacuations {
			t.Fatalf("moves use %+v, more than the budget %+v", used, budget)
		}
		if in.Probed > budget.Probes && budget.Ranges+budget.Keys == 0 {
			t.Fatalf("%d probes without a budget", in.Probed)
		}
	})
}

func checkMove(t *rapid.T, in *balance.Input, move balance.Move) {
	to := serverIndex(in, move.To)
	if to == balance.NoOwner || in.Servers[to].Phase != state.PhaseLive {
		t.Fatalf("%v has a target that is not live", move)
	}
	if move.Kind != balance.MergeKey && move.From == move.To {
		t.Fatalf("%v has the same source and target", move)
	}
	at := shardIndex(in, move.Shard)
	if move.Kind == balance.SplitKey {
		at = shardIndex(in, topo.ShardID{Service: service, Index: move.Shard.Index})
	}
	if in.Shards[at].Moving {
		t.Fatalf("%v is moving already", move)
	}
	if in.Shards[at].Owner != serverIndex(in, move.From) {
		t.Fatalf("%v has a source that is not the shard's owner", move)
	}
}

// TestPropertyMovesStopUnderConstantLoad guards against policies that move
// shards in cycles: under a constant load, moves stop in the first half of the
// rounds.
func TestPropertyMovesStopUnderConstantLoad(t *testing.T) {
	const rounds = 400
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Shards {
			in.Shards[i].Moving = false
		}
		in.Budget = balance.Budget{Ranges: 10, Keys: 10, Evacuations: 100, Probes: 10}
		policy := drawPolicy(t)
		last := 0
		for round := range rounds {
			in.Now = in.Now.Add(time.Minute)
			moves := policy.Decide(in)
			if len(moves) > 0 {
				last = round
			}
			apply(in, moves)
		}
		if last > rounds/2 {
			t.Fatalf("%s still moved in round %d", policy.Name(), last)
		}
	})
}

func TestPropertySameInputGivesSameMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		policy := drawPolicy(t)
		in.Rand = rand.New(rand.NewPCG(7, 7))
		first := policy.Decide(in)
		in.Rand = rand.New(rand.NewPCG(7, 7))
		if second := policy.Decide(in); fmt.Sprint(first) != fmt.Sprint(second) {
			t.Fatalf("same input gave moves %v, then %v", first, second)
		}
	})
}
