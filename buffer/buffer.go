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

// Buffer is the runtime around a Book. Methods may be called concurrently.
type Buffer struct {
	outages atomic.Int64 // a cheap look before the lock

	mu       sync.Mutex
	book     *Book
	wakes    map[uint64]chan Wake
	sequence uint64
	joined   uint64
	refused  uint64
}

// Wake tells a waiting request what to do: probe, be refused, or decide anew.
type Wake struct {
	Probe   bool
	Refused bool
	Refusal Refusal
}

// New returns an empty buffer in which at most `most` requests of each service
// wait.
func New(most int) *Buffer {
	return &Buffer{book: NewBook(most), wakes: map[uint64]chan Wake{}}
}

// Plan decides what a request does about keys, the first that is out counting.
func (b *Buffer) Plan(now time.Time, keys ...Key) (Plan, Key) {
	if b.outages.Load() == 0 {
		return Proceed, Key{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		if plan := b.book.Plan(now, key); plan != Proceed {
			return plan, key
		}
	}
	return Proceed, Key{}
}

// Failed tells that a key cannot be served.
func (b *Buffer) Failed(now time.Time, key Key, cause Cause) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Failed(now, key, cause, rand.Float64())
	b.note()
}

// Abandoned tells that a probe ended without a result.
func (b *Buffer) Abandoned(key Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Abandoned(key)
}

// Recovered tells that a key is served; whoever waited for it decides anew.
func (b *Buffer) Recovered(now time.Time, keys ...Key) {
	if b.outages.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		for _, waiter := range b.book.Recovered(now, key) {
			b.wake(waiter.ID, Wake{})
		}
	}
	b.note()
}

// Passed tells that what keys stood for is served in another way.
func (b *Buffer) Passed(now time.Time, keys ...Key) {
	if len(keys) == 0 || b.outages.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		b.book.Passed(now, key)
	}
}

// Ticket is one request's wait.
type Ticket struct {
	C      <-chan Wake // receives once
	buffer *Buffer
	key    Key
	id     uint64
}

// Join lets a request wait until it is told what to do, or leaves. The ticket
// is nil when the request is to be refused at once.
func (b *Buffer) Join(now time.Time, key Key, service topo.Service, deadline time.Time) (*Ticket, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	id := b.sequence
	wake := make(chan Wake, 1)
	refusal, refused := b.book.Join(now, key, Waiter{ID: id, Service: service, Deadline: deadline})
	if refused {
		b.refused++
		return nil, refusal
	}
	ticket := &Ticket{C: wake, buffer: b, key: key, id: id}
	if !b.waits(key) {
		wake <- Wake{} // it recovered meanwhile
		return ticket, Refusal{}
	}
	b.joined++
	b.wakes[id] = wake
	return ticket, Refusal{}
}

func (b *Buffer) waits(key Key) bool {
	_, out := b.book.outages[key]
	return out
}

// Leave ends the wait. A probe that the request was told to make meanwhile is
// left to another.
func (t *Ticket) Leave() {
	t.buffer.mu.Lock()
	defer t.buffer.mu.Unlock()
	delete(t.buffer.wakes, t.id)
	if t.buffer.book.Leave(t.key, t.id) {
		return
	}
	select {
	case wake := <-t.C:
		if wake.Probe {
			t.buffer.book.Abandoned(t.key)
		}
	default:
	}
}

// Sweep refuses requests without hope and chooses who probes.
func (b *Buffer) Sweep(now time.Time) {
	if b.outages.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, swept := range b.book.Sweep(now) {
		if !swept.Probe {
			b.refused++
		}
		b.wake(swept.ID, Wake{Probe: swept.Probe, Refused: !swept.Probe, Refusal: swept.Refusal})
	}
	b.note()
}

func (b *Buffer) wake(id uint64, wake Wake) {
	if waiting, exists := b.wakes[id]; exists {
		delete(b.wakes, id)
		waiting <- wake
	}
}

func (b *Buffer) note() { b.outages.Store(int64(b.book.Outages())) }

// Stats is the buffer's state for dumps and metrics.
type Stats struct {
	Waiting int
	Outages int
	Joined  uint64
	Refused uint64
}

// Stats returns the buffer's state now.
func (b *Buffer) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Waiting: b.book.Waiting(), Outages: b.book.Outages(), Joined: b.joined, Refused: b.refused}
}

// Wait blocks until the request is told what to do, a newer view or overlay
// exists (then it decides anew), or ctx ends.
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

// Out reports whether any of the keys is out, so that a request with a choice
// goes elsewhere.
func (b *Buffer) Out(keys ...Key) bool {
	if b.outages.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(keys, b.waits)
}
