package ranges

import (
	"flag"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const worldLength = 90 * time.Second // simulated

// worldSeeds is how many worlds are played; -worlds raises it for a longer run.
var worldSeeds = flag.Uint64("worlds", 40, "worlds to play in each test")

func TestNoKeyHasTwoOwners(t *testing.T) {
	moves, claims := uint64(0), uint64(0)
	held := 0.0
	for seed := range *worldSeeds {
		w := newWorld(seed, rules{})
		if fault := w.run(worldLength); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
		moves += uint64(w.moves)
		claims += uint64(w.claims)
		held += w.held() / float64(*worldSeeds)
	}
	g := gomega.NewWithT(t)
	g.Expect(moves).To(gomega.BeNumerically(">", *worldSeeds), "moves played")
	g.Expect(claims).To(gomega.BeNumerically(">", 2**worldSeeds), "claims played")
	g.Expect(held).To(gomega.BeNumerically(">", 0.5), "share of keys held at the end")
}

// Each rule that is dropped alone must show as two owners, or the world is too
// kind to tell anything.
func TestEveryRuleIsNeeded(t *testing.T) {
	for name, dropped := range map[string]rules{
		"the former lessor's right is not waited for":          {noFormer: true},
		"a silent owner's holds are not waited out":            {noWait: true},
		"a range is released although a grant had no answer":   {noSeal: true},
		"a lessor grants although its lease was not confirmed": {noRight: true},
		"a claim rests on an older table":                      {noFresh: true},
		"a resignation hides longer holds":                     {noHeld: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 8 * *worldSeeds {
				if newWorld(seed, dropped).run(worldLength) != "" {
					return
				}
			}
			t.Error("no two owners found")
		})
	}
}
