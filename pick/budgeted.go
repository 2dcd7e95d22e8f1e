package pick

import "sync"

// ProbeBudget is a budget of looks at a candidate's load: so many for each request
// on average, and at most so many saved up. It is what makes pickers comparable
// that look at different numbers of candidates, as in "On a Class of Push and
// Pull Strategies with Single Migrations and Limited Probe Rate".
type ProbeBudget struct {
	PerRequest float64
	Burst      float64

	mu    sync.Mutex
	saved float64
	spent int
}

// earn adds one request's share.
func (p *ProbeBudget) earn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = min(p.saved+p.PerRequest, p.Burst)
}

// take spends count probes if all are there.
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

// has reports whether count probes are there.
func (p *ProbeBudget) has(count int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.saved >= float64(count)
}

// Probes returns how many probes were spent. Loads of candidates must be exact
// for pickers that have this method.
func (p *ProbeBudget) Probes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spent
}

// BudgetedChoices is DChoices as far as the budget of probes goes, and Random
// for the rest.
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

// BudgetedPush draws one candidate and, if the budget has a second probe for
// what may follow, asks for its load. Only if that is above High does it ask others, one after another, and takes the first that is at or
// below Low; it stays with the first if there is none or the budget ends. This
// is the push strategy with thresholds T and B of "On a Class of Push and Pull
// Strategies with Single Migrations and Limited Probe Rate", made before the
// request is queued rather than after.
type BudgetedPush struct {
	*ProbeBudget
	High float64
	Low  float64
	Most int // candidates asked after the first
}

// Pick implements Picker.
func (p BudgetedPush) Pick(candidates []Candidate, uniform func() float64) (int, bool) {
	p.earn()
	first, found := Random{}.Pick(candidates, uniform)
	const useful = 2
	if !found || !p.has(useful) || !p.take(1) || candidates[first].Load <= p.High {
		return first, found
	}
	for range p.Most {
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
