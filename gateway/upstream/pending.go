package upstream

import (
	"sync"
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// pendingConn is a connection for control calls that is being opened.
type pendingConn struct {
	// isConnected reports that the server's kernel has accepted the connection.
	isConnected atomic.Bool
	done        chan struct{} // closed when the connection is established or has failed
	err         error         // why it failed; read only after done is closed

	mu   sync.Mutex
	conn *conn // set when established, until it is taken; guarded by mu
}

// take returns the connection to its first caller, and nil afterwards.
func (c *pendingConn) take() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.conn
	c.conn = nil
	return result
}

// pendingConns are the connections that are being opened, at most one at a time per server,
// because each briefly occupies one of the server's slots.
type pendingConns struct {
	mu          sync.Mutex
	conns       map[idleKey]*pendingConn
	idleSignals map[idleKey]chan struct{} // closed when a connection becomes idle
}

// join returns the pending connection to a server, and whether the caller must open it.
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

// finish completes a pending connection with the connection or an error.
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

// signalIdle notifies waiting calls that a connection has become idle.
func (p *pendingConns) signalIdle(key idleKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal := p.idleSignals[key]; signal != nil {
		close(signal)
		delete(p.idleSignals, key)
	}
}

// retain wakes the calls that wait for incarnations that are not registered, so that they
// check again, and removes their signals.
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
