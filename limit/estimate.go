package limit

import "time"

// Weights of a new observation, as for round-trip times in TCP: the mean moves
// by an eighth of the difference, the deviation by a quarter.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	// minSamples is how many observations an estimate needs before anything is
	// refused because of it.
	minSamples = 4
	// stalledDeviations is how many deviations beyond the mean a request may
	// take before its place counts as stalled.
	stalledDeviations = 4
)

// Estimate is a running estimate of how long a request holds its place.
type Estimate struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

// Add takes one observation.
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

// Known reports whether there are enough observations to rely on.
func (e *Estimate) Known() bool { return e.samples >= minSamples }

// Mean is the expected busy time; 0 while not known.
func (e *Estimate) Mean() time.Duration {
	if !e.Known() {
		return 0
	}
	return e.mean
}

// MinBusy is a busy time that few requests beat; 0 while not known.
func (e *Estimate) MinBusy() time.Duration {
	if !e.Known() {
		return 0
	}
	return max(e.mean-e.deviation, 0)
}

// Residual is how much longer a request is expected to hold its place that has
// held it for a while. One that has taken far longer than usual is expected to
// take as long again.
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

// minStallMargin keeps a very even server's scheduling noise from counting as a
// stall.
const minStallMargin = 5 * time.Millisecond
