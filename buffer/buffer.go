package buffer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Buffer is an OutageTracker that is safe for concurrent use.
type Buffer struct {
	outages atomic.Int64 // checked before taking the lock; updated under mu

	mu      sync.Mutex
	tracker *OutageTracker
	wakes   map[uint64]chan Wake
	lastID  uint64
	joined  uint64
	refused uint64
}

// Wake is the instruction for a waiting request: probe, be refused or, if
// neither is set, decide again.
type Wake struct {
	Probe   bool
	Refused bool
	Refusal Refusal
}

// New returns an empty buffer in which at most maxWaiters requests of each
// service wait.
func New(maxWaiters int) *Buffer {
	return &Buffer{tracker: NewOutageTracker(maxWaiters), wakes: map[uint64]chan Wake{}}
}

// Plan decides on the action of a request on keys. The first key with an outage
// determines it and is returned.
func (b *Buffer) Plan(now time.Time, keys ...Key) (Plan, Key) {
	if b.outages.Load() == 0 {
		return Proceed, Key{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		if plan := b.tracker.Plan(now, key); plan != Proceed {
			return plan, key
		}
	}
	return Proceed, Key{}
}

// Failed reports that a key cannot be served.
func (b *Buffer) Failed(now time.Time, key Key, cause Cause) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tracker.Failed(now, key, cause, rand.Float64())
	b.updateOutageCount()
}

// Abandoned reports that a probe ended without a result.
func (b *Buffer) Abandoned(key Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tracker.Abandoned(key)
}

// Recovered reports that keys are served again; the requests that waited for
// them decide again.
func (b *Buffer) Recovered(now time.Time, keys ...Key) {
	if b.outages.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		for _, waiter := range b.tracker.Recovered(now, key) {
			b.wake(waiter.ID, Wake{})
		}
	}
	b.updateOutageCount()
}

// ServedElsewhere reports that the shards or groups of keys are served by
// another owner or lessor.
func (b *Buffer) ServedElsewhere(now time.Time, keys ...Key) {
	if len(keys) == 0 || b.outages.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		b.tracker.ServedElsewhere(now, key)
	}
}

// Ticket represents one waiting request.
type Ticket struct {
	C      <-chan Wake // receives once
	buffer *Buffer
	key    Key
	id     uint64
}

// Join adds a request to the waiters of a key until it receives a Wake or
// leaves. The ticket is nil when the request must be refused at once.
func (b *Buffer) Join(now time.Time, key Key, service topo.Service, deadline time.Time) (*Ticket, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	id := b.lastID
	wake := make(chan Wake, 1)
	refusal, refused := b.tracker.Join(now, key, Waiter{ID: id, Service: service, Deadline: deadline})
	if refused {
		b.refused++
		return nil, refusal
	}
	ticket := &Ticket{C: wake, buffer: b, key: key, id: id}
	if !b.hasOutage(key) {
		wake <- Wake{} // the key recovered in the meantime
		return ticket, Refusal{}
	}
	b.joined++
	b.wakes[id] = wake
	return ticket, Refusal{}
}

func (b *Buffer) hasOutage(key Key) bool {
	_, out := b.tracker.outages[key]
	return out
}

// Leave ends the wait. If the request was selected to probe in the meantime, the
// probe is abandoned so that another request can make it.
func (t *Ticket) Leave() {
	t.buffer.mu.Lock()
	defer t.buffer.mu.Unlock()
	delete(t.buffer.wakes, t.id)
	if t.buffer.tracker.Leave(t.key, t.id) {
		return
	}
	select {
	case wake := <-t.C:
		if wake.Probe {
			t.buffer.tracker.Abandoned(t.key)
		}
	default:
	}
}

// Sweep refuses requests that are not expected to be served by their deadlines
// and selects the requests that probe.
func (b *Buffer) Sweep(now time.Time) {
	if b.outages.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, swept := range b.tracker.Sweep(now) {
		if !swept.Probe {
			b.refused++
		}
		b.wake(swept.ID, Wake{Probe: swept.Probe, Refused: !swept.Probe, Refusal: swept.Refusal})
	}
	b.updateOutageCount()
}

func (b *Buffer) wake(id uint64, wake Wake) {
	if waiting, exists := b.wakes[id]; exists {
		delete(b.wakes, id)
		waiting <- wake
	}
}

func (b *Buffer) updateOutageCount() { b.outages.Store(int64(b.tracker.Outages())) }

// Stats contains the buffer's counts for dumps and metrics.
type Stats struct {
	Waiting int
	Outages int
	Joined  uint64
	Refused uint64
}

// Stats returns the current counts.
func (b *Buffer) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Waiting: b.tracker.Waiting(), Outages: b.tracker.Outages(), Joined: b.joined, Refused: b.refused}
}

// Wait blocks until the request receives a Wake, a newer view or overlay exists
// (then the request decides again), or ctx ends.
func (t *Ticket) Wait(ctx context.Context, view, overlay <-chan struct{}) (Wake, error) {
	select {
	case wake := <-t.C:
		return wake, nil
	case <-view:
	case <-overlay:
	case <-ctx.Done():
		t.Leave()
		return Wake{}, ctx.Err()
	}
	t.Leave()
	return Wake{}, nil
}

// HasOutage reports whether any of the keys has an outage, so that a request that
// has a choice of servers can use another one.
func (b *Buffer) HasOutage(keys ...Key) bool {
	if b.outages.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(keys, b.hasOutage)
}
