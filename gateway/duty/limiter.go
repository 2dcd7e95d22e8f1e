package duty

import (
	"context"
	"sync"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Bounds of the calls to one server at a time, each of which needs a connection. A server
// that is asked for too much takes no new ones, and would lose all of its keys. One after
// the other the calls go over connections that are kept.
const (
	maxConcurrentGrants = 2
	// maxConcurrentReleases is more, since a release lasts as long as the work on its keys.
	maxConcurrentReleases = 4
)

// callLimiter holds back calls to servers that have as many as they may.
type callLimiter struct {
	mu    sync.Mutex
	slots map[limiterKey]chan struct{} // a call under way is an element
}

// limiterKey names the calls that wait for each other.
type limiterKey struct {
	server  site.ServerID
	release bool
}

// maxTrackedServers bounds the servers that are remembered; those that have left are dropped
// with it.
const maxTrackedServers = 4096

func (l *callLimiter) slotsFor(call ranges.Call) chan struct{} {
	key := limiterKey{server: call.Server, release: call.Release}
	l.mu.Lock()
	defer l.mu.Unlock()
	if slots := l.slots[key]; slots != nil {
		return slots
	}
	if l.slots == nil || len(l.slots) >= maxTrackedServers {
		l.slots = map[limiterKey]chan struct{}{}
	}
	limit := maxConcurrentGrants
	if call.Release {
		limit = maxConcurrentReleases
	}
	slots := make(chan struct{}, limit)
	l.slots[key] = slots
	return slots
}

// acquire waits until a call may be made, or ctx ends: then it has not been made.
func (l *callLimiter) acquire(ctx context.Context, call ranges.Call) error {
	select {
	case l.slotsFor(call) <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release ends a call.
func (l *callLimiter) release(call ranges.Call) {
	select {
	case <-l.slotsFor(call):
	default: // the server was dropped meanwhile
	}
}
