package demo

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"

	"github.com/burdockspindle/burdockspindle/topo"
)

// endpoint is the location of one end of a connection: its zone and, if the end is an
// entry node, the node.
type endpoint struct {
	zone topo.Zone
	node topo.NodeID
}

// Network simulates the network between the entry nodes of a site, and between them and
// the servers. It can be partitioned: connections that cross the partition stall
// permanently, and new ones are not established until it is healed.
type Network struct {
	mu        sync.Mutex
	endpoints map[string]endpoint // by address
	cut       func(from, to endpoint) bool
	conns     map[*stallableConn]struct{}
}

func newNetwork() *Network {
	return &Network{endpoints: map[string]endpoint{}, conns: map[*stallableConn]struct{}{}}
}

// IsolateZone separates a zone from the nodes and servers of all other zones.
func (n *Network) IsolateZone(zone topo.Zone) {
	n.setCut(func(from, to endpoint) bool { return (from.zone == zone) != (to.zone == zone) })
}

// CutNodes separates the given entry nodes from all other entry nodes, and from
// each other. Servers stay reachable.
func (n *Network) CutNodes(nodes ...topo.NodeID) {
	isolated := map[topo.NodeID]bool{}
	for _, node := range nodes {
		isolated[node] = true
	}
	n.setCut(func(from, to endpoint) bool { return to.node != "" && (isolated[from.node] || isolated[to.node]) })
}

// IsolateNode separates an entry node from all other nodes and from all servers.
func (n *Network) IsolateNode(node topo.NodeID) {
	n.setCut(func(from, to endpoint) bool { return from.node == node || to.node == node })
}

// StallOpenConnections stalls every currently open connection permanently. New connections
// are not affected.
func (n *Network) StallOpenConnections() {
	n.setCut(func(endpoint, endpoint) bool { return true })
	n.Heal()
}

// Heal allows new connections. Stalled connections stay stalled.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = nil
}

func (n *Network) setCut(cut func(from, to endpoint) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for conn := range n.conns {
		if cut(conn.from, n.endpoints[conn.address]) {
			conn.stall()
		}
	}
}

// put registers the endpoint of an address.
func (n *Network) put(address string, at endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[address] = at
}

// dialFrom returns the dial function of a node at an endpoint.
func (n *Network) dialFrom(from endpoint) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.isCut(from, address) {
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

func (n *Network) isCut(from endpoint, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, n.endpoints[address])
}

func (n *Network) track(inner net.Conn, from endpoint, address string) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := &stallableConn{Conn: inner, network: n, from: from, address: address, stalled: make(chan struct{}), closed: make(chan struct{})}
	n.conns[conn] = struct{}{}
	if n.cut != nil && n.cut(from, n.endpoints[address]) {
		conn.stall()
	}
	return conn
}

func (n *Network) forget(conn *stallableConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

// stallableConn is a connection that can stall.
type stallableConn struct {
	net.Conn
	network *Network
	from    endpoint
	address string

	stallOnce sync.Once
	stalled   chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *stallableConn) stall() { c.stallOnce.Do(func() { close(c.stalled) }) }

func (c *stallableConn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

// Read reads from the connection until it stalls; a stalled connection discards data and
// blocks until the deadline or Close.
func (c *stallableConn) Read(p []byte) (int, error) {
	for {
		count, err := c.Conn.Read(p)
		if !c.isStalled() || isTimeout(err) {
			return count, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

// Write writes to the connection; if it has stalled, Write discards p and reports success.
func (c *stallableConn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection; the peer of a stalled connection does not observe
// the close until it checks for progress itself.
func (c *stallableConn) Close() error {
	c.network.forget(c)
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
