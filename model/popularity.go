package model

import (
	"math"
	"math/rand/v2"
	"sort"
)

// Popularity draws keys by a Zipf law whose ranks can be given to other keys
// under way.
type Popularity struct {
	cumulative []float64 // by rank
	keys       []int     // by rank: index of the key
}

// NewPopularity returns a law over count keys with an exponent of at least 0;
// which key has which rank is drawn at random.
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

// Draw returns the index of a key.
func (p *Popularity) Draw(random *rand.Rand) int {
	rank := sort.SearchFloat64s(p.cumulative, random.Float64())
	return p.keys[min(rank, len(p.keys)-1)]
}

// Hottest returns the index of the key of a rank, 0 being the hottest.
func (p *Popularity) Hottest(rank int) int { return p.keys[rank] }

// Move gives each of the first ranks to a random key that was cold.
func (p *Popularity) Move(ranks int, random *rand.Rand) {
	ranks = min(ranks, len(p.keys)/2)
	for rank := range ranks {
		other := ranks + random.IntN(len(p.keys)-ranks)
		p.keys[rank], p.keys[other] = p.keys[other], p.keys[rank]
	}
}

// busyTime draws a time of service of mean 1 and a coefficient of variation,
// from a log-normal law.
func busyTime(variation float64, random *rand.Rand) float64 {
	variance := math.Log(1 + variation*variation)
	return math.Exp(random.NormFloat64()*math.Sqrt(variance) - variance/2)
}
