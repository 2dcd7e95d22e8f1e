package hotkeys

import (
	"math"
	"sort"
	"time"
)

// Merge adds the observations of another sketch with the same half-life, as of
// now. It does not modify the other sketch.
func (s *Sketch) Merge(now time.Time, other *Sketch) {
	if other.first.IsZero() {
		return
	}
	s.weightAt(now)
	s.rescale(now)
	if other.first.Before(s.first) {
		s.first = other.first
	}
	factor := math.Exp(-now.Sub(other.base).Seconds() / s.meanLifetime)
	merged := mergeCounters(s, other, factor)
	s.total += other.total * factor
	s.replace(merged)
}

// mergeCounters sums the counters of both sketches. A key that is missing from a
// sketch may have been observed there up to as often as the key with the smallest
// count, so that count is added to its count and its error.
func mergeCounters(s, other *Sketch, factor float64) []*counter {
	missingHere, missingThere := s.smallest(), other.smallest()*factor
	merged := make([]*counter, 0, len(s.counters)+len(other.counters))
	for _, c := range s.counters {
		sum := *c
		if o, both := other.byKey[c.id]; both {
			sum.add(o.count*factor, o.err*factor, o.busy*factor)
		} else {
			sum.add(missingThere, missingThere, 0)
		}
		merged = append(merged, &sum)
	}
	for _, o := range other.counters {
		if _, both := s.byKey[o.id]; both {
			continue
		}
		sum := &counter{id: o.id}
		sum.add(o.count*factor+missingHere, o.err*factor+missingHere, o.busy*factor)
		merged = append(merged, sum)
	}
	return merged
}

func (c *counter) add(count, err, busy float64) {
	c.count += count
	c.err += err
	c.busy += busy
}

// smallest returns the largest count that a key outside the sketch may have.
func (s *Sketch) smallest() float64 {
	if len(s.counters) < s.capacity {
		return 0
	}
	return s.counters[0].count
}

// replace sets the content of the sketch to the largest of the counters.
func (s *Sketch) replace(counters []*counter) {
	sort.Slice(counters, func(i, j int) bool {
		if counters[i].count != counters[j].count {
			return counters[i].count > counters[j].count
		}
		return lessID(counters[i].id, counters[j].id)
	})
	counters = counters[:min(len(counters), s.capacity)]
	s.counters = s.counters[:0]
	clear(s.byKey)
	// A slice in ascending order is a valid heap.
	for i := len(counters) - 1; i >= 0; i-- {
		c := counters[i]
		c.position = len(s.counters)
		s.counters = append(s.counters, c)
		s.byKey[c.id] = c
	}
}
