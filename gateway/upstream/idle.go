package upstream

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// idleKey names connections that are alike: those to one run of a server at one
// address, for requests or for calls of the gateway itself.
type idleKey struct {
	address string
	server  site.ServerID
	control bool
}

// idlePool keeps idle connections.
type idlePool struct {
	mu    sync.Mutex
	conns map[idleKey][]*conn
	// registered are the runs whose connections are kept; nil: of any run.
	registered map[site.ServerID]bool
}

// take returns the idle connection that was used last and is still good, or nil;
// with fresh only one that proved to work just now.
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
			return c
		}
		_ = c.net.Close() // it carries nothing
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

func (p *idlePool) put(key idleKey, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.registered != nil && !p.registered[key.server] {
		_ = c.net.Close() // it carries nothing
		return
	}
	p.conns[key] = append(p.conns[key], c)
}

// retain closes the connections to runs that are not registered.
func (p *idlePool) retain(registered map[site.ServerID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.registered = registered
	for key, stack := range p.conns {
		if registered[key.server] {
			continue
		}
		for _, c := range stack {
			_ = c.net.Close() // it carries nothing
		}
		delete(p.conns, key)
	}
}

// sweep closes connections that are too old.
func (p *idlePool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, stack := range p.conns {
		kept := stack[:0]
		for _, c := range stack {
			if now.Before(c.usableUntil) {
				kept = append(kept, c)
			} else {
				_ = c.net.Close() // it carries nothing
			}
		}
		if len(kept) == 0 {
			delete(p.conns, key)
		} else {
			p.conns[key] = kept
		}
	}
}
