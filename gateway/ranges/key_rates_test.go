package ranges

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The sums of blocks must not change what single keys say, whatever span is asked for.
func TestSumsOfBlocksAgreeWithTheKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		rates := new(keyRates)
		plain := make([]float64, int(LastKey)+1)
		key := rapid.OneOf(rapid.IntRange(0, 3*blockKeys), rapid.IntRange(0, int(LastKey)))
		for range rapid.IntRange(1, 40).Draw(rt, "changes") {
			k := key.Draw(rt, "key")
			rate := rapid.Float64Range(0.01, 100).Draw(rt, "rate")
			rates.add(Key(k), float32(rate))
			plain[k] += rate
			if rapid.Bool().Draw(rt, "decays") {
				rates.decay(100*time.Millisecond, shortTermHalfLife)
				for i := range plain {
					plain[i] *= math.Exp2(-0.25)
				}
			}
		}
		from := key.Draw(rt, "from")
		span := Span{From: Key(from), To: Key(rapid.IntRange(from, int(LastKey)).Draw(rt, "to"))}
		bound := rapid.SampledFrom([]float64{0, 50}).Draw(rt, "bound")

		sum, busiest := 0.0, bound
		for _, rate := range plain[span.From : span.To+1] {
			sum += rate
			busiest = max(busiest, rate)
		}
		g.Expect(rates.sum(span)).To(gomega.BeNumerically("~", sum, 1e-4*(1+sum)))
		at, rate, found := rates.busiest(span, bound)
		g.Expect(rate).To(gomega.BeNumerically("~", busiest, 1e-4*(1+busiest)))
		if found {
			g.Expect(plain[at]).To(gomega.BeNumerically("~", busiest, 1e-4*(1+busiest)))
			g.Expect(span.Contains(at)).To(gomega.BeTrue())
		}
	})
}

// Rates of keys that are no longer requested end at zero instead of as denormal numbers, on which
// every further decay would be slow.
func TestRatesOfIdleKeysBecomeZero(t *testing.T) {
	g := gomega.NewWithT(t)
	rates := new(keyRates)
	rates.add(7, 100)
	for range 1000 {
		rates.decay(100*time.Millisecond, shortTermHalfLife)
	}
	g.Expect(rates.of(7)).To(gomega.BeZero())
	g.Expect(rates.sum(Span{From: 0, To: LastKey})).To(gomega.BeZero())
}
