package demo

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"

	"github.com/burdockspindle/burdockspindle/topo"
)

// place is where an end of a connection is: a zone, and the entry node if it is
// one.
type place struct {
	zone topo.Zone
	node topo.NodeID
}

// Network is what lies between the entry nodes of a site, and between them and
// the servers. It can be cut: connections that cross the cut carry nothing any
// more, for good, and new ones are not answered until it is healed.
type Network struct {
	mu     sync.Mutex
	places map[string]place // by address
	cut    func(from, to place) bool
	conns  map[*cutConn]struct{}
}

func newNetwork() *Network {
	return &Network{places: map[string]place{}, conns: map[*cutConn]struct{}{}}
}

// CutZones separates a zone's nodes from everything in other zones.
func (n *Network) CutZones(zone topo.Zone) {
	n.setCut(func(from, to place) bool { return (from.zone == zone) != (to.zone == zone) })
}

// CutNodes separates the given entry nodes from all other entry nodes, and from
// each other. Servers are still reached.
func (n *Network) CutNodes(nodes ...topo.NodeID) {
	apart := map[topo.NodeID]bool{}
	for _, node := range nodes {
		apart[node] = true
	}
	n.setCut(func(from, to place) bool { return to.node != "" && (apart[from.node] || apart[to.node]) })
}

// CutNodeOff separates an entry node from all other nodes and all servers.
func (n *Network) CutNodeOff(node topo.NodeID) {
	n.setCut(func(from, to place) bool { return from.node == node || to.node == node })
}

// SilenceOpen makes every connection that is open now silent for good. New ones
// work.
func (n *Network) SilenceOpen() {
	n.setCut(func(place, place) bool { return true })
	n.Heal()
}

// Heal lets new connections through. Those that were cut stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = nil
}

func (n *Network) setCut(cut func(from, to place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for conn := range n.conns {
		if cut(conn.from, n.places[conn.address]) {
			conn.silence()
		}
	}
}

// put notes where an address is.
func (n *Network) put(address string, at place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = at
}

// dialFrom returns how a node at a place opens connections.
func (n *Network) dialFrom(from place) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.separated(from, address) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
		inner, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.track(inner, from, address), nil
	}
}

func (n *Network) separated(from place, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, n.places[address])
}

func (n *Network) track(inner net.Conn, from place, address string) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := &cutConn{Conn: inner, network: n, from: from, address: address, silent: make(chan struct{}), closed: make(chan struct{})}
	n.conns[conn] = struct{}{}
	if n.cut != nil && n.cut(from, n.places[address]) {
		conn.silence()
	}
	return conn
}

func (n *Network) forget(conn *cutConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

// cutConn is a connection that can go silent.
type cutConn struct {
	net.Conn
	network *Network
	from    place
	address string

	silenceOnce sync.Once
	silent      chan struct{}
	closeOnce   sync.Once
	closed      chan struct{}
}

func (c *cutConn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *cutConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read returns what arrives, until the connection is silent; from then on it
// waits for the deadline or the end.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		count, err := c.Conn.Read(p)
		if !c.isSilent() || isTimeout(err) {
			return count, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write writes, or only claims to.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection; the other end of a silent one learns nothing of
// it before it looks for progress itself.
func (c *cutConn) Close() error {
	c.network.forget(c)
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
