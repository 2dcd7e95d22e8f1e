package follow

import (
	"slices"
	"sync"
)

// mostRecent bounds the states from which a change can be told. A node asks again as soon
// as it has an answer, and its next answer comes after eight changes at the most.
const mostRecent = 8

// recent keeps the latest states that were told to other nodes, and what was made to lead
// from one of them to the newest. Everything is made once for all nodes that get the same.
// Its zero value is ready for use.
type recent[V comparable, S, M any] struct {
	mu     sync.Mutex
	latest []versioned[V, S] // the newest last
	made   map[V]M           // by the version from which it leads
	whole  *M                // what leads from nothing; nil: not made yet
}

// versioned is a state that was told, under its version.
type versioned[V comparable, S any] struct {
	version V
	state   S
}

// tell returns what leads to the newest state from the one that a node has, or from
// nothing if that is none of the latest. build makes it; base is nil for the whole, and
// mayKeep is false if it holds only now.
func (r *recent[V, S, M]) tell(newest versioned[V, S], isKnown func(V) bool, build func(base *S) (message M, mayKeep bool, err error)) (M, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(newest)
	i := slices.IndexFunc(r.latest, func(t versioned[V, S]) bool { return isKnown(t.version) })
	if i < 0 {
		if r.whole != nil {
			return *r.whole, nil
		}
		message, mayKeep, err := build(nil)
		if err == nil && mayKeep {
			r.whole = &message
		}
		return message, err
	}
	base := r.latest[i]
	if message, isMade := r.made[base.version]; isMade {
		return message, nil
	}
	message, mayKeep, err := build(&base.state)
	if err == nil && mayKeep {
		r.made[base.version] = message
	}
	return message, err
}

// note takes the state that is told from now on. The lock is held.
func (r *recent[V, S, M]) note(newest versioned[V, S]) {
	last := len(r.latest) - 1
	if last >= 0 && r.latest[last].version == newest.version {
		return
	}
	r.latest = append(r.latest, newest)
	if len(r.latest) > mostRecent {
		r.latest = slices.Clone(r.latest[1:]) // the first is not held any more
	}
	r.made = map[V]M{}
	r.whole = nil
}
