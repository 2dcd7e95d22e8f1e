package serverhttp

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a connection that reports reads and writes to the attempt that
// uses it.
type trackedConn struct {
	net.Conn
	onClose func()
	once    sync.Once
	user    atomic.Pointer[attempt]
	control bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touchUser()
	}
	if c.control {
		metricControlReceived.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn. The attempt is marked as sent before the first byte
// is written, and is unmarked only if the kernel accepted no byte.
func (c *trackedConn) Write(p []byte) (int, error) {
	user := c.user.Load()
	if user == nil {
		return 0, net.ErrClosed
	}
	first, allowed := user.beginWrite()
	if !allowed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		user.undoWrite()
	}
	if n > 0 {
		user.progress.touch()
	}
	if c.control {
		metricControlSent.Add(int64(n))
	}
	return n, err
}

func (c *trackedConn) touchUser() {
	if user := c.user.Load(); user != nil {
		user.progress.touch()
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.onClose)
	return err
}
