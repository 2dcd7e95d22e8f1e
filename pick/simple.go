package pick

import "sync/atomic"

// Random draws one candidate in proportion to its weight and takes no notice of
// loads.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(candidates []Candidate, uniform func() float64) (int, bool) {
	return DChoices{D: 1}.Pick(candidates, uniform)
}

// RoundRobin takes the candidates in turn and passes over those that are taken
// out.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker. When every candidate is taken out, all count alike.
func (p *RoundRobin) Pick(candidates []Candidate, _ func() float64) (int, bool) {
	start := int(p.next.Add(1) % uint64(len(candidates)))
	for i := range candidates {
		at := (start + i) % len(candidates)
		if candidates[at].Weight > 0 {
			return at, true
		}
	}
	return start, true
}
