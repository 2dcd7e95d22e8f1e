package membership

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// A watched node is silent after this many failed calls in a row and this long
// without an answer. Each call after a failed one uses a new connection, so no
// node is judged by one that something between the two has lost track of.
const (
	SilentCalls = 3
	SilentAfter = 3 * time.Second
)

// Answer is what a node said of itself and of the nodes that it watches.
type Answer struct {
	Boot     topo.BootID
	Draining bool
	Silent   []topo.NodeID // that it finds silent
}

// Liveness is what one node knows of those it watches. It is not safe for
// concurrent use.
type Liveness struct {
	nodes map[topo.NodeID]*contact
}

type contact struct {
	last     Answer
	answered time.Time // or when the watching began
	failures int       // in a row
	heard    bool      // ever
}

// NewLiveness returns an empty record.
func NewLiveness() *Liveness { return &Liveness{nodes: map[topo.NodeID]*contact{}} }

// Answered notes an answer.
func (l *Liveness) Answered(id topo.NodeID, answer Answer, now time.Time) {
	l.nodes[id] = &contact{last: answer, answered: now, heard: true}
}

// Failed notes a call that began at a moment and got no answer.
func (l *Liveness) Failed(id topo.NodeID, began time.Time) {
	known, exists := l.nodes[id]
	if !exists {
		known = &contact{answered: began}
		l.nodes[id] = known
	}
	known.failures++
}

// Keep forgets all nodes but those named: what is no longer watched is no
// longer known.
func (l *Liveness) Keep(watched []topo.NodeID) {
	for id := range l.nodes {
		if !slices.Contains(watched, id) {
			delete(l.nodes, id)
		}
	}
}

// Silent reports whether a node is watched and found silent.
func (l *Liveness) Silent(id topo.NodeID, now time.Time) bool {
	return l.SilentFor(id, now) >= SilentAfter
}

// SilentFor returns for how long a node has not answered although it was called
// often enough; 0 when it answers or is not watched.
func (l *Liveness) SilentFor(id topo.NodeID, now time.Time) time.Duration {
	known, exists := l.nodes[id]
	if !exists || known.failures < SilentCalls {
		return 0
	}
	return now.Sub(known.answered)
}

// Unable reports whether a node is silent or said that it is draining, so that
// a role passes it by.
func (l *Liveness) Unable(id topo.NodeID, now time.Time) bool {
	known, exists := l.nodes[id]
	return exists && (known.last.Draining || l.Silent(id, now))
}

// Last returns a node's latest answer that is still current: none when the
// calls since then failed.
func (l *Liveness) Last(id topo.NodeID) (Answer, bool) {
	known, exists := l.nodes[id]
	if !exists || !known.heard || known.failures > 0 {
		return Answer{}, false
	}
	return known.last, true
}

// AllSilent lists the nodes found silent, in order.
func (l *Liveness) AllSilent(now time.Time) []topo.NodeID {
	var silent []topo.NodeID
	for id := range l.nodes {
		if l.Silent(id, now) {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}
