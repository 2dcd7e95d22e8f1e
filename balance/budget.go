package balance

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
)

// spend subtracts a move from the budget and reports whether the budget allowed
// it.
func (b *Budget) spend(move Move) bool {
	switch {
	case move.Cause == CauseUnowned:
		return true
	case move.Cause == CauseDraining:
		return decrement(&b.Evacuations)
	case move.Shard.Key != "":
		return decrement(&b.Keys)
	}
	return decrement(&b.Ranges)
}

func decrement(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// Rates and bursts of moves because of load. The limits for ranges are lower
// because the move of a hash range makes all of its keys unavailable, the move
// of a single key only that key.
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

// Allowance limits the rate of a service's moves because of load. It is not safe
// for concurrent use.
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

// Budget returns the moves that are allowed now. The caller sets the fields that
// are not rate-limited.
func (a *Allowance) Budget(now time.Time) Budget {
	return Budget{Ranges: a.ranges.Allowed(now), Keys: a.keys.Allowed(now)}
}

// Spend subtracts a move that was made from the allowance. Moves of shards that
// have no owner or whose owner is draining are not limited, because they are not
// optional.
func (a *Allowance) Spend(move Move) {
	switch {
	case move.Cause == CauseUnowned || move.Cause == CauseDraining:
	case move.Shard.Key != "":
		a.keys.Spend(1)
	default:
		a.ranges.Spend(1)
	}
}
