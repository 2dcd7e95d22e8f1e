package follow

import (
	"slices"
	"sync"
)

// maxRecent limits the states from which a change can be sent. A node calls again as soon
// as it has a response, and receives the next one after at most eight changes.
const maxRecent = 8

// recentVersions keeps the latest states that were sent to other nodes, and the messages
// that lead from each of them to the newest. Each message is built once for all nodes that
// receive it. The zero value is ready for use.
type recentVersions[V comparable, S, M any] struct {
	mu     sync.Mutex
	latest []versioned[V, S] // the newest is last
	built  map[V]M           // by the version that the message starts from
	full   *M                // the complete newest state; nil if not built yet
}

// versioned is a state that was sent, and its version.
type versioned[V comparable, S any] struct {
	version V
	state   S
}

// message returns the message that leads from the state that a node has to the newest
// state, or the complete newest state if the node has none of the latest. build creates the
// message: base is nil for the complete state, and isReusable is false if the message is
// valid only now.
func (r *recentVersions[V, S, M]) message(newest versioned[V, S], isKnown func(V) bool, build func(base *S) (message M, isReusable bool, err error)) (M, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(newest)
	i := slices.IndexFunc(r.latest, func(t versioned[V, S]) bool { return isKnown(t.version) })
	if i < 0 {
		if r.full != nil {
			return *r.full, nil
		}
		message, isReusable, err := build(nil)
		if err == nil && isReusable {
			r.full = &message
		}
		return message, err
	}
	base := r.latest[i]
	if message, isBuilt := r.built[base.version]; isBuilt {
		return message, nil
	}
	message, isReusable, err := build(&base.state)
	if err == nil && isReusable {
		r.built[base.version] = message
	}
	return message, err
}

// add appends the state that is sent from now on. The caller holds the lock.
func (r *recentVersions[V, S, M]) add(newest versioned[V, S]) {
	last := len(r.latest) - 1
	if last >= 0 && r.latest[last].version == newest.version {
		return
	}
	r.latest = append(r.latest, newest)
	if len(r.latest) > maxRecent {
		r.latest = slices.Clone(r.latest[1:]) // releases the first state
	}
	r.built = map[V]M{}
	r.full = nil
}
