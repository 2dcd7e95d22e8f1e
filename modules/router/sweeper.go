package router

import "sync/atomic"

// idleSweepsBeforePause is the number of consecutive sweeps without a request in
// flight after which sweeps pause.
const idleSweepsBeforePause = 100

// sweeper pauses the sweeps of waiting requests while there are none. A request is
// counted as in flight before it calls requestStarted, and paused is set before
// the requests are counted, so that at least one side observes the other.
type sweeper struct {
	paused atomic.Bool
	wake   chan struct{} // capacity 1
	idle   int           // consecutive sweeps without a request; used by maintain only
}

func newSweeper() *sweeper { return &sweeper{wake: make(chan struct{}, 1)} }

// requestStarted wakes the sweeper for a request that has been counted.
func (s *sweeper) requestStarted() {
	if !s.paused.Load() {
		return
	}
	select {
	case s.wake <- struct{}{}:
	default: // already notified
	}
}

// pauseIfIdle reports, after a sweep, whether the next one may wait for wake.
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

// resume records that sweeps continue.
func (s *sweeper) resume() {
	s.paused.Store(false)
	s.idle = 0
}
