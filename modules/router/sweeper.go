package router

import "sync/atomic"

// idleSweepsBeforePause is after how many sweeps in a row without a request in flight the
// sweeping stops.
const idleSweepsBeforePause = 100

// sweeper tells when waiting requests need no sweeps, since there are none. A
// request is counted in flight before it calls stir, and sleeping is noted
// before requests are counted, so one of the two sees the other.
type sweeper struct {
	paused atomic.Bool
	wake   chan struct{} // size 1
	idle   int           // sweeps in a row without a request; maintain's alone
}

func newSweeper() *sweeper { return &sweeper{wake: make(chan struct{}, 1)} }

// requestStarted tells of a request that has been counted.
func (s *sweeper) requestStarted() {
	if !s.paused.Load() {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default: // told already
	}
}

// pauseIfIdle reports, after a sweep, whether the next may wait for wake.
func (s *sweeper) pauseIfIdle(inFlight *atomic.Int64) bool {
	if inFlight.Load() > 0 {
		s.idle = 0
		return false
	}
	s.idle++
	if s.idle < idleSweepsBeforePause {
		return false
	}
	s.paused.Store(true)
	if inFlight.Load() > 0 {
		s.resume()
		return false
	}
	return true
}

// resume notes that sweeps go on.
func (s *sweeper) resume() {
	s.paused.Store(false)
	s.idle = 0
}
