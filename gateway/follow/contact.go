// Package follow keeps a node's view of the site up to date. The view comes from the
// lessor's node while that node has recent contact with the store, and otherwise from the
// store itself. Few nodes read the store, because each call to it is billed.
package follow

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// Contact records the times up to which a node knows the topics that others write. Each
// topic has its own time, because one topic may be read while a connection that waits for
// another topic has stalled. It is safe for concurrent use.
type Contact struct {
	mu             sync.Mutex
	servers        time.Time
	configurations time.Time
	reported       time.Time    // up to which other nodes reported both topics
	next           store.Offset // up to which the view contains the servers' topic
}

// Note records that a topic is known up to a time.
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

// NotePeerReport records that another node knew all topics up to a time, and the servers'
// topic up to an offset.
func (c *Contact) NotePeerReport(at time.Time, next store.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = clock.Later(c.servers, at)
	c.configurations = clock.Later(c.configurations, at)
	c.reported = clock.Later(c.reported, at)
	c.next = max(c.next, next)
}

// NoteApplied records that the view contains the servers' topic up to an offset.
func (c *Contact) NoteApplied(next store.Offset) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, next)
}

// Next returns the offset up to which the view contains the servers' topic; 0 means none.
func (c *Contact) Next() store.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// Age returns the time since the less recently read topic was known to be current. known is
// false if either topic was never read.
func (c *Contact) Age() (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers.IsZero() || c.configurations.IsZero() {
		return 0, false
	}
	return max(clock.Since(c.servers), clock.Since(c.configurations)), true
}

// PeerReportAge returns the age of the latest report from another node. hasReport is false
// if there was none.
func (c *Contact) PeerReportAge() (age time.Duration, hasReport bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reported.IsZero() {
		return 0, false
	}
	return clock.Since(c.reported), true
}
