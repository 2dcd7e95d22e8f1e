package upstream

import (
	"sync"
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// pendingConn is a connection for control calls that is being opened.
type pendingConn struct {
	// isConnected tells that the server's machine has taken the connection.
	isConnected atomic.Bool
	done        chan struct{} // closed when it has ended
	err         error         // why it failed, once it has ended

	mu   sync.Mutex
	conn *conn // once it has ended, until it is taken
}

// take returns the connection, once.
func (c *pendingConn) take() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.conn
	c.conn = nil
	return result
}

// pendingConns are the connections that are being opened, at most one at a time to a server:
// each holds one of the server's slots for a moment.
type pendingConns struct {
	mu          sync.Mutex
	conns       map[idleKey]*pendingConn
	idleSignals map[idleKey]chan struct{} // closed when a connection becomes idle
}

// join returns the opening of a server, and whether the caller must begin it.
func (p *pendingConns) join(key idleKey) (c *pendingConn, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[key]; c != nil {
		return c, false
	}
	if p.conns == nil {
		p.conns = map[idleKey]*pendingConn{}
	}
	c = &pendingConn{done: make(chan struct{})}
	p.conns[key] = c
	return c, true
}

// finish ends an opening with its connection or an error.
func (p *pendingConns) finish(key idleKey, c *pendingConn, result *conn, err error) {
	c.mu.Lock()
	c.conn, c.err = result, err
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, key)
	close(c.done)
}

// idleSignal returns a channel that is closed when a connection to a server becomes idle.
func (p *pendingConns) idleSignal(key idleKey) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleSignals == nil {
		p.idleSignals = map[idleKey]chan struct{}{}
	}
	if p.idleSignals[key] == nil {
		p.idleSignals[key] = make(chan struct{})
	}
	return p.idleSignals[key]
}

// signalIdle tells those who wait that a connection has become idle.
func (p *pendingConns) signalIdle(key idleKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal := p.idleSignals[key]; signal != nil {
		close(signal)
		delete(p.idleSignals, key)
	}
}

// retain forgets who waits for runs that are not registered; they look again.
func (p *pendingConns) retain(registered map[site.ServerID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, signal := range p.idleSignals {
		if !registered[key.server] {
			close(signal)
			delete(p.idleSignals, key)
		}
	}
}
