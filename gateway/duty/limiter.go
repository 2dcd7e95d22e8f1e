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
	grantsAtOnce = 2
	// releasesAtOnce is more, since a release lasts as long as the work on its keys.
	releasesAtOnce = 4
)

// callLimiter holds back calls to servers that have as many as they may.
type callLimiter struct {
	mu     sync.Mutex
	places map[limitedCalls]chan struct{} // a call under way is an element
}

// limitedCalls names the calls that wait for each other.
type limitedCalls struct {
	server  site.ServerID
	release bool
}

// mostLimited bounds the servers that are remembered; those that have left are dropped
// with it.
const mostLimited = 4096

func (l *callLimiter) placesFor(call ranges.Call) chan struct{} {
	name := limitedCalls{server: call.Server, release: call.Release}
	l.mu.Lock()
	defer l.mu.Unlock()
	if places := l.places[name]; places != nil {
		return places
	}
	if l.places == nil || len(l.places) >= mostLimited {
		l.places = map[limitedCalls]chan struct{}{}
	}
	most := grantsAtOnce
	if call.Release {
		most = releasesAtOnce
	}
	places := make(chan struct{}, most)
	l.places[name] = places
	return places
}

// enter waits until a call may be made, or ctx ends: then it has not been made.
func (l *callLimiter) enter(ctx context.Context, call ranges.Call) error {
	select {
	case l.placesFor(call) <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leave ends a call.
func (l *callLimiter) leave(call ranges.Call) {
	select {
	case <-l.placesFor(call):
	default: // the server was dropped meanwhile
	}
}
