package router

import "sync/atomic"

// restAfter is after how many sweeps in a row without a request in flight the
// sweeping stops.
const restAfter = 100

// sweeper tells when waiting requests need no sweeps, since there are none. A
// request is counted in flight before it calls stir, and sleeping is noted
// before requests are counted, so one of the two sees the other.
type sweeper struct {
	asleep atomic.Bool
	wake   chan struct{} // size 1
	idle   int           // sweeps in a row without a request; maintain's alone
}

func newSweeper() *sweeper { return &sweeper{wake: make(chan struct{}, 1)} }

// stir tells of a request that has been counted.
func (s *sweeper) stir() {
	if !s.asleep.Load() {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default: // told already
	}
}

// rests reports, after a sweep, whether the next may wait for wake.
func (s *sweeper) rests(inFlight *atomic.Int64) bool {
	if inFlight.Load() > 0 {
		s.idle = 0
		return false
	}
	s.idle++
	if s.idle < restAfter {
		return false
	}
	s.asleep.Store(true)
	if inFlight.Load() > 0 {
		s.rouse()
		return false
	}
	return true
}

// rouse notes that sweeps go on.
func (s *sweeper) rouse() {
	s.asleep.Store(false)
	s.idle = 0
}
