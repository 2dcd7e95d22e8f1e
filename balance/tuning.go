package balance

import (
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
)

// Tuning holds the thresholds of a policy. High and Low are multiples of the
// service's mean utilization, and play the parts of T and B in "On a Class of
// Push and Pull Strategies with Single Migrations and Limited Probe Rate": load
// leaves servers above T for servers at or below B.
type Tuning struct {
	High float64 // a server above this is overloaded
	Low  float64 // a server at or below this may receive
	// Floor is the utilization below which no server counts as overloaded,
	// however uneven the load is.
	Floor float64
	// Dwell is how long a shard stays after it moved.
	Dwell time.Duration
	// MinGain is the smallest drop of the higher of two utilizations that is
	// worth a move.
	MinGain float64
	// ShardCost is how many times the drop of a single key's move the move of a
	// whole hash range must bring to be preferred, since it makes all of its keys
	// unavailable.
	ShardCost float64
	// RangeFloor is the utilization below which no hash range leaves a server
	// for load's sake.
	RangeFloor float64
	// SplitAbove is the load of a key, as a share of the mean server's load,
	// from which it may be split out; MergeBelow is the one below which it is
	// merged back. The distance between them is the hysteresis.
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
		ShardCost:  1,
		SplitAbove: 0.05,
		MergeBelow: 0.0125,
		MaxSplit:   256,
	}
	if weighting == siteconfig.WeightUnavailability {
		tuning.High = 1.40
		tuning.Floor = 0.30
		tuning.MinGain = 0.02
		tuning.ShardCost = 16
		tuning.RangeFloor = 1.2
		tuning.SplitAbove = 0.02
		tuning.MergeBelow = 0.005
	}
	return tuning
}
