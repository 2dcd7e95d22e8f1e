package follow

import "sync"

// bell wakes all that wait for it. Its zero value is ready for use.
type bell struct {
	mu   sync.Mutex
	next chan struct{} // closed when it rings; nil: nobody waits
}

// heard returns a channel that is closed when the bell rings next.
func (b *bell) heard() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}
