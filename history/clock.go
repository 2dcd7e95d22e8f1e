package history

import "time"

// Time is a time on the history's shared monotonic clock, in nanoseconds
// since its origin. Every recorder of one history uses the same origin.
type Time int64

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from earlier to t.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }

// Clock reads the shared clock.
type Clock func() Time

// ClockSince returns a clock whose origin is a time read in this process. The
// origin must carry a monotonic reading, as time.Now does.
func ClockSince(origin time.Time) Clock {
	return func() Time { return Time(time.Since(origin)) }
}

// WallClock returns a clock whose origin is the Unix epoch, for histories whose
// recorders are separate processes on one machine. It is only as monotonic as that
// machine's wall clock.
func WallClock() Clock {
	return func() Time { return Time(time.Now().UnixNano()) }
}
