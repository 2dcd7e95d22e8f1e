// Package follow keeps a node's view of the site up to date: from the lessor's
// node as long as that has fresh contact with the store, and otherwise from the
// store itself. Few nodes reading the store keeps its calls rare; each of them
// is paid for.
package follow

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Contact is up to when a node knows the topics that others write. One topic may
// be read while a connection that waits for another has gone silent, so each
// counts for itself. It is safe for concurrent use.
type Contact struct {
	mu             sync.Mutex
	servers        time.Time
	configurations time.Time
	told           time.Time    // up to when other nodes told both
	next           store.Offset // up to which the view holds the servers' topic
}

// Note takes that a topic is known up to a time.
func (c *Contact) Note(topic store.Topic, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch topic {
	case store.Servers:
		c.servers = clock.Later(c.servers, at)
	case store.Configurations:
		c.configurations = clock.Later(c.configurations, at)
	}
}

// NoteTold takes that another node knew all topics up to a time, and the servers' up to
// an offset.
func (c *Contact) NoteTold(at time.Time, next store.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = clock.Later(c.servers, at)
	c.configurations = clock.Later(c.configurations, at)
	c.told = clock.Later(c.told, at)
	c.next = max(c.next, next)
}

// NoteShown takes that the view holds the servers' topic up to an offset.
func (c *Contact) NoteShown(next store.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, next)
}

// Next returns the offset up to which the view holds the servers' topic; 0: none.
func (c *Contact) Next() store.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// Age returns the time up to which the topic is known that was read least
// lately; known is false if one was never read.
func (c *Contact) Age() (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers.IsZero() || c.configurations.IsZero() {
		return 0, false
	}
	return max(clock.Since(c.servers), clock.Since(c.configurations)), true
}

// ToldAge returns how old the latest news of other nodes are; wasTold is false if
// there were none.
func (c *Contact) ToldAge() (age time.Duration, wasTold bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told.IsZero() {
		return 0, false
	}
	return clock.Since(c.told), true
}
