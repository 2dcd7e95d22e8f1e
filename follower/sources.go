package follower

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	avoidFirst = 2 * time.Second  // for which a relay that failed is passed over
	avoidMost  = 30 * time.Second // when it fails again and again
	// relaysTried is how many relays fail one after the other before the log is
	// read, and for how long it is read then.
	relaysTried = 2
	readLogFor  = 2 * time.Second
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

// failed notes that a relay gave no answer or is behind. A relay that fails
// again soon is avoided for twice as long.
func (s *sources) failed(now time.Time, relay topo.NodeID) {
	pause := avoidFirst
	if last, known := s.avoided[relay]; known && now.Sub(last.until) < avoidMost {
		pause = min(2*last.pause, avoidMost)
	}
	s.avoided[relay] = avoidance{until: now.Add(pause), pause: pause}
	if s.failures++; s.failures >= relaysTried {
		s.readLog(now)
	}
}

// readLog turns to the log for a while.
func (s *sources) readLog(now time.Time) {
	s.failures = 0
	s.logUntil = now.Add(readLogFor)
}

// worked notes that a relay brought what it should.
func (s *sources) worked() { s.failures = 0 }

// forgive turns back to the relays: the log is slow for this node too, so
// reading it makes contact no fresher.
func (s *sources) forgive() {
	clear(s.avoided)
	s.logUntil = time.Time{}
}

// keep forgets relays that are none any longer.
func (s *sources) keep(relays []topo.NodeID) {
	for relay := range s.avoided {
		if !slices.Contains(relays, relay) {
			delete(s.avoided, relay)
		}
	}
}
