package ranges

import (
	"math"
	"time"
)

const (
	// blockKeys is the number of keys whose rates are summed in a block.
	blockKeys = 256
	// negligibleRate is the rate, in requests a second, below which a decayed rate becomes zero:
	// far below it floating-point numbers are denormal, and slow.
	negligibleRate = 1e-9
)

// keyRates holds the decayed requests a second of each key, and their sum for each block of
// keys. Most keys of a service are requested rarely, so most blocks are skipped.
type keyRates struct {
	keys   [int(LastKey) + 1]float32
	blocks [(int(LastKey) + 1) / blockKeys]float32
}

func (r *keyRates) of(key Key) float64 { return float64(r.keys[key]) }

func (r *keyRates) add(key Key, rate float32) {
	r.keys[key] += rate
	r.blocks[key/blockKeys] += rate
}

// block returns the keys of a block.
func (r *keyRates) block(i int) []float32 { return r.keys[i*blockKeys : (i+1)*blockKeys] }

func (r *keyRates) sum(span Span) float64 {
	var sum float64
	for key := span.From; key <= span.To; {
		next := (key/blockKeys + 1) * blockKeys
		if key%blockKeys == 0 && next <= span.To+1 {
			sum += float64(r.blocks[key/blockKeys])
		} else {
			next = min(next, span.To+1)
			sum += sumOf(r.keys[key:next])
		}
		key = next
	}
	return sum
}

func sumOf(rates []float32) float64 {
	var sum float32
	for _, rate := range rates {
		sum += rate
	}
	return float64(sum)
}

func (r *keyRates) decay(passed, halfLife time.Duration) {
	factor := float32(math.Exp2(-passed.Seconds() / halfLife.Seconds()))
	for i, blockSum := range r.blocks {
		if blockSum > 0 {
			r.blocks[i] = decayAll(r.block(i), factor)
		}
	}
}

// decayAll decays rates and returns their sum.
func decayAll(rates []float32, factor float32) float32 {
	var sum float32
	for i, rate := range rates {
		rate *= factor
		if rate < negligibleRate {
			rate = 0
		}
		rates[i] = rate
		sum += rate
	}
	return sum
}

// busiest returns the first of the busiest keys of a span whose rate exceeds a bound.
func (r *keyRates) busiest(span Span, bound float64) (busiest Key, rate float64, found bool) {
	rate = bound
	for key := span.From; key <= span.To; {
		end := min((key/blockKeys+1)*blockKeys, span.To+1)
		// No rate exceeds the sum of its block, rounding included: sums of positive numbers are
		// rounded monotonically.
		if float64(r.blocks[key/blockKeys]) <= rate {
			key = end
			continue
		}
		for ; key < end; key++ {
			if of := r.of(key); of > rate {
				busiest, rate, found = key, of, true
			}
		}
	}
	return busiest, rate, found
}
