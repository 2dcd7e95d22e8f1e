package duty

import (
	"context"
	"sync"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Limits of concurrent calls to one server. Each concurrent call needs a connection, and a
// server with too many connections accepts no new ones and would lose all of its keys.
// Consecutive calls reuse connections.
const (
	maxConcurrentGrants = 2
	// maxConcurrentReleases is higher because a release lasts as long as the work on its
	// keys.
	maxConcurrentReleases = 4
)

// callLimiter delays calls to servers that have reached their limit.
type callLimiter struct {
	mu    sync.Mutex
	slots map[limiterKey]chan struct{} // one element for each call in flight; guarded by mu
}

// limiterKey identifies the calls that share a limit.
type limiterKey struct {
	server  site.ServerID
	release bool
}

// maxTrackedServers bounds the entries of the limiter. Reaching it drops all of them,
// including those of servers that have left.
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

// acquire waits until a call may be made. It returns an error if ctx ends first; the call
// must not be made then.
func (l *callLimiter) acquire(ctx context.Context, call ranges.Call) error {
	select {
	case l.slotsFor(call) <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release ends a call that acquire admitted.
func (l *callLimiter) release(call ranges.Call) {
	select {
	case <-l.slotsFor(call):
	default: // the entry was dropped in the meantime
	}
}
