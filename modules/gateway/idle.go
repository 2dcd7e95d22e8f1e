package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that are idle for longer than the
// configuration allows, which may change while the node runs.
type idleCloser struct {
	timeout func() time.Duration

	mu   sync.Mutex
	idle map[net.Conn]*idleSpan
}

// idleSpan is one time for which a connection is idle.
type idleSpan struct{ timer *time.Timer }

func newIdleCloser(timeout func() time.Duration) *idleCloser {
	return &idleCloser{timeout: timeout, idle: map[net.Conn]*idleSpan{}}
}

// connState is a server's ConnState hook.
func (c *idleCloser) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if span := c.idle[conn]; span != nil {
		span.timer.Stop()
		delete(c.idle, conn)
	}
	if state != http.StateIdle {
		return
	}
	span := new(idleSpan)
	c.idle[conn] = span
	span.timer = time.AfterFunc(c.timeout(), func() { c.close(conn, span) })
}

// close closes a connection unless a request has begun on it meanwhile.
func (c *idleCloser) close(conn net.Conn, span *idleSpan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle[conn] != span {
		return
	}
	delete(c.idle, conn)
	_ = conn.Close() // idle: nothing is lost
}
