package server

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener counts and limits connections, and wraps each of them in a faultConn.
type listener struct {
	net.Listener
	gate  *gate
	limit int

	mu      sync.Mutex
	open    map[*faultConn]struct{}
	peak    int
	refused uint64
	total   uint64
}

func newListener(inner net.Listener, g *gate, limit int) *listener {
	return &listener{Listener: inner, gate: g, limit: limit, open: map[*faultConn]struct{}{}}
}

// Accept returns the next connection below the limit and closes those above it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.gate.pass()
		conn := &faultConn{Conn: inner, gate: l.gate, onClose: l.remove}
		if l.admit(conn) {
			return conn, nil
		}
		_ = inner.Close()
	}
}

func (l *listener) admit(conn *faultConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		l.refused++
		return false
	}
	l.open[conn] = struct{}{}
	l.total++
	l.peak = max(l.peak, len(l.open))
	return true
}

func (l *listener) remove(conn *faultConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// forEach calls visit for every open connection, without holding the lock.
func (l *listener) forEach(visit func(*faultConn)) {
	l.mu.Lock()
	conns := make([]*faultConn, 0, len(l.open))
	for conn := range l.open {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		visit(conn)
	}
}

// faultConn is a connection that blocks while the server is frozen and can be
// stalled.
type faultConn struct {
	net.Conn
	gate       *gate
	onClose    func(*faultConn)
	once       sync.Once
	stalledIn  atomic.Bool
	stalledOut atomic.Bool
}

// Read reads from the connection. While the inbound direction is stalled, it
// discards the data until the connection ends.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.gate.pass()
		if err != nil || !c.stalledIn.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. While the outbound direction is stalled, it
// discards the data and reports success.
func (c *faultConn) Write(p []byte) (int, error) {
	c.gate.pass()
	if c.stalledOut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the count.
func (c *faultConn) Close() error {
	c.once.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, as a crash would.
func (c *faultConn) reset() {
	if tcp, is := c.Conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
