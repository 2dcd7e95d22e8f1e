package model

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Popularity draws keys from a Zipf distribution whose ranks can be reassigned to other
// keys during a run.
type Popularity struct {
	cumulative []float64 // by rank
	keys       []int     // by rank: index of the key
}

// NewPopularity returns a distribution over count keys with an exponent of at least 0;
// the ranks are assigned to keys at random.
func NewPopularity(count int, exponent float64, random *rand.Rand) *Popularity {
	p := &Popularity{cumulative: make([]float64, count), keys: random.Perm(count)}
	sum := 0.0
	for rank := range count {
		sum += math.Pow(float64(rank+1), -exponent)
		p.cumulative[rank] = sum
	}
	for rank := range count {
		p.cumulative[rank] /= sum
	}
	return p
}

// Draw returns the index of a random key.
func (p *Popularity) Draw(random *rand.Rand) int {
	rank := sort.SearchFloat64s(p.cumulative, random.Float64())
	return p.keys[min(rank, len(p.keys)-1)]
}

// Hottest returns the index of the key at a rank; rank 0 is the hottest.
func (p *Popularity) Hottest(rank int) int { return p.keys[rank] }

// Move swaps each of the first ranks with a random key outside these ranks.
func (p *Popularity) Move(ranks int, random *rand.Rand) {
	ranks = min(ranks, len(p.keys)/2)
	for rank := range ranks {
		other := ranks + random.IntN(len(p.keys)-ranks)
		p.keys[rank], p.keys[other] = p.keys[other], p.keys[rank]
	}
}

// busyTime draws a service time with mean 1 and the given coefficient of variation
// from a log-normal distribution.
func busyTime(variation float64, random *rand.Rand) float64 {
	variance := math.Log(1 + variation*variation)
	return math.Exp(random.NormFloat64()*math.Sqrt(variance) - variance/2)
}
