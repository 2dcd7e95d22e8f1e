package follower

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	initialAvoidance = 2 * time.Second  // after the first failure of a relay
	maxAvoidance     = 30 * time.Second // after repeated failures
	// After maxRelayFailures consecutive relay failures the log is read for
	// readLogDuration.
	maxRelayFailures = 2
	readLogDuration  = 2 * time.Second
)

// logSource stands for the log itself among sources.
const logSource topo.NodeID = ""

// sources decides whether a node reads the log directly or through a relay. The
// caller passes the current time.
type sources struct {
	avoided  map[topo.NodeID]avoidance
	failures int       // consecutive failures of relays
	logUntil time.Time // the log is read directly until then
}

// avoidance describes how long a failed relay is avoided.
type avoidance struct {
	until time.Time
	pause time.Duration // length of the avoidance that ends at until
}

func newSources() *sources { return &sources{avoided: map[topo.NodeID]avoidance{}} }

// choose returns the first relay that is not avoided, or logSource.
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

// noteFailure avoids a relay that did not respond or is behind. A relay that fails
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

// preferLog makes the node read the log directly for readLogDuration.
func (s *sources) preferLog(now time.Time) {
	s.failures = 0
	s.logUntil = now.Add(readLogDuration)
}

// noteSuccess resets the consecutive failures after a usable relay response.
func (s *sources) noteSuccess() { s.failures = 0 }

// reset makes the relays usable again. It is called when the log is slow for this
// node too, so that reading it directly would not make contact more recent.
func (s *sources) reset() {
	clear(s.avoided)
	s.logUntil = time.Time{}
}

// retain drops the avoidance of nodes that are no longer relays.
func (s *sources) retain(relays []topo.NodeID) {
	for relay := range s.avoided {
		if !slices.Contains(relays, relay) {
			delete(s.avoided, relay)
		}
	}
}
