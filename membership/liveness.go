package membership

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// A watched node is unresponsive after UnresponsiveCalls consecutive failed calls
// and UnresponsiveAfter without a response. Each call after a failed one uses a new
// connection, so that a stalled connection, for example one whose state a middlebox
// has dropped, does not make a node unresponsive.
const (
	UnresponsiveCalls = 3
	UnresponsiveAfter = 3 * time.Second
)

// Answer is a node's report about itself and the nodes that it watches.
type Answer struct {
	Boot         topo.BootID
	Draining     bool
	Unresponsive []topo.NodeID // watched nodes that don't respond to it
}

// Liveness tracks the responses of the nodes that one node watches. It is not safe
// for concurrent use.
type Liveness struct {
	nodes map[topo.NodeID]*contact
}

type contact struct {
	last         Answer
	answeredAt   time.Time // time of the last answer, or of the first failed call
	failures     int       // consecutive
	everAnswered bool      // there was an answer
}

// NewLiveness returns a Liveness without any nodes.
func NewLiveness() *Liveness { return &Liveness{nodes: map[topo.NodeID]*contact{}} }

// Answered records a node's answer.
func (l *Liveness) Answered(id topo.NodeID, answer Answer, now time.Time) {
	l.nodes[id] = &contact{last: answer, answeredAt: now, everAnswered: true}
}

// Failed records a call that began at the given time and got no answer.
func (l *Liveness) Failed(id topo.NodeID, began time.Time) {
	known, exists := l.nodes[id]
	if !exists {
		known = &contact{answeredAt: began}
		l.nodes[id] = known
	}
	known.failures++
}

// Keep removes all nodes except those that are still watched.
func (l *Liveness) Keep(watched []topo.NodeID) {
	for id := range l.nodes {
		if !slices.Contains(watched, id) {
			delete(l.nodes, id)
		}
	}
}

// Unresponsive reports whether a node is watched and unresponsive.
func (l *Liveness) Unresponsive(id topo.NodeID, now time.Time) bool {
	return l.UnresponsiveFor(id, now) >= UnresponsiveAfter
}

// UnresponsiveFor returns the time since a node's last answer if at least
// UnresponsiveCalls calls have failed since then. It returns 0 if the node answers
// or is not watched.
func (l *Liveness) UnresponsiveFor(id topo.NodeID, now time.Time) time.Duration {
	known, exists := l.nodes[id]
	if !exists || known.failures < UnresponsiveCalls {
		return 0
	}
	return now.Sub(known.answeredAt)
}

// Unable reports whether a node is unresponsive or has reported that it is
// draining, so that it cannot hold a role.
func (l *Liveness) Unable(id topo.NodeID, now time.Time) bool {
	known, exists := l.nodes[id]
	return exists && (known.last.Draining || l.Unresponsive(id, now))
}

// Last returns a node's latest answer, unless a call has failed since then.
func (l *Liveness) Last(id topo.NodeID) (Answer, bool) {
	known, exists := l.nodes[id]
	if !exists || !known.everAnswered || known.failures > 0 {
		return Answer{}, false
	}
	return known.last, true
}

// AllUnresponsive lists the unresponsive nodes in order of their IDs.
func (l *Liveness) AllUnresponsive(now time.Time) []topo.NodeID {
	var ids []topo.NodeID
	for id := range l.nodes {
		if l.Unresponsive(id, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
