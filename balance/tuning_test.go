package balance_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// pushWith returns a Push policy with a changed copy of the default thresholds
// for imbalance.
func pushWith(change func(*balance.Tuning)) balance.Push {
	tuning := balance.DefaultTuning(siteconfig.WeightImbalance)
	change(&tuning)
	return balance.Push{Tuning: &tuning}
}

func TestCooledKeysMoveOnlyToTheirHashRange(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput([]float64{2, 0.1}, []float64{1.9}, []float64{0.5})
	key := addShard(in, 0, 0.02)
	in.Shards[key].ID = topo.ShardID{Service: service, Index: 0, Key: "q-7"}
	for i := range in.Shards[:key] {
		in.Shards[i].Changed = in.Now // no other shard may move
	}
	in.Budget.Keys = 1
	policy := pushWith(func(t *balance.Tuning) { t.MinGain, t.MergeBelow, t.Dwell = 0, 0.05, time.Second })
	moves := policy.Decide(in)
	g.Expect(moves).To(gomega.HaveLen(1))
	g.Expect(moves[0].Kind).To(gomega.Equal(balance.MergeKey))
	in.Shards[0].Moving = true // the hash range cannot take the key while it moves
	g.Expect(policy.Decide(in)).To(gomega.BeEmpty())
}

func TestSplitKeysAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput([]float64{3}, []float64{0.2}, []float64{0.2})
	in.HotKeys = []balance.HotKey{{Shard: 0, Key: "a", Load: 0.5}, {Shard: 0, Key: "b", Load: 0.5}, {Shard: 0, Key: "c", Load: 0.5}}
	splits := func(most int) int {
		count := 0
		for _, move := range pushWith(func(t *balance.Tuning) { t.MaxSplit = most }).Decide(in) {
			if move.Kind == balance.SplitKey {
				count++
			}
		}
		return count
	}
	g.Expect(splits(10)).To(gomega.Equal(3))
	g.Expect(splits(2)).To(gomega.Equal(2))
	g.Expect(splits(0)).To(gomega.BeZero())
}

func TestMovesBelowMinGainAreNotMade(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput([]float64{2, 0.08}, []float64{1.2}, []float64{1.2})
	g.Expect(pushWith(func(t *balance.Tuning) { t.MinGain = 0.01 }).Decide(in)).NotTo(gomega.BeEmpty())
	g.Expect(pushWith(func(t *balance.Tuning) { t.MinGain = 0.03 }).Decide(in)).To(gomega.BeEmpty())
}
