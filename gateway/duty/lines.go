package duty

import (
	"context"
	"sync"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Bounds of the calls to one server at a time, each of which needs a connection. A server
// that is asked for too much takes no new ones: of a dozen renewals, each on one of its
// own, none was answered, and it lost all of its keys. One after the other they go over
// connections that are kept.
const (
	grantsAtOnce = 2
	// releasesAtOnce is more, since a release lasts as long as the work on its keys.
	releasesAtOnce = 4
)

// lines holds back calls to servers that have as many as they may.
type lines struct {
	mu    sync.Mutex
	calls map[line]chan struct{}
}

// line names the calls that wait for each other.
type line struct {
	server  site.ServerID
	release bool
}

func lineOf(call ranges.Call) line { return line{server: call.Server, release: call.Release} }

// mostLines bounds the lines that are kept; those of servers that have left are dropped
// with it.
const mostLines = 4096

func (l *lines) of(name line) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if places := l.calls[name]; places != nil {
		return places
	}
	if l.calls == nil || len(l.calls) >= mostLines {
		l.calls = map[line]chan struct{}{}
	}
	most := grantsAtOnce
	if name.release {
		most = releasesAtOnce
	}
	places := make(chan struct{}, most)
	l.calls[name] = places
	return places
}

// enter waits until a call may be made, or ctx ends: then it has not been made.
func (l *lines) enter(ctx context.Context, call ranges.Call) error {
	select {
	case l.of(lineOf(call)) <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leave ends a call.
func (l *lines) leave(call ranges.Call) {
	select {
	case <-l.of(lineOf(call)):
	default: // the line was dropped meanwhile
	}
}
