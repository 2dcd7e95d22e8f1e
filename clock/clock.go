// Package clock waits, and reads a steady time that goes on while the machine is
// suspended. The runtime's monotonic clock stands still then, so what was seen
// before would look younger than it is: a lessor would believe that its right
// to renew still holds, and a relay would give away its contact with the log as
// fresh.
package clock

import (
	"context"
	"sync/atomic"
	"time"
)

// Now returns the present time for comparing with other values of Now in this
// process, and for nothing else: its differences count the time for which the
// machine was suspended. It costs two readings of the system's clocks more than
// time.Now.
func Now() time.Time { return time.Now().Add(asleep.sinceStart(suspension())) }

// Since returns the time passed since a value of Now.
func Since(at time.Time) time.Duration { return Now().Sub(at) }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Wait waits for a while, by the runtime's clock, or until ctx ends. It reports
// whether the while has passed; not if ctx had ended before.
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

// asleep is this process's record of suspensions.
var asleep = newSleep(suspension())

// leastSuspension is what a reading must have grown by to count, so that the
// moment between two readings of the system's clocks does not. It is far below
// the margin of a lease.
const leastSuspension = 5 * time.Millisecond

// sleep turns readings of the total time that the machine was suspended, which
// may be a little too low, into one that never falls.
type sleep struct {
	start time.Duration
	most  atomic.Int64
}

func newSleep(start time.Duration) *sleep { return &sleep{start: start} }

func (s *sleep) sinceStart(reading time.Duration) time.Duration {
	now := int64(reading - s.start)
	for {
		most := s.most.Load()
		if now < most+int64(leastSuspension) {
			return time.Duration(most)
		}
		if s.most.CompareAndSwap(most, now) {
			return time.Duration(now)
		}
	}
}
