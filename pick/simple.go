package pick

import "sync/atomic"

// Random draws one candidate with a probability proportional to its weight and
// ignores loads.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(candidates []Candidate, uniform func() float64) (int, bool) {
	return DChoices{D: 1}.Pick(candidates, uniform)
}

// RoundRobin picks the candidates in turn and skips those that are ejected.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker. If every candidate is ejected, it picks the next one in
// turn.
func (p *RoundRobin) Pick(candidates []Candidate, _ func() float64) (int, bool) {
	start := int(p.next.Add(1) % uint64(len(candidates)))
	for i := range candidates {
		index := (start + i) % len(candidates)
		if candidates[index].Weight > 0 {
			return index, true
		}
	}
	return start, true
}
