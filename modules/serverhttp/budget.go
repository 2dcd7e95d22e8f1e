package serverhttp

import (
	"context"
	"sync"
	"time"
)

// budget keeps the connections for requests to one server within this
// process's share. An attempt first takes a place, and opens a connection only
// within the share too; idle connections make way for new ones.
type budget struct {
	closeIdle func() // asks the pool to close its idle connections

	mu      sync.Mutex
	limit   int
	places  int // attempts under way
	open    int // connections
	changed chan struct{}
}

// closeIdleEvery is how often a wait for a place among the connections asks the
// pool again: a connection becomes idle a moment after its attempt ended.
const closeIdleEvery = 2 * time.Millisecond

func newBudget(closeIdle func()) *budget {
	return &budget{closeIdle: closeIdle, changed: make(chan struct{})}
}

// setLimit changes the share. When it falls below the connections open now, the
// idle ones are closed.
func (b *budget) setLimit(limit int) {
	b.mu.Lock()
	tooMany := limit < b.limit && b.open > limit
	if b.limit != limit {
		b.limit = limit
		b.signal()
	}
	b.mu.Unlock()
	if tooMany {
		b.closeIdle()
	}
}

// signal wakes all waits. b.mu is held.
func (b *budget) signal() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// takePlace waits for a place of an attempt; false when ctx ended before.
func (b *budget) takePlace(ctx context.Context) bool {
	return b.wait(ctx, nil, func() bool {
		if b.places >= b.limit {
			return false
		}
		b.places++
		return true
	})
}

func (b *budget) givePlace() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.places--
	b.signal()
}

// openConn waits for a place of a connection; false when ctx ended before.
func (b *budget) openConn(ctx context.Context) bool {
	return b.wait(ctx, b.closeIdle, func() bool {
		if b.open >= b.limit {
			return false
		}
		b.open++
		return true
	})
}

func (b *budget) closedConn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	b.signal()
}

// wait calls take, with b.mu held, until it succeeds or ctx ends; between calls
// it asks for room, if that is not nil.
func (b *budget) wait(ctx context.Context, makeRoom func(), take func() bool) bool {
	for {
		b.mu.Lock()
		taken, changed := take(), b.changed
		b.mu.Unlock()
		if taken {
			return true
		}
		var again <-chan time.Time
		if makeRoom != nil {
			makeRoom()
			again = time.After(closeIdleEvery)
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-again:
		}
	}
}

// read returns the present numbers.
func (b *budget) read() (limit, places, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit, b.places, b.open
}
