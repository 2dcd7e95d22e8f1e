package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const service = topo.Service("quotes")

func policies() []balance.Policy {
	return []balance.Policy{
		balance.Static{}, balance.Greedy{}, balance.Push{}, balance.Pull{},
		balance.RatePush{}, balance.RatePull{},
	}
}

func loadPolicies() []balance.Policy { return policies()[1:] }

// newInput builds an input with one live server of capacity 4 for each list of
// shard loads.
func newInput(loads ...[]float64) *balance.Input {
	in := &balance.Input{
		Service:   service,
		Now:       start,
		Weighting: siteconfig.WeightImbalance,
		MoveCost:  100 * time.Millisecond,
		Budget:    balance.Budget{Ranges: 100, Keys: 100, Evacuations: 100, Probes: 1000},
		Rand:      rand.New(rand.NewPCG(1, 2)),
	}
	for server, shards := range loads {
		in.Servers = append(in.Servers, balance.Server{
			ID: topo.ServerID(fmt.Sprintf("s%d", server)), Phase: state.PhaseLive, Capacity: 4,
		})
		for _, load := range shards {
			addShard(in, server, load)
		}
	}
	return in
}

func addShard(in *balance.Input, owner int, load float64) int {
	index := len(in.Shards)
	id := topo.ShardID{Service: service, Index: uint32(index)}
	in.Shards = append(in.Shards, balance.Shard{ID: id, Owner: owner, Load: load, Rate: load * 50})
	return index
}

// apply carries out the moves as the planner does.
func apply(in *balance.Input, moves []balance.Move) {
	for _, move := range moves {
		to := serverIndex(in, move.To)
		at := shardIndex(in, move.Shard)
		switch move.Kind {
		case balance.MoveShard:
			in.Shards[at].Owner = to
			in.Shards[at].Changed = in.Now
		case balance.SplitKey:
			splitKey(in, move, to)
		case balance.MergeKey:
			mergeKey(in, at)
		}
	}
}

func splitKey(in *balance.Input, move balance.Move, to int) {
	for i, hot := range in.HotKeys {
		if hot.Key != move.Shard.Key {
			continue
		}
		in.Shards[hot.Shard].Load -= hot.Load
		in.Shards = append(in.Shards, balance.Shard{ID: move.Shard, Owner: to, Load: hot.Load, Changed: in.Now})
		in.HotKeys = append(in.HotKeys[:i:i], in.HotKeys[i+1:]...)
		return
	}
}

func mergeKey(in *balance.Input, at int) {
	key := in.Shards[at]
	in.Shards = append(in.Shards[:at:at], in.Shards[at+1:]...)
	parent := shardIndex(in, topo.ShardID{Service: service, Index: key.ID.Index})
	if in.Shards[parent].Owner != key.Owner {
		panic("key was merged at a server that does not own its hash range")
	}
	in.Shards[parent].Load += key.Load
	in.Shards[parent].Changed = in.Now
	in.HotKeys = append(in.HotKeys, balance.HotKey{Shard: parent, Key: key.ID.Key, Load: key.Load})
}

func serverIndex(in *balance.Input, id topo.ServerID) int {
	for i := range in.Servers {
		if in.Servers[i].ID == id {
			return i
		}
	}
	return balance.NoOwner
}

func shardIndex(in *balance.Input, id topo.ShardID) int {
	for i := range in.Shards {
		if in.Shards[i].ID == id {
			return i
		}
	}
	return balance.NoOwner
}

func peak(in *balance.Input) float64 {
	loads := make([]float64, len(in.Servers))
	for _, shard := range in.Shards {
		if shard.Owner != balance.NoOwner {
			loads[shard.Owner] += shard.Load
		}
	}
	highest := 0.0
	for _, load := range loads {
		highest = max(highest, load)
	}
	return highest
}

func TestPoliciesRelieveAnOverloadedServer(t *testing.T) {
	for _, policy := range loadPolicies() {
		t.Run(policy.Name(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			in := newInput([]float64{1, 1, 1, 0.5}, []float64{0.5}, []float64{0.5}, []float64{0.5})
			moves := policy.Decide(in)
			g.Expect(moves).NotTo(gomega.BeEmpty())
			g.Expect(moves[0].From).To(gomega.Equal(topo.ServerID("s0")))
			g.Expect(moves[0].Cause).To(gomega.Equal(balance.CauseLoad))
			apply(in, moves)
			g.Expect(peak(in)).To(gomega.BeNumerically("<=", 1.5))
		})
	}
}

