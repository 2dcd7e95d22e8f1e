package engine

import "time"

// pool is one node's connections to one server. The admission point never sends
// more than the server's concurrency limit, so it never opens more connections either.
type pool struct {
	idle int
}

// connection is one connection in use.
type connection struct {
	pool   *pool
	server *server
	reused bool
}

// open takes an idle connection, or opens one after a delay, and passes it to then.
// It passes nil if the server does not answer by the deadline or its
// connection limit is reached.
func (n *node) open(s *server, deadline time.Time, then func(*connection)) {
	p := n.pool(s)
	if p.idle > 0 {
		p.idle--
		then(&connection{pool: p, server: s, reused: true})
		return
	}
	if !s.up {
		n.site.clock.after(min(connectTimeout, deadline.Sub(n.site.clock.now)), func() { then(nil) })
		return
	}
	cost := n.site.deployment.NewConnection
	n.site.clock.after(cost, func() {
		if !s.up || !s.connect() {
			then(nil)
			return
		}
		then(&connection{pool: p, server: s})
	})
}

func (n *node) pool(s *server) *pool {
	p, exists := n.pools[s]
	if !exists {
		p = &pool{}
		n.pools[s] = p
	}
	return p
}

// release returns a connection to the pool, or closes it if its state is uncertain.
func (c *connection) release(inDoubt bool) {
	if inDoubt {
		c.server.conns = max(c.server.conns-1, 0)
		return
	}
	c.pool.idle++
}
