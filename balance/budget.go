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

// Rates and bursts of load-driven moves. The limits for hash ranges are lower
// because moving a range makes all of its keys unavailable, and moving a single
// key makes only that key unavailable.
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

// NewAllowance returns an Allowance with the rates for the weighting and full
// buckets.
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

// Budget returns the moves that are allowed now. The caller sets Evacuations and
// Probes, which are not rate-limited.
func (a *Allowance) Budget(now time.Time) Budget {
	return Budget{Ranges: a.ranges.Allowed(now), Keys: a.keys.Allowed(now)}
}

// Spend removes one token for a move that was made. Moves of shards that have no
// owner or whose owner is draining are not limited, because they are not
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
