package balance

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
)

// Tuning contains the thresholds of a policy. High and Low are multiples of the
// service's mean utilization. They correspond to T and B in "On a Class of Push
// and Pull Strategies with Single Migrations and Limited Probe Rate": load moves
// from servers above T to servers at or below B.
type Tuning struct {
	High float64 // a server above this is overloaded
	Low  float64 // a server at or below this may receive
	// Floor is the utilization up to which no server is treated as overloaded,
	// however uneven the load is.
	Floor float64
	// Dwell is the minimum time between a change of a shard's owner and a move of
	// the shard because of load.
	Dwell time.Duration
	// A move must reduce the higher utilization of the two servers by more than
	// MinGain.
	MinGain float64
	// RangeCost is the cost of moving a hash range in relation to moving a single
	// key. A range is preferred to a key only if moving the range reduces
	// utilization by more than RangeCost times as much as moving the key, because
	// moving a range makes all of its keys unavailable.
	RangeCost float64
	// RangeFloor is the utilization, as load divided by capacity, below which no
	// hash range leaves a server because of load.
	RangeFloor float64
	// SplitAbove is the load at or above which a key may be split out, and
	// MergeBelow the load below which it is merged back, both as fractions of the
	// mean load of a server. The difference between them is the hysteresis.
	SplitAbove float64
	MergeBelow float64
	// MaxSplit bounds the number of split keys of the service.
	MaxSplit int
}

// DefaultTuning returns the thresholds for a weighting. See docs/BALANCE.md for
// the measurements behind them.
func DefaultTuning(weighting siteconfig.Weighting) Tuning {
	tuning := Tuning{
		High:       1.10,
		Low:        1.00,
		Floor:      0.20,
		Dwell:      5 * time.Second,
		MinGain:    0.01,
		RangeCost:  1,
		SplitAbove: 0.05,
		MergeBelow: 0.0125,
		MaxSplit:   256,
	}
	if weighting == siteconfig.WeightUnavailability {
		tuning.High = 1.40
		tuning.Floor = 0.30
		tuning.MinGain = 0.02
		tuning.RangeCost = 16
		tuning.RangeFloor = 1.2
		tuning.SplitAbove = 0.02
		tuning.MergeBelow = 0.005
	}
	return tuning
}
