package server

import "sync"

// gate blocks the server's work while the server is frozen, as if its VM were
// paused.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // nil while open
}

// pass blocks while the gate is closed.
func (g *gate) pass() {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}

// close makes later calls of pass block. It reports whether the gate was open.
func (g *gate) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		return false
	}
	g.opened = make(chan struct{})
	return true
}

// open unblocks all calls of pass. It reports whether the gate was closed.
func (g *gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		return false
	}
	close(g.opened)
	g.opened = nil
	return true
}

// closed reports whether the gate is closed.
func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
}
