// Package follow keeps a node's view of the site up to date: from the lessor's
// node as long as that has fresh contact with the store, and otherwise from the
// store itself. Few nodes reading the store keeps its calls rare; each of them
// is paid for.
package follow

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// Contact is when the store last answered. It is safe for concurrent use.
type Contact struct {
	mu sync.Mutex
	at time.Time
}

// Note takes the start of a call that the store answered.
func (c *Contact) Note(startedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if startedAt.After(c.at) {
		c.at = startedAt
	}
}

// Age returns the time since the latest contact; known is false if there was none.
func (c *Contact) Age() (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return 0, false
	}
	return clock.Since(c.at), true
}
