package health

import (
	"sync"
	"time"
)

// Set holds the trackers of many servers or nodes by their ID. Methods may be
// called concurrently.
type Set[ID comparable] struct {
	mu       sync.RWMutex
	trackers map[ID]*Tracker
	ejected  uint64 // ejections so far
}

// NewSet returns an empty set, in which everything counts as healthy.
func NewSet[ID comparable]() *Set[ID] {
	return &Set[ID]{trackers: map[ID]*Tracker{}}
}

// Observe takes the result of one attempt and reports whether it took the
// server out.
func (s *Set[ID]) Observe(now time.Time, id ID, o Observation) bool {
	if o == Answered && s.spotless(id) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tracker, exists := s.trackers[id]
	if !exists {
		tracker = &Tracker{}
		s.trackers[id] = tracker
	}
	out := tracker.Observe(now, o)
	if out {
		s.ejected++
	}
	return out
}

// spotless reports whether nothing bad was ever observed, so that one more
// good observation changes nothing.
func (s *Set[ID]) spotless(id ID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, exists := s.trackers[id]
	return !exists
}

// Weight is the share of its usual load that a server may take.
func (s *Set[ID]) Weight(now time.Time, id ID) float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	tracker, exists := s.trackers[id]
	if !exists {
		return 1
	}
	return tracker.Weight(now)
}

// Ejected reports whether a server is out.
func (s *Set[ID]) Ejected(now time.Time, id ID) bool { return s.Weight(now, id) == 0 }

// Readmit ends an ejection early, because the server was replaced.
func (s *Set[ID]) Readmit(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.trackers, id)
}

// Retain forgets everything that keep says no to.
func (s *Set[ID]) Retain(keep func(ID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.trackers {
		if !keep(id) {
			delete(s.trackers, id)
		}
	}
}

// Out lists what is out now, with the end of each ejection.
func (s *Set[ID]) Out(now time.Time) map[ID]time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := map[ID]time.Time{}
	for id, tracker := range s.trackers {
		if tracker.Ejected(now) {
			out[id] = tracker.Until()
		}
	}
	return out
}
