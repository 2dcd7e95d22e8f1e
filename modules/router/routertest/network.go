package routertest

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
)

// Network connects the nodes and callers of a test.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Loopback is the loopback interface of the machine, for benchmarks.
type Loopback struct{}

// Listen implements Network; it chooses a port.
func (Loopback) Listen(string, string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// Dial implements Network.
func (Loopback) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, network, address)
}

// Memory is a network in memory. It lets tests run with a fake clock, so that
// results do not depend on the machine's speed.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*listener
	addresses int
}

// NewMemory returns a network without listeners.
func NewMemory() *Memory { return &Memory{listeners: map[string]*listener{}} }

// Listen implements Network; it chooses an address.
func (m *Memory) Listen(string, string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &listener{network: m, address: m.newAddress(), conns: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[l.address.String()] = l
	return l, nil
}

// newAddress returns a new address. The caller holds mu.
func (m *Memory) newAddress() address {
	m.addresses++
	return address("192.0.2.1:" + strconv.Itoa(m.addresses))
}

// Dial implements Network.
func (m *Memory) Dial(ctx context.Context, _, to string) (net.Conn, error) {
	m.mu.Lock()
	l, exists := m.listeners[to]
	from := m.newAddress()
	m.mu.Unlock()
	if !exists {
		return nil, connectionRefused()
	}
	near, far := net.Pipe()
	accepted := &conn{Conn: far, local: l.address, remote: from}
	select {
	case l.conns <- accepted:
		return &conn{Conn: near, local: from, remote: l.address}, nil
	case <-l.closed:
		return nil, connectionRefused()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func connectionRefused() error {
	return &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
}

type listener struct {
	network *Memory
	address address
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address.String())
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

type address string

// Network implements net.Addr.
func (address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

type conn struct {
	net.Conn
	local  address
	remote address
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }
