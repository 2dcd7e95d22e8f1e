package serverhttp

import (
	"context"
	"sync"
	"time"
)

// budget limits the connections for requests to one server to this process's
// share. An attempt first acquires a slot; the connections that attempts open
// are limited to the share too, and idle connections are closed to make room.
type budget struct {
	closeIdle func() // asks the pool to close its idle connections

	mu      sync.Mutex
	limit   int
	slots   int // attempts in flight
	open    int // open connections
	changed chan struct{}
}

// closeIdleEvery is the interval at which a wait for a connection slot closes
// idle connections again: a connection becomes idle shortly after its attempt ended.
const closeIdleEvery = 2 * time.Millisecond

func newBudget(closeIdle func()) *budget {
	return &budget{closeIdle: closeIdle, changed: make(chan struct{})}
}

// setLimit changes the share. If it falls below the number of open connections,
// idle connections are closed.
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

// signal wakes all waiters; the caller holds b.mu.
func (b *budget) signal() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// acquireSlot waits for the slot of an attempt; it returns false if ctx ends first.
func (b *budget) acquireSlot(ctx context.Context) bool {
	return b.wait(ctx, nil, func() bool {
		if b.slots >= b.limit {
			return false
		}
		b.slots++
		return true
	})
}

func (b *budget) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slots--
	b.signal()
}

// acquireConn waits for the slot of a connection; it returns false if ctx ends
// first.
func (b *budget) acquireConn(ctx context.Context) bool {
	return b.wait(ctx, b.closeIdle, func() bool {
		if b.open >= b.limit {
			return false
		}
		b.open++
		return true
	})
}

func (b *budget) releaseConn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	b.signal()
}

// wait calls take, with b.mu held, until it succeeds or ctx ends; between calls
// it calls makeRoom unless that is nil.
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

// read returns the current limit and counts.
func (b *budget) read() (limit, slots, open int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit, b.slots, b.open
}
