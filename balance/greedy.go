package balance

import "github.com/burdockspindle/burdockspindle/siteconfig"

// Greedy moves load from the hottest server to the coldest until no move helps
// or the budget is used. It has no thresholds and no dwell time and ignores the
// weighting. It is the baseline for policies that balance by load.
type Greedy struct{}

// greedyMinGain is the smallest drop in utilization that is worth a move. It
// prevents moves without a measurable effect.
const greedyMinGain = 0.005

// Name implements Policy.
func (Greedy) Name() string { return "greedy" }

// Decide implements Policy.
func (Greedy) Decide(in *Input) []Move {
	in.Probed = 0
	tuning := DefaultTuning(siteconfig.WeightImbalance)
	tuning.MinGain = greedyMinGain
	tuning.Dwell = 0
	b := newBalancer(in, tuning)
	b.mandatoryMoves()
	exhausted := make([]bool, len(in.Servers))
	for b.movesLeft() {
		from := b.hottest(exhausted)
		if from == NoOwner {
			break
		}
		to := b.coldest(0, from)
		if to == NoOwner {
			break
		}
		best, found := b.bestCandidate(from, to)
		if !found {
			exhausted[from] = true
			continue
		}
		b.moveCandidate(best, to)
	}
	return b.moves
}

// hottest returns the live server with the highest utilization that is not
// excluded, or NoOwner if there is none.
func (b *balancer) hottest(excluded []bool) int {
	best := NoOwner
	for i := range b.in.Servers {
		if excluded[i] || !b.live(i) {
			continue
		}
		if best == NoOwner || b.utilization(i) > b.utilization(best) {
			best = i
		}
	}
	return best
}
