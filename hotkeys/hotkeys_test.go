package hotkeys_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/hotkeys"
	"github.com/burdockspindle/burdockspindle/topo"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const halfLife = 5 * time.Second

func id(key string) topo.ShardID { return topo.ShardID{Service: "quotes", Key: key} }

func TestRateAndLoadOfASteadyKey(t *testing.T) {
	g := gomega.NewWithT(t)
	sketch := hotkeys.New(8, halfLife)
	now := start
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		sketch.Observe(now, id("k"), 20*time.Millisecond)
	}
	top := sketch.Top(now, 1)
	g.Expect(top).To(gomega.HaveLen(1))
	g.Expect(top[0].PerSecond).To(gomega.BeNumerically("~", 100, 2))
	g.Expect(top[0].Load).To(gomega.BeNumerically("~", 2, 0.05))
	g.Expect(top[0].ErrorPerSecond).To(gomega.BeZero())
	later := sketch.Top(now.Add(halfLife), 1)
	g.Expect(later[0].PerSecond).To(gomega.BeNumerically("~", 50, 1))
}

func TestRateOfANewSketchIsNotTooLow(t *testing.T) {
	g := gomega.NewWithT(t)
	sketch := hotkeys.New(8, halfLife)
	for i := range 101 {
		sketch.Observe(start.Add(time.Duration(i)*10*time.Millisecond), id("k"), 0)
	}
	g.Expect(sketch.Top(start.Add(time.Second), 1)[0].PerSecond).To(gomega.BeNumerically("~", 100, 3))
}

func TestNewHotKeysReplaceEarlierOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	sketch := hotkeys.New(4, halfLife)
	now := start
	for i := range 8000 {
		now = now.Add(10 * time.Millisecond)
		sketch.Observe(now, id(fmt.Sprint("old", i%2)), 0)
	}
	for i := range 8000 {
		now = now.Add(10 * time.Millisecond)
		sketch.Observe(now, id(fmt.Sprint("new", i%2)), 0)
	}
	top := sketch.Top(now, 2)
	g.Expect([]string{top[0].ID.Key, top[1].ID.Key}).To(gomega.ConsistOf("new0", "new1"))
	g.Expect(sketch.Top(now, 4)[2].PerSecond).To(gomega.BeNumerically("<", 0.1))
}

func TestLongKeysAreNotKept(t *testing.T) {
	g := gomega.NewWithT(t)
	sketch := hotkeys.New(4, halfLife)
	sketch.Observe(start, id(strings.Repeat("x", hotkeys.MaxKeyBytes+1)), 0)
	g.Expect(sketch.Len()).To(gomega.BeZero())
	g.Expect(sketch.Total(start.Add(time.Second))).To(gomega.BeNumerically(">", 0))
}

// exact holds the exact decayed counts by key, without a bound on memory.
type exact map[string]float64

func (e exact) observe(now, end time.Time, key string) {
	e[key] += math.Exp2(-end.Sub(now).Seconds() / halfLife.Seconds())
}

func (e exact) total() float64 {
	sum := 0.0
	for _, count := range e {
		sum += count
	}
	return sum
}

// checkBound checks the error bound that the package documentation states.
func checkBound(t *rapid.T, sketch *hotkeys.Sketch, truth exact, end time.Time, capacity int) {
	scale := sketch.Total(end) / truth.total()
	limit := truth.total() / float64(capacity)
	entries := map[string]hotkeys.Entry{}
	for _, entry := range sketch.Top(end, capacity) {
		entries[entry.ID.Key] = entry
	}
	const slack = 1e-6
	for key, count := range truth {
		entry, found := entries[key]
		if !found {
			if count > limit+slack {
				t.Fatalf("%s with %g of at most %g is missing", key, count, limit)
			}
			continue
		}
		estimate, maxError := entry.PerSecond/scale, entry.ErrorPerSecond/scale
		if estimate < count-slack || estimate > count+limit+slack || estimate-maxError > count+slack {
			t.Fatalf("%s: %g ± %g for %g, bound %g", key, estimate, maxError, count, limit)
		}
	}
}

func TestPropertyErrorBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		seed := rapid.Uint64().Draw(t, "seed")
		split := rapid.Bool().Draw(t, "two sketches")
		sketches := []*hotkeys.Sketch{hotkeys.New(capacity, halfLife), hotkeys.New(capacity, halfLife)}
		truth := exact{}
		random := rand.New(rand.NewPCG(seed, 1))
		const count = 600
		end := start.Add(count * time.Second)
		for i := range count {
			now := start.Add(time.Duration(i) * time.Second)
			key := fmt.Sprint(int(random.ExpFloat64() * 10))
			into := 0
			if split {
				into = random.IntN(2)
			}
			sketches[into].Observe(now, id(key), 0)
			truth.observe(now, end, key)
		}
		sketches[0].Merge(end, sketches[1])
		if sketches[0].Len() > capacity {
			t.Fatalf("%d counters of %d", sketches[0].Len(), capacity)
		}
		checkBound(t, sketches[0], truth, end, capacity)
	})
}

func BenchmarkObserve(b *testing.B) {
	sketch := hotkeys.New(256, halfLife)
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 1, 100_000)
	keys := make([]topo.ShardID, 1<<16)
	for i := range keys {
		keys[i] = id(fmt.Sprint("key-", zipf.Uint64()))
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(200 * time.Microsecond)
		sketch.Observe(now, keys[i&(len(keys)-1)], time.Millisecond)
	}
}