func TestPoliciesMakeNoMovesWhenLoadIsEven(t *testing.T) {
	for _, policy := range loadPolicies() {
		t.Run(policy.Name(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			in := newInput([]float64{1, 0.5}, []float64{0.5, 1}, []float64{1.5})
			g.Expect(policy.Decide(in)).To(gomega.BeEmpty())
		})
	}
}

func TestPoliciesSplitAHotKeyOutOfItsShard(t *testing.T) {
	for _, policy := range loadPolicies() {
		t.Run(policy.Name(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			in := newInput([]float64{3}, []float64{0.2}, []float64{0.2})
			in.HotKeys = []balance.HotKey{{Shard: 0, Key: "q-7", Rate: 60, Load: 1.2}}
			moves := policy.Decide(in)
			g.Expect(moves).NotTo(gomega.BeEmpty())
			g.Expect(moves[0].Kind).To(gomega.Equal(balance.SplitKey))
			g.Expect(moves[0].Shard.Key).To(gomega.Equal("q-7"))
			g.Expect(moves[0].From).To(gomega.Equal(topo.ServerID("s0")))
		})
	}
}

func TestPoliciesMergeAKeyThatCooled(t *testing.T) {
	for _, policy := range loadPolicies() {
		t.Run(policy.Name(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			in := newInput([]float64{1}, []float64{1})
			cold := addShard(in, 1, 0.001)
			in.Shards[cold].ID = topo.ShardID{Service: service, Index: 0, Key: "q-7"}
			warm := addShard(in, 1, 0.05)
			in.Shards[warm].ID = topo.ShardID{Service: service, Index: 0, Key: "q-8"}
			moveHome := []balance.Move{{
				Kind: balance.MoveShard, Shard: in.Shards[cold].ID, From: "s1", To: "s0", Cause: balance.CauseCooled,
			}}
			g.Expect(policy.Decide(in)).To(gomega.Equal(moveHome))
			apply(in, moveHome)
			in.Now = in.Now.Add(time.Minute)
			g.Expect(policy.Decide(in)).To(gomega.Equal([]balance.Move{{
				Kind: balance.MergeKey, Shard: in.Shards[cold].ID, From: "s0", To: "s0", Cause: balance.CauseCooled,
			}}))
		})
	}
}

func TestPoliciesPlaceUnownedAndEvacuateDraining(t *testing.T) {
	for _, policy := range policies() {
		t.Run(policy.Name(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			in := newInput([]float64{0.1, 0.1, 0.1}, []float64{0.1}, []float64{0.1}, []float64{0.1, 0.1})
			in.Servers[0].Phase = state.PhaseDraining
			in.Servers[3].Phase = state.PhaseGone
			addShard(in, balance.NoOwner, 0.1)
			in.Budget = balance.Budget{Evacuations: 2}
			causes := map[balance.Cause]int{}
			for _, move := range policy.Decide(in) {
				causes[move.Cause]++
				g.Expect(move.To).To(gomega.BeElementOf(topo.ServerID("s1"), topo.ServerID("s2")))
			}
			g.Expect(causes).To(gomega.Equal(map[balance.Cause]int{
				balance.CauseUnowned: 3, balance.CauseDraining: 2,
			}))
		})
	}
}

func TestShardsWithoutObservedLoadAreSpreadByCount(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput(nil, nil, nil, nil)
	for range 40 {
		addShard(in, balance.NoOwner, 0)
	}
	counts := map[topo.ServerID]int{}
	for _, move := range (balance.Push{}).Decide(in) {
		counts[move.To]++
	}
	g.Expect(counts).To(gomega.HaveLen(4))
	for _, count := range counts {
		g.Expect(count).To(gomega.Equal(10))
	}
}

func TestShardDoesNotMoveAgainWithinTheDwellTime(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput([]float64{1, 1, 1}, []float64{0.2}, []float64{0.2})
	for i := range in.Shards {
		in.Shards[i].Changed = in.Now.Add(-time.Second)
	}
	g.Expect((balance.Push{}).Decide(in)).To(gomega.BeEmpty())
	in.Now = in.Now.Add(balance.DefaultTuning(in.Weighting).Dwell)
	g.Expect((balance.Push{}).Decide(in)).NotTo(gomega.BeEmpty())
}

