package upstream

import (
	"sync"
	"sync/atomic"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// opening is a connection for control calls that is being opened.
type opening struct {
	// isConnected tells that the server's machine has taken the connection.
	isConnected atomic.Bool
	done        chan struct{} // closed when it has ended
	err         error         // why it failed, once it has ended

	mu   sync.Mutex
	conn *conn // once it has ended, until it is taken
}

// take returns the connection, once.
func (o *opening) take() *conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	cn := o.conn
	o.conn = nil
	return cn
}

// openings are the connections that are being opened, at most one at a time to a server:
// each holds one of the server's slots for a moment.
type openings struct {
	mu      sync.Mutex
	pending map[idleKey]*opening
	waiting map[idleKey]chan struct{} // closed when a connection becomes idle
}

// join returns the opening of a server, and whether the caller must begin it.
func (p *openings) join(key idleKey) (o *opening, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.pending[key]; o != nil {
		return o, false
	}
	if p.pending == nil {
		p.pending = map[idleKey]*opening{}
	}
	o = &opening{done: make(chan struct{})}
	p.pending[key] = o
	return o, true
}

// end ends an opening with its connection or an error.
func (p *openings) end(key idleKey, o *opening, cn *conn, err error) {
	o.mu.Lock()
	o.conn, o.err = cn, err
	o.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, key)
	close(o.done)
}

// freed returns a channel that is closed when a connection to a server becomes idle.
func (p *openings) freed(key idleKey) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[idleKey]chan struct{}{}
	}
	if p.waiting[key] == nil {
		p.waiting[key] = make(chan struct{})
	}
	return p.waiting[key]
}

// signal tells those who wait that a connection has become idle.
func (p *openings) signal(key idleKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if freed := p.waiting[key]; freed != nil {
		close(freed)
		delete(p.waiting, key)
	}
}

// keepOnly forgets who waits for runs that are not registered; they look again.
func (p *openings) keepOnly(registered map[site.ServerID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, freed := range p.waiting {
		if !registered[key.server] {
			close(freed)
			delete(p.waiting, key)
		}
	}
}
