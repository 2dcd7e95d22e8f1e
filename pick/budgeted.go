package pick

import "sync"

// ProbeBudget is a token bucket that limits how often a picker reads a candidate's
// load, which is a probe. With the same budget, pickers that probe different
// numbers of candidates are comparable, as in "On a Class of Push and Pull
// Strategies with Single Migrations and Limited Probe Rate". It is safe for
// concurrent use.
type ProbeBudget struct {
	PerRequest float64 // probes added for each request
	Burst      float64 // most probes that can be saved

	mu    sync.Mutex
	saved float64
	spent int
}

// earn adds the probes of one request, up to Burst.
func (p *ProbeBudget) earn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = min(p.saved+p.PerRequest, p.Burst)
}

// take spends count probes if all of them are available, and reports whether it
// did.
func (p *ProbeBudget) take(count int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved < float64(count) {
		return false
	}
	p.saved -= float64(count)
	p.spent += count
	return true
}

// has reports whether count probes are available.
func (p *ProbeBudget) has(count int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.saved >= float64(count)
}

// Probes returns the number of probes spent. The caller of a picker that has this
// method must supply exact loads of the candidates.
func (p *ProbeBudget) Probes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spent
}

// BudgetedChoices picks like DChoices while the probe budget allows it, and like
// Random otherwise.
type BudgetedChoices struct {
	*ProbeBudget
	D int
}

// Pick implements Picker.
func (p BudgetedChoices) Pick(candidates []Candidate, uniform func() float64) (int, bool) {
	p.earn()
	if !p.take(p.D) {
		return Random{}.Pick(candidates, uniform)
	}
	return DChoices{D: p.D}.Pick(candidates, uniform)
}

// BudgetedPush draws one candidate and probes its load if the budget has at least
// two probes, so that one is left for an alternative. If the load is above High,
// it probes other candidates one by one and picks the first whose load is at most
// Low. It picks the first candidate if no alternative qualifies or the budget is
// spent. This is the push strategy with thresholds T and B of "On a Class of Push
// and Pull Strategies with Single Migrations and Limited Probe Rate", applied
// before the request is queued rather than after.
type BudgetedPush struct {
	*ProbeBudget
	High            float64 // a candidate with a load above this is overloaded
	Low             float64 // an alternative must have a load of at most this
	MaxAlternatives int     // alternatives probed at most
}

// Pick implements Picker.
func (p BudgetedPush) Pick(candidates []Candidate, uniform func() float64) (int, bool) {
	p.earn()
	first, found := Random{}.Pick(candidates, uniform)
	const minProbes = 2
	if !found || !p.has(minProbes) || !p.take(1) || candidates[first].Load <= p.High {
		return first, found
	}
	for range p.MaxAlternatives {
		if !p.take(1) {
			return first, true
		}
		other, _ := Random{}.Pick(candidates, uniform)
		if candidates[other].Load <= p.Low {
			return other, true
		}
	}
	return first, true
}
