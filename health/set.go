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
	ejected  uint64 // total number of ejections
}

// NewSet returns an empty set. A server or node without a tracker is healthy.
func NewSet[ID comparable]() *Set[ID] {
	return &Set[ID]{trackers: map[ID]*Tracker{}}
}

// Observe records the outcome of one attempt and reports whether it ejected the
// server.
func (s *Set[ID]) Observe(now time.Time, id ID, o Observation) bool {
	if o == Answered && s.untracked(id) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tracker, exists := s.trackers[id]
	if !exists {
		tracker = &Tracker{}
		s.trackers[id] = tracker
	}
	ejected := tracker.Observe(now, o)
	if ejected {
		s.ejected++
	}
	return ejected
}

// untracked reports whether no failure was observed, so that another success
// needs no tracker.
func (s *Set[ID]) untracked(id ID) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, exists := s.trackers[id]
	return !exists
}

// Weight returns the fraction of its usual load that a server may receive.
func (s *Set[ID]) Weight(now time.Time, id ID) float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	tracker, exists := s.trackers[id]
	if !exists {
		return 1
	}
	return tracker.Weight(now)
}

// Ejected reports whether a server is ejected.
func (s *Set[ID]) Ejected(now time.Time, id ID) bool { return s.Weight(now, id) == 0 }

// Readmit ends an ejection early, because the server was replaced.
func (s *Set[ID]) Readmit(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.trackers, id)
}

// Retain removes the trackers for which keep returns false.
func (s *Set[ID]) Retain(keep func(ID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.trackers {
		if !keep(id) {
			delete(s.trackers, id)
		}
	}
}

// EjectedUntil returns the servers or nodes that are ejected now, each with the end of its
// ejection.
func (s *Set[ID]) EjectedUntil(now time.Time) map[ID]time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ejected := map[ID]time.Time{}
	for id, tracker := range s.trackers {
		if tracker.Ejected(now) {
			ejected[id] = tracker.Until()
		}
	}
	return ejected
}
