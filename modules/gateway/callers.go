package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/router"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

const (
	// drainPollInterval is how often connections are looked at while a node shuts down.
	drainPollInterval = 20 * time.Millisecond
	// firstRequestTimeout is how long a new connection without a request is kept
	// while a node shuts down: callers send theirs as soon as it is established.
	firstRequestTimeout = time.Second
)

// callerTimeouts are the limits of callers' connections, which may change while
// the node runs.
type callerTimeouts struct {
	head func() time.Duration // from the first byte of a request to the end of its head
	idle func() time.Duration // between two requests
}

// callerConns ends callers' connections that are idle or slow to send a head for
// longer than the configuration allows, and all of them at a shutdown.
//
// A connection is only ended while no byte of a request has arrived on it, and
// by its read deadline: a node that was slow for a moment finds the request and
// the end of the idle time at once, and closing the connection then would leave
// a request that was read without an answer.
type callerConns struct {
	timeouts callerTimeouts

	mu   sync.Mutex
	open map[*callerConn]bool
}

func newCallerConns(timeouts callerTimeouts) *callerConns {
	return &callerConns{timeouts: timeouts, open: map[*callerConn]bool{}}
}

// phase is where a connection stands between two requests.
type phase uint8

const (
	awaitingRequest phase = iota // no byte of the next request was read
	readingHead                  // a part of its head was
	serving                      // it is being served
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	owner *callerConns

	mu          sync.Mutex
	phase       phase
	phaseStart  time.Time // of the phase
	awaitsFirst bool      // no request has come yet
	pipelined   bool      // a byte of the next request came while one was served
	timer       *time.Timer
	expired     bool // the read deadline was set to end the connection
}

// callerListener hands out callers' connections.
type callerListener struct {
	net.Listener
	owner *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.add(conn), nil
}

// server returns a server of requests on callers' connections.
func (conns *callerConns) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        handler,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      conns.connState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if c, isCaller := conn.(*callerConn); isCaller {
				return router.WithCaller(ctx, c)
			}
			return ctx
		},
	}
}

// Left implements router.Caller.
func (c *callerConn) Left() bool { return socket.Look(c.Conn) == socket.Ended }

func (conns *callerConns) add(conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, owner: conns, awaitsFirst: true, phaseStart: time.Now()}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	conns.open[c] = true
	return c
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordRead(len(p))
	}
	return n, err
}

// peekSize is for how many bytes the server asks while it waits, beside a request,
// for the caller to leave. It asks for more when it reads a body.
const peekSize = 1

// recordRead notes that bytes have come for a read of so many.
func (c *callerConn) recordRead(bufferSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case awaitingRequest:
		c.setPhase(readingHead, c.owner.timeouts.head())
	case serving:
		if bufferSize == peekSize {
			c.pipelined = true
		}
	}
}

// setPhase begins a phase that may last for a time; 0 for any time. The lock is
// held.
func (c *callerConn) setPhase(p phase, timeout time.Duration) {
	c.phase = p
	c.phaseStart = time.Now()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if timeout > 0 {
		since := c.phaseStart
		c.timer = time.AfterFunc(timeout, func() { c.timeOut(since) })
	}
}

// timeOut ends the connection unless its phase has changed meanwhile.
func (c *callerConn) timeOut(phaseStart time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.phaseStart.Equal(phaseStart) {
		return
	}
	if c.phase == readingHead || socket.Look(c.Conn) != socket.Bytes {
		c.expireRead()
	}
	// The server may have been about to set a deadline of its own: once more.
	c.timer = time.AfterFunc(drainPollInterval, func() { c.timeOut(phaseStart) })
}

// expireRead makes the server's read fail, after which it closes the connection. The
// lock is held.
func (c *callerConn) expireRead() {
	c.expired = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// connState is a server's ConnState hook.
func (conns *callerConns) connState(conn net.Conn, state http.ConnState) {
	c, isCaller := conn.(*callerConn)
	if !isCaller {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.awaitsFirst = false
		c.setPhase(serving, 0)
		if c.expired {
			c.expired = false
			_ = c.SetReadDeadline(time.Time{}) // its head was read all the same
		}
	case http.StateIdle:
		if c.pipelined {
			c.pipelined = false
			c.setPhase(readingHead, conns.timeouts.head())
		} else {
			c.setPhase(awaitingRequest, conns.timeouts.idle())
		}
	case http.StateClosed, http.StateHijacked:
		c.setPhase(serving, 0)
		conns.remove(c)
	}
}

func (conns *callerConns) remove(c *callerConn) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	delete(conns.open, c)
}

// drain ends connections as they become idle, until there are none or ctx ends.
func (conns *callerConns) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if conns.endIdle(time.Now()) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endIdle ends the connections that wait for a request and returns how many
// connections are open.
func (conns *callerConns) endIdle(now time.Time) int {
	conns.mu.Lock()
	open := make([]*callerConn, 0, len(conns.open))
	for c := range conns.open {
		open = append(open, c)
	}
	conns.mu.Unlock()
	for _, c := range open {
		c.endIdle(now)
	}
	return len(open)
}

func (c *callerConn) endIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != awaitingRequest || c.awaitsFirst && now.Sub(c.phaseStart) < firstRequestTimeout {
		return
	}
	if socket.Look(c.Conn) != socket.Bytes {
		c.expireRead()
	}
}
