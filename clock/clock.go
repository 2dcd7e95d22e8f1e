// Package clock provides timers and a monotonic time that advances while the
// machine is suspended. The runtime's monotonic clock stops during a suspension,
// so that earlier observations would appear more recent than they are: a lessor
// would renew leases after its right to do so has expired, and a relay would
// report stale contact with the log as fresh.
package clock

import (
	"context"
	"sync/atomic"
	"time"
)

// Now returns the current time, which may only be compared with other values of
// Now in this process. Differences include the time for which the machine was
// suspended. It reads the system's clocks twice more than time.Now.
func Now() time.Time { return time.Now().Add(suspensions.sinceStart(suspension())) }

// Since returns the time elapsed since at, a value of Now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// processStart is the origin of SinceStart.
var processStart = time.Now()

// SinceStart returns the time from the start of this process to at, a value of time.Now or of
// Now. Unlike the time of day it does not jump when the clock is set.
func SinceStart(at time.Time) time.Duration { return at.Sub(processStart) }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Wait waits for duration d by the runtime's clock, or until ctx ends. It reports
// whether d has elapsed. If ctx has already ended, it returns false.
func Wait(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// suspensions tracks the suspensions since the start of this process.
var suspensions = newSuspensionTracker(suspension())

// minSuspension is the smallest increase of a reading that is treated as a
// suspension, so that the pause between the readings of the two system clocks is
// ignored. It is far below the margin of a lease.
const minSuspension = 5 * time.Millisecond

// suspensionTracker converts readings of the total time for which the machine was
// suspended, which may be slightly too low, to a value that never decreases.
type suspensionTracker struct {
	start   time.Duration
	highest atomic.Int64
}

func newSuspensionTracker(start time.Duration) *suspensionTracker {
	return &suspensionTracker{start: start}
}

func (s *suspensionTracker) sinceStart(reading time.Duration) time.Duration {
	now := int64(reading - s.start)
	for {
		highest := s.highest.Load()
		if now < highest+int64(minSuspension) {
			return time.Duration(highest)
		}
		if s.highest.CompareAndSwap(highest, now) {
			return time.Duration(now)
		}
	}
}
