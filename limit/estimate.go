package limit

import "time"

// Weights of a new observation, as for round-trip times in TCP: the mean changes
// by 1/8 of the difference, the deviation by 1/4.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	// minSamples is the number of observations that an estimate needs before
	// requests are refused because of it.
	minSamples = 4
	// stalledDeviations is the number of deviations beyond the mean after which a
	// request's slot is treated as stalled.
	stalledDeviations = 4
)

// Estimate is a running estimate of the busy time: how long a request holds its
// slot.
type Estimate struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

// Add adds one observation.
func (e *Estimate) Add(busy time.Duration) {
	e.samples++
	if e.samples == 1 {
		e.mean = busy
		e.deviation = busy / 2
		return
	}
	difference := busy - e.mean
	e.mean += difference / meanDivisor
	if difference < 0 {
		difference = -difference
	}
	e.deviation += (difference - e.deviation) / deviationDivisor
}

// Known reports whether there are enough observations for the estimate to be
// used.
func (e *Estimate) Known() bool { return e.samples >= minSamples }

// Mean returns the expected busy time, or 0 while it is not known.
func (e *Estimate) Mean() time.Duration {
	if !e.Known() {
		return 0
	}
	return e.mean
}

// MinBusy returns a busy time below which few requests stay, or 0 while it is not
// known.
func (e *Estimate) MinBusy() time.Duration {
	if !e.Known() {
		return 0
	}
	return max(e.mean-e.deviation, 0)
}

// Residual returns the expected remaining busy time of a request that has held
// its slot for the elapsed time. A request that has taken much longer than usual
// is expected to take the elapsed time once more.
func (e *Estimate) Residual(elapsed time.Duration) time.Duration {
	switch {
	case !e.Known():
		return 0
	case elapsed <= e.mean/2:
		return e.mean - elapsed
	case elapsed <= e.mean+stalledDeviations*e.deviation+minStallMargin:
		return e.mean / 2
	}
	return elapsed
}

// minStallMargin prevents scheduling noise from being treated as a stall when a
// server's busy times hardly vary.
const minStallMargin = 5 * time.Millisecond
