package follower

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	initialAvoidance = 2 * time.Second  // for which a relay that failed is passed over
	maxAvoidance     = 30 * time.Second // when it fails again and again
	// maxRelayFailures is how many relays fail one after the other before the log is
	// read, and for how long it is read then.
	maxRelayFailures = 2
	readLogDuration  = 2 * time.Second
)

// logSource is the name of the log itself among sources.
const logSource topo.NodeID = ""

// sources decides where a node reads the log: in the log or through a relay. It
// has no clock of its own.
type sources struct {
	avoided  map[topo.NodeID]avoidance
	failures int       // of relays, one after the other
	logUntil time.Time // the log is read
}

// avoidance is a relay that failed.
type avoidance struct {
	until time.Time
	pause time.Duration // how long until was ahead
}

func newSources() *sources { return &sources{avoided: map[topo.NodeID]avoidance{}} }

// choose returns the first relay in order that is not avoided, or logSource.
func (s *sources) choose(now time.Time, ordered []topo.NodeID) topo.NodeID {
	if now.Before(s.logUntil) {
		return logSource
	}
	for _, relay := range ordered {
		if !now.Before(s.avoided[relay].until) {
			return relay
		}
	}
	return logSource
}

// noteFailure notes that a relay gave no answer or is behind. A relay that fails
// again soon is avoided for twice as long.
func (s *sources) noteFailure(now time.Time, relay topo.NodeID) {
	pause := initialAvoidance
	if last, known := s.avoided[relay]; known && now.Sub(last.until) < maxAvoidance {
		pause = min(2*last.pause, maxAvoidance)
	}
	s.avoided[relay] = avoidance{until: now.Add(pause), pause: pause}
	if s.failures++; s.failures >= maxRelayFailures {
		s.preferLog(now)
	}
}

// preferLog turns to the log for a while.
func (s *sources) preferLog(now time.Time) {
	s.failures = 0
	s.logUntil = now.Add(readLogDuration)
}

// noteSuccess notes that a relay brought what it should.
func (s *sources) noteSuccess() { s.failures = 0 }

// reset turns back to the relays: the log is slow for this node too, so
// reading it makes contact no fresher.
func (s *sources) reset() {
	clear(s.avoided)
	s.logUntil = time.Time{}
}

// retain forgets relays that are none any longer.
func (s *sources) retain(relays []topo.NodeID) {
	for relay := range s.avoided {
		if !slices.Contains(relays, relay) {
			delete(s.avoided, relay)
		}
	}
}
