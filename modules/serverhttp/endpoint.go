package serverhttp

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/burdockspindle/burdockspindle/backend"
)

// endpoint is one server at one address: a pool of connections for idempotent
// requests, a new connection for each other request, and separate connections
// for the lessor's calls.
type endpoint struct {
	target  backend.Target
	options Options
	budget  *budget
	pooled  *http.Transport
	single  *http.Transport // each connection carries one request

	mu      sync.Mutex
	control *http.Transport
}

func newEndpoint(target backend.Target, options Options) *endpoint {
	e := &endpoint{target: target, options: options}
	e.budget = newBudget(func() { e.pooled.CloseIdleConnections() })
	e.pooled = e.transport(e.dialRequest)
	e.single = e.transport(e.dialRequest)
	e.single.DisableKeepAlives = true
	e.control = e.transport(e.dialControl)
	return e
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// transport returns a net/http transport without proxy, compression, HTTP/2 or
// connection limits.
func (e *endpoint) transport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        e.options.IdleAfter,
		MaxIdleConnsPerHost:    maxIdle,
		MaxResponseHeaderBytes: e.options.MaxHeaderBytes,
	}
}

// maxIdle exceeds any share, so that only the budget limits connections.
const maxIdle = 1 << 16

func (e *endpoint) dialRequest(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.options.ConnectTimeout)
	defer cancel()
	if !e.budget.acquireConn(ctx) {
		limit, _, _ := e.budget.read()
		return nil, &ShareError{Server: e.target.ID, Share: limit}
	}
	inner, err := e.options.Dial(ctx, network, address)
	if err != nil {
		e.budget.releaseConn()
		metricDialFailures.Add(1)
		return nil, &DialError{Cause: err}
	}
	metricOpened.Add(1)
	return &trackedConn{Conn: inner, onClose: e.budget.releaseConn}, nil
}

func (e *endpoint) dialControl(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.options.ConnectTimeout)
	defer cancel()
	inner, err := e.options.Dial(ctx, network, address)
	if err != nil {
		metricDialFailures.Add(1)
		return nil, &DialError{Cause: err}
	}
	metricOpened.Add(1)
	return &trackedConn{Conn: inner, onClose: func() {}, control: true}, nil
}

// controlTransport returns the transport in use for the lessor's calls.
func (e *endpoint) controlTransport() *http.Transport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.control
}

// renewControl replaces a failed transport if it is still in use, closes its idle
// connections, and returns the transport to use.
func (e *endpoint) renewControl(failed *http.Transport) *http.Transport {
	e.mu.Lock()
	if e.control == failed {
		e.control = e.transport(e.dialControl)
	}
	current := e.control
	e.mu.Unlock()
	failed.CloseIdleConnections()
	return current
}

// close closes the idle connections; those in use are closed when their
// attempts end.
func (e *endpoint) close() {
	e.pooled.CloseIdleConnections()
	e.controlTransport().CloseIdleConnections()
}
