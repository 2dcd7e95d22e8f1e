package balance

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
)

// spend takes a move out of what is left, and reports whether it was there.
func (b *Budget) spend(move Move) bool {
	switch {
	case move.Cause == CauseUnowned:
		return true
	case move.Cause == CauseDraining:
		return decrement(&b.Evacuations)
	case move.Shard.Key != "":
		return decrement(&b.Keys)
	}
	return decrement(&b.Moves)
}

func decrement(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// Rates of moves for load. A hash range makes all of its keys unavailable while
// it moves, a single key only itself.
const (
	rangesPerMinuteUnavailability = 15
	rangesBurstUnavailability     = 5
	keysPerMinuteUnavailability   = 240
	keysBurstUnavailability       = 20

	rangesPerMinuteImbalance = 240
	rangesBurstImbalance     = 20
	keysPerMinuteImbalance   = 480
	keysBurstImbalance       = 40
)

// Allowance rations a service's moves for load over time. It is not safe for
// concurrent use.
type Allowance struct {
	ranges *Meter
	keys   *Meter
}

// NewAllowance returns the full allowance of a weighting.
func NewAllowance(weighting siteconfig.Weighting, now time.Time) *Allowance {
	if weighting == siteconfig.WeightUnavailability {
		return &Allowance{
			ranges: NewMeter(rangesPerMinuteUnavailability, rangesBurstUnavailability, now),
			keys:   NewMeter(keysPerMinuteUnavailability, keysBurstUnavailability, now),
		}
	}
	return &Allowance{
		ranges: NewMeter(rangesPerMinuteImbalance, rangesBurstImbalance, now),
		keys:   NewMeter(keysPerMinuteImbalance, keysBurstImbalance, now),
	}
}

// Budget returns what may be spent now. The caller adds what is not rationed
// over time.
func (a *Allowance) Budget(now time.Time) Budget {
	return Budget{Moves: a.ranges.Allowed(now), Keys: a.keys.Allowed(now)}
}

// Spend takes a move that was made out of the allowance. Moves that nobody
// chose, of shards without an owner or whose owner leaves, are free.
func (a *Allowance) Spend(move Move) {
	switch {
	case move.Cause == CauseUnowned || move.Cause == CauseDraining:
	case move.Shard.Key != "":
		a.keys.Spend(1)
	default:
		a.ranges.Spend(1)
	}
}
