package bodies

import (
	"fmt"
	"sync"
	"time"
)

const (
	// smallBytes is the length of the beginning of a body for which the memory for small bodies is.
	smallBytes = 64 << 10
	// rateAge is the least age at which a body is slow, and slowRate the bytes a second below which it is.
	rateAge  = time.Second
	slowRate = 64 << 10
)

// Limits bound what the bodies of all requests take.
type Limits struct {
	Small int64 // bytes, for the beginnings of bodies only
	Large int64 // bytes, for all of any body
}

// State is what bodies hold, for the state dump.
type State struct {
	Small   int64 `json:"smallBytes"`
	Large   int64 `json:"largeBytes"`
	Reading int   `json:"reading"` // bodies that are being read
	Evicted int64 `json:"evicted"` // bodies that made room for others so far
}

// Memory bounds the bodies that a process holds at once. It is safe for concurrent use.
type Memory struct {
	limits Limits
	// others returns the bytes that the process holds for other purposes, which Limits.Large includes.
	others func() int64

	mu      sync.Mutex
	held    [parts]int64
	reading map[*Account]struct{}
	evicted int64
	// free are segments of maxSegment bytes of bodies that were not read to their end. No send can have them. Under a
	// crowd of such bodies they would otherwise take memory until the next garbage collection.
	free [][]byte
}

// part is a part of the memory.
type part int

const (
	smallPart part = iota
	largePart
	parts
)

// NewMemory returns a bound. others returns the bytes held for other purposes that share the memory for large bodies; nil:
// there are none.
func NewMemory(limits Limits, others func() int64) *Memory {
	if others == nil {
		others = func() int64 { return 0 }
	}
	return &Memory{limits: limits, others: others, reading: map[*Account]struct{}{}}
}

// State returns what bodies hold now.
func (m *Memory) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return State{Small: m.held[smallPart], Large: m.held[largePart], Reading: len(m.reading), Evicted: m.evicted}
}

// FullError reports a body that is not read further because the memory for bodies is taken.
type FullError struct{ Limit int64 } // bytes

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("memory for request bodies is taken, limit %d bytes", e.Limit)
}

// EvictedError reports a body that was ended to make room for others, because it arrived slowly.
type EvictedError struct{}

// Error implements error.
func (*EvictedError) Error() string { return "slow request body made room for others" }

// Account is what the body of one request holds. It is safe for concurrent use.
type Account struct {
	memory    *Memory
	startedAt time.Time
	interrupt func()

	// Guarded by memory.mu.
	held      [parts]int64
	arrived   int64
	isEvicted bool
}

// Open returns the account of a body that begins to arrive. announced is its length if it is stated, and negative otherwise.
// interrupt is called when the body is evicted and must make a blocked read of it fail. The error is a *FullError if the
// bodies that have arrived leave no room for the announced length. Release must be called in the end.
func (m *Memory) Open(announced int64, now time.Time, interrupt func()) (*Account, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if announced-smallBytes > m.limits.Large-m.others()-m.completeBytes() {
		return nil, &FullError{Limit: m.limits.Large}
	}
	a := &Account{memory: m, startedAt: now, interrupt: interrupt}
	m.reading[a] = struct{}{}
	return a, nil
}

// completeBytes returns what bodies hold beyond their beginnings that cannot be evicted. m.mu must be held.
func (m *Memory) completeBytes() int64 {
	complete := m.held[largePart]
	for a := range m.reading {
		complete -= a.held[largePart]
	}
	return complete
}

// grow counts bytes of the next segment before it is read. Slower bodies are evicted if the memory is taken.
func (a *Account) grow(bytes int64, now time.Time) error {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.isEvicted {
		return &EvictedError{}
	}
	large := m.limits.Large - m.others()
	small := min(bytes, max(smallBytes-a.held[smallPart]-a.held[largePart], 0))
	if m.held[smallPart]+small > m.limits.Small && m.held[largePart]+bytes <= large {
		small = 0
	}
	if err := m.reserve(a, smallPart, small, m.limits.Small, now); err != nil {
		return err
	}
	return m.reserve(a, largePart, bytes-small, large, now)
}

// reserve counts bytes toward a part of the memory. m.mu must be held.
func (m *Memory) reserve(a *Account, p part, bytes, limit int64, now time.Time) error {
	for bytes > 0 && m.held[p]+bytes > limit {
		slowest := m.slowest(a, p, now)
		if slowest == nil {
			return &FullError{Limit: limit}
		}
		m.evict(slowest)
	}
	a.held[p] += bytes
	m.held[p] += bytes
	return nil
}

// slowest returns the body to evict for another one: the one that arrives most slowly, if it is slow or slower than the other;
// nil: there is none. m.mu must be held.
func (m *Memory) slowest(other *Account, p part, now time.Time) *Account {
	var slowest *Account
	var least float64
	for a := range m.reading {
		if a == other || a.held[p] == 0 {
			continue
		}
		if rate := a.rate(now); slowest == nil || rate < least {
			slowest, least = a, rate
		}
	}
	if slowest == nil {
		return nil
	}
	isSlow := now.Sub(slowest.startedAt) >= rateAge && least < slowRate
	if !isSlow && least >= other.rate(now) {
		return nil
	}
	return slowest
}

// rate returns the mean bytes a second at which the body arrives, as if it were at least rateAge old.
func (a *Account) rate(now time.Time) float64 {
	return float64(a.arrived) / max(now.Sub(a.startedAt), rateAge).Seconds()
}

// evict ends a body. Its bytes count as free at once: its reader fails and releases them. m.mu must be held.
func (m *Memory) evict(a *Account) {
	m.evicted++
	a.isEvicted = true
	m.release(a)
	a.interrupt()
}

// release gives back what a body holds. m.mu must be held.
func (m *Memory) release(a *Account) {
	for p := range a.held {
		m.held[p] -= a.held[p]
		a.held[p] = 0
	}
	delete(m.reading, a)
}

// segment returns an empty segment of a size.
func (m *Memory) segment(size int64) []byte {
	if size == maxSegment {
		if segment := m.takeFree(); segment != nil {
			return segment
		}
	}
	return make([]byte, 0, size)
}

// takeFree returns a free segment; nil: there is none.
func (m *Memory) takeFree() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := len(m.free) - 1
	if last < 0 {
		return nil
	}
	segment := m.free[last]
	m.free[last] = nil
	m.free = m.free[:last]
	return segment
}

// recycle keeps the segments of a body that was not read to its end for other bodies, as long as any are read.
func (m *Memory) recycle(body Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, segment := range body {
		if cap(segment) == maxSegment {
			m.free = append(m.free, segment[:0])
		}
	}
	m.dropFree()
}

// dropFree leaves the free segments to the garbage collector if no body is read. m.mu must be held.
func (m *Memory) dropFree() {
	if len(m.reading) == 0 {
		m.free = nil
	}
}

// received records bytes that have arrived.
func (a *Account) received(bytes int64) {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.arrived += bytes
}

// complete records that the whole body has arrived: it is not evicted from now on. The error is an *EvictedError if it has been.
func (a *Account) complete() error {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	if a.isEvicted {
		return &EvictedError{}
	}
	delete(a.memory.reading, a)
	return nil
}

// causeOf returns why a read failed: the eviction, or the error of the source.
func (a *Account) causeOf(err error) error {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	if a.isEvicted {
		return &EvictedError{}
	}
	return err
}

// Release gives back what the body holds.
func (a *Account) Release() {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.memory.release(a)
	a.memory.dropFree()
}
