// Package broadcast wakes all goroutines that wait for something to change.
package broadcast

import "sync"

// Signal wakes all that wait for it. Its zero value is ready for use.
type Signal struct {
	mu   sync.Mutex
	next chan struct{} // closed when it is sent; nil: nobody waits
}

// Next returns a channel that is closed when the signal is sent next. Whoever waits for a
// change takes it before looking at what may change.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Send wakes all that wait.
func (s *Signal) Send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
