// Package hotkeys finds the most requested keys in bounded memory. A Sketch is a
// Space-Saving summary whose counts decay exponentially, so that keys which become
// hot enter it and keys which cool leave it.
//
// Error bound: with n counters and a decayed total of W observations, a key's
// estimate is never below its true decayed count and at most W/n above it, and
// every key whose true decayed count exceeds W/n is in the sketch. The bound
// holds for the sum of the totals after a Merge of sketches of n counters.
package hotkeys

import (
	"math"
	"sort"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// MaxKeyBytes is the length of the longest key that a sketch keeps. Longer keys
// count in the total only, so that callers cannot exhaust memory with long keys.
const MaxKeyBytes = 512

// Entry is one key of a sketch.
type Entry struct {
	// ID is the key with the hash range that contains it.
	ID topo.ShardID
	// PerSecond is the estimated rate, never below the true decayed rate.
	PerSecond float64
	// ErrorPerSecond is the part of PerSecond that may belong to other keys.
	ErrorPerSecond float64
	// Load is the mean number of the key's concurrent requests in service,
	// computed from the busy times observed since the key entered the sketch.
	Load float64
}

// Sketch counts observations of keys. It is not safe for concurrent use.
type Sketch struct {
	capacity     int
	meanLifetime float64   // mean lifetime of an observation, in seconds
	first        time.Time // time of the first observation
	base         time.Time // time at which an observation has weight 1
	total        float64   // weighted count of all observations
	counters     counterHeap
	byKey        map[topo.ShardID]*counter
}

// rescaleAfter is the number of mean lifetimes after which weights are rescaled,
// well before they exceed the range of a float64.
const rescaleAfter = 32

// New returns an empty sketch with the given number of counters, and with one if
// capacity is lower. An observation loses half of its weight in each half-life.
func New(capacity int, halfLife time.Duration) *Sketch {
	capacity = max(capacity, 1)
	return &Sketch{
		capacity:     capacity,
		meanLifetime: halfLife.Seconds() / math.Ln2,
		byKey:        make(map[topo.ShardID]*counter, capacity),
		counters:     make(counterHeap, 0, capacity),
	}
}

// Observe counts one request for a key with its busy time at the server. Times
// must not go back by more than a few mean lifetimes.
func (s *Sketch) Observe(now time.Time, id topo.ShardID, busy time.Duration) {
	weight := s.weightAt(now)
	s.total += weight
	if len(id.Key) > MaxKeyBytes {
		return
	}
	c, known := s.byKey[id]
	if !known {
		c = s.admit(id)
	}
	c.count += weight
	c.busy += weight * busy.Seconds()
	s.counters.siftDown(c.position)
}

// weightAt returns the weight of an observation made now, and rescales the sketch
// if that weight would become too large.
func (s *Sketch) weightAt(now time.Time) float64 {
	if s.first.IsZero() {
		s.first, s.base = now, now
	}
	lifetimes := now.Sub(s.base).Seconds() / s.meanLifetime
	if lifetimes > rescaleAfter {
		s.rescale(now)
		return 1
	}
	return math.Exp(lifetimes)
}

// rescale sets the base to now and adjusts all counts to it.
func (s *Sketch) rescale(now time.Time) {
	factor := math.Exp(-now.Sub(s.base).Seconds() / s.meanLifetime)
	s.base = now
	s.total *= factor
	for _, c := range s.counters {
		c.count *= factor
		c.err *= factor
		c.busy *= factor
	}
}

// admit returns a counter for a key that has none. If the sketch is full, the key
// replaces the key with the smallest count, which becomes its error.
func (s *Sketch) admit(id topo.ShardID) *counter {
	if len(s.counters) < s.capacity {
		c := &counter{id: id, position: len(s.counters)}
		s.byKey[id] = c
		s.counters = append(s.counters, c)
		s.counters.siftUp(c.position)
		return c
	}
	c := s.counters[0]
	delete(s.byKey, c.id)
	c.id, c.err, c.busy = id, c.count, 0
	s.byKey[id] = c
	return c
}

// Len returns the number of keys in the sketch.
func (s *Sketch) Len() int { return len(s.counters) }

// Total returns the estimated rate of all keys, in observations per second.
func (s *Sketch) Total(now time.Time) float64 { return s.total * s.scale(now) }

// Top returns the n keys with the highest rates, in descending order.
func (s *Sketch) Top(now time.Time, n int) []Entry {
	scale := s.scale(now)
	entries := make([]Entry, 0, len(s.counters))
	for _, c := range s.counters {
		entries = append(entries, c.entry(scale))
	}
	sort.Slice(entries, func(i, j int) bool {
		if entries[i].PerSecond != entries[j].PerSecond {
			return entries[i].PerSecond > entries[j].PerSecond
		}
		return lessID(entries[i].ID, entries[j].ID)
	})
	return entries[:min(n, len(entries))]
}

// minHistory is the shortest duration over which rates are computed.
const minHistory = time.Second

// lessID orders keys of equal rates, so that results are deterministic.
func lessID(a, b topo.ShardID) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Key < b.Key
}

// scale returns the factor that converts weighted counts to rates per second as
// of now. It accounts for the short history of a sketch that is younger than a few
// mean lifetimes.
func (s *Sketch) scale(now time.Time) float64 {
	if s.first.IsZero() {
		return 0
	}
	age := math.Max(now.Sub(s.first).Seconds(), minHistory.Seconds())
	window := s.meanLifetime * (1 - math.Exp(-age/s.meanLifetime))
	return math.Exp(-now.Sub(s.base).Seconds()/s.meanLifetime) / window
}
