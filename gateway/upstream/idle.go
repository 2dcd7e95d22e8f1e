package upstream

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// idleKey identifies interchangeable connections: those to one incarnation of a server at
// one address, either for requests or for control calls.
type idleKey struct {
	address string
	server  site.ServerID
	control bool
}

// idlePool holds idle connections, the most recently used last. It is safe for concurrent use.
type idlePool struct {
	mu    sync.Mutex
	conns map[idleKey][]*conn
	// registered are the incarnations whose connections are kept; nil: all.
	registered map[site.ServerID]bool
	// closing are registered incarnations that are about to end. Only connections for control calls to them
	// are kept.
	closing map[site.ServerID]bool
}

// take returns the most recently used idle connection that is still usable, or nil. If fresh
// is set, it returns only a connection that proved to work within maxFreshAge.
func (p *idlePool) take(key idleKey, now time.Time, fresh bool) *conn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		if fresh && now.Sub(c.answeredAt) > maxFreshAge {
			p.put(key, c)
			return nil
		}
		if now.Before(c.usableUntil) && c.isIdle() {
			c.mayBeSent = false
			c.connectTime = 0
			return c
		}
		_ = c.net.Close() // the connection is idle
	}
}

func (p *idlePool) pop(key idleKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	stack := p.conns[key]
	if len(stack) == 0 {
		return nil
	}
	c := stack[len(stack)-1]
	p.conns[key] = stack[:len(stack)-1]
	return c
}

// has reports whether there is an idle connection.
func (p *idlePool) has(key idleKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns[key]) > 0
}

func (p *idlePool) put(key idleKey, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.keeps(key) {
		_ = c.net.Close() // the connection is idle
		return
	}
	p.conns[key] = append(p.conns[key], c)
}

// keeps reports whether idle connections of a kind are kept. p.mu must be held.
func (p *idlePool) keeps(key idleKey) bool {
	isRegistered := p.registered == nil || p.registered[key.server]
	return isRegistered && (key.control || !p.closing[key.server])
}

// retain closes the connections to incarnations that are not registered, and those for requests to
// incarnations that are about to end.
func (p *idlePool) retain(registered, closing map[site.ServerID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.registered, p.closing = registered, closing
	for key, stack := range p.conns {
		if p.keeps(key) {
			continue
		}
		for _, c := range stack {
			_ = c.net.Close() // the connection is idle
		}
		delete(p.conns, key)
	}
}

// sweep closes expired connections.
func (p *idlePool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, stack := range p.conns {
		kept := stack[:0]
		for _, c := range stack {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
			} else {
				_ = c.net.Close() // the connection is idle
			}
		}
		if len(kept) == 0 {
			delete(p.conns, key)
		} else {
			p.conns[key] = kept
		}
	}
}