func TestMovingShardsGetNoFurtherMoves(t *testing.T) {
	for _, policy := range policies() {
		t.Run(policy.Name(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			in := newInput([]float64{1, 1, 1}, []float64{0.2})
			in.Servers[0].Phase = state.PhaseDraining
			addShard(in, balance.NoOwner, 1)
			in.HotKeys = []balance.HotKey{{Shard: 0, Key: "k", Load: 0.9}}
			for i := range in.Shards {
				in.Shards[i].Moving = true
			}
			g.Expect(policy.Decide(in)).To(gomega.BeEmpty())
		})
	}
}

func TestUnavailabilityWeightingMakesFewerMoves(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput([]float64{0.6, 0.6, 0.6, 0.2}, []float64{0.8, 0.8}, []float64{0.7, 0.7})
	g.Expect((balance.Push{}).Decide(in)).NotTo(gomega.BeEmpty())
	in.Weighting = siteconfig.WeightUnavailability
	g.Expect((balance.Push{}).Decide(in)).To(gomega.BeEmpty())
}

func TestHashRangesLeaveOnlyAboveTheRangeFloor(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput([]float64{0.9, 0.9, 0.9}, []float64{0.2}, []float64{0.2})
	in.Weighting = siteconfig.WeightUnavailability
	g.Expect((balance.Push{}).Decide(in)).To(gomega.BeEmpty())
	in.HotKeys = []balance.HotKey{{Shard: 0, Key: "q-7", Load: 0.6}}
	for _, move := range (balance.Push{}).Decide(in) {
		g.Expect(move.Kind).To(gomega.Equal(balance.SplitKey))
	}
	in.HotKeys = nil
	addShard(in, 0, 2.4)
	g.Expect((balance.Push{}).Decide(in)).NotTo(gomega.BeEmpty())
}

func TestStaticMovesOnlyShardsOfChangedServers(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput(nil, nil, nil, nil, nil)
	for range 200 {
		addShard(in, balance.NoOwner, 0)
	}
	apply(in, balance.Static{}.Decide(in))
	g.Expect(balance.Static{}.Decide(in)).To(gomega.BeEmpty())
	in.Budget.Evacuations = 1000
	in.Servers[2].Phase = state.PhaseDraining
	for _, move := range (balance.Static{}).Decide(in) {
		g.Expect(move.From).To(gomega.Equal(topo.ServerID("s2")))
	}
}

func TestMeterLimitsMovesOverTime(t *testing.T) {
	g := gomega.NewWithT(t)
	meter := balance.NewMeter(60, 5, start)
	g.Expect(meter.Allowed(start)).To(gomega.Equal(5))
	meter.Spend(5)
	g.Expect(meter.Allowed(start)).To(gomega.Equal(0))
	g.Expect(meter.Allowed(start.Add(2 * time.Second))).To(gomega.Equal(2))
	g.Expect(meter.Allowed(start.Add(time.Hour))).To(gomega.Equal(5))
}

func TestAllowanceLimitsRangesAndKeysSeparately(t *testing.T) {
	g := gomega.NewWithT(t)
	key := balance.Move{Cause: balance.CauseLoad, Shard: topo.ShardID{Service: service, Key: "k"}}
	whole := balance.Move{Cause: balance.CauseLoad, Shard: topo.ShardID{Service: service}}
	for _, weighting := range []siteconfig.Weighting{siteconfig.WeightImbalance, siteconfig.WeightUnavailability} {
		allowance := balance.NewAllowance(weighting, start)
		full := allowance.Budget(start)
		allowance.Spend(key)
		allowance.Spend(balance.Move{Cause: balance.CauseDraining})
		g.Expect(allowance.Budget(start)).To(gomega.Equal(balance.Budget{Ranges: full.Ranges, Keys: full.Keys - 1}))
		allowance.Spend(whole)
		g.Expect(allowance.Budget(start)).To(gomega.Equal(balance.Budget{Ranges: full.Ranges - 1, Keys: full.Keys - 1}))
		g.Expect(allowance.Budget(start.Add(time.Hour))).To(gomega.Equal(full))
	}
}
