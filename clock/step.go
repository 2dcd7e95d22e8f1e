package clock

import "time"

// minStep is the smallest change of the time of day that is reported. Adjustments of a
// clock that runs too fast or too slow are smaller between two observations.
const minStep = 200 * time.Millisecond

// StepDetector detects when the time of day is set. The zero value is ready to use. It is
// not safe for concurrent use.
type StepDetector struct {
	wall time.Time // latest observation; zero: none
	at   time.Time // the same by Now
}

// Observe compares the time of day with the time that has passed since the latest
// observation, and returns by how much the time of day was set ahead since then; 0 if it
// was not. now is a value of Now, and wall is a value of time.Now of the same moment.
func (d *StepDetector) Observe(now, wall time.Time) time.Duration {
	wall = wall.Round(0) // without the monotonic reading
	last, lastAt := d.wall, d.at
	d.wall, d.at = wall, now
	if last.IsZero() {
		return 0
	}
	step := wall.Sub(last) - now.Sub(lastAt)
	if step.Abs() < minStep {
		return 0
	}
	return step
}
