// Package broadcast wakes all goroutines that wait for a change.
package broadcast

import "sync"

// Signal wakes all its waiters. Its zero value is ready for use.
type Signal struct {
	mu   sync.Mutex
	next chan struct{} // closed by Send; nil if there are no waiters; guarded by mu
}

// Next returns a channel that is closed by the next Send. A waiter must call Next before it
// checks the condition, so that it misses no change.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Send wakes all waiters.
func (s *Signal) Send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
