package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/bodies"
	"github.com/burdockspindle/burdockspindle/gateway/router"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

const (
	// drainPollInterval is the interval at which connections are checked during a shutdown.
	drainPollInterval = 20 * time.Millisecond
	// firstRequestTimeout is how long a new connection without a request is kept open during
	// a shutdown: callers send their first request as soon as the connection is established.
	firstRequestTimeout = time.Second
)

// callerTimeouts holds the timeouts of callers' connections, which may change while the node
// runs.
type callerTimeouts struct {
	head func() time.Duration // from the first byte of a request to the end of its head
	idle func() time.Duration // between two requests
}

// callerConns closes callers' connections that are idle or slow to send a head for longer
// than the configuration allows, and all connections at a shutdown.
//
// A connection is ended only while no byte of a request has arrived on it, and by expiring
// its read deadline. A node that was stalled for a moment finds the request and the end of
// the idle timeout at once, and closing the connection then would leave a request that was
// read without an answer.
type callerConns struct {
	timeouts callerTimeouts
	limits   callerLimits
	onEvict  func(evictions)

	mu        sync.Mutex
	open      map[*callerConn]bool
	evictions evictions // so far

	evicting  atomic.Int64 // connections of open that are being evicted
	headBytes atomic.Int64 // that heads of requests hold beyond usualHead each
}

func newCallerConns(timeouts callerTimeouts, limits callerLimits) *callerConns {
	return &callerConns{timeouts: timeouts, limits: limits, onEvict: func(evictions) {}, open: map[*callerConn]bool{}}
}

// phase is the state of a connection within the cycle of requests.
type phase uint8

const (
	awaitingRequest phase = iota // no byte of the next request has been read
	readingHead                  // a part of the head has been read
	serving                      // the request is being served
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	owner *callerConns

	mu          sync.Mutex
	phase       phase
	phaseStart  time.Time // start time of the phase
	awaitsFirst bool      // no request has arrived yet
	pipelined   bool      // a byte of the next request arrived while one was served
	timer       *time.Timer
	expired     bool      // the read deadline has been set to end the connection
	lastRead    time.Time // when bytes last arrived
	readsBody   bool      // a read of a request's body is in progress
	isEvicted   bool
	head        int64 // bytes of the head that is being read or served

	stallTimeout atomic.Int64 // for which a write may make no progress, in nanoseconds; 0: not limited
}

// callerListener accepts callers' connections and adds them to callerConns.
type callerListener struct {
	net.Listener
	owner *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.owner.hasRoom() {
			return l.owner.add(conn), nil
		}
		_ = conn.Close() // nothing has been read
	}
}

// server returns an HTTP server for requests on callers' connections.
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

// Disconnected implements router.Caller.
func (c *callerConn) Disconnected() bool { return socket.Peek(c.Conn) == socket.Ended }

func (conns *callerConns) add(conn net.Conn) *callerConn {
	now := time.Now()
	c := &callerConn{Conn: conn, owner: conns, awaitsFirst: true, phaseStart: now, lastRead: now}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	conns.open[c] = true
	return c
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.beginRead(len(p))
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordRead(len(p), n)
	}
	if c.endRead() && err != nil {
		err = &bodies.EvictedError{}
	}
	return n, err
}

// beginRead records that a body is read, by the buffer size of the read.
func (c *callerConn) beginRead(bufferSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsBody = c.phase == serving && bufferSize > peekSize
}

// endRead records the end of a read, and reports whether it was of the body of an evicted connection.
func (c *callerConn) endRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isEvicted := c.readsBody && c.isEvicted
	c.readsBody = false
	return isEvicted
}

// peekSize is the buffer size of the read by which the HTTP server detects, while it serves a
// request, that the caller has left. Reads of a body use larger buffers.
const peekSize = 1

// recordRead updates the phase after bytes have arrived for a read with the given buffer
// size.
func (c *callerConn) recordRead(bufferSize, bytes int) {
	if c.updateOnRead(bufferSize, bytes) {
		c.owner.boundHeads()
	}
}

// updateOnRead reports whether the connection holds more of a head than before.
func (c *callerConn) updateOnRead(bufferSize, bytes int) (holdsMore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = time.Now()
	switch c.phase {
	case awaitingRequest:
		c.setPhase(readingHead, c.owner.timeouts.head())
	case serving:
		if bufferSize == peekSize {
			c.pipelined = true
		}
	}
	return c.phase == readingHead && c.addHead(int64(bytes))
}

// setPhase begins a phase with the given timeout, 0 for none. The caller holds c.mu.
func (c *callerConn) setPhase(p phase, timeout time.Duration) {
	c.phase = p
	c.phaseStart = time.Now()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if timeout > 0 {
		phaseStart := c.phaseStart
		c.timer = time.AfterFunc(timeout, func() { c.timeOut(phaseStart) })
	}
}

// timeOut ends the connection unless its phase has changed since the timer was set.
func (c *callerConn) timeOut(phaseStart time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.phaseStart.Equal(phaseStart) {
		return
	}
	if c.phase == readingHead || socket.Peek(c.Conn) != socket.Readable {
		c.expireRead()
	}
	// The HTTP server may set a read deadline of its own concurrently and thereby undo the
	// expiry, so the check is repeated.
	c.timer = time.AfterFunc(drainPollInterval, func() { c.timeOut(phaseStart) })
}

// expireRead makes the server's read fail, after which the server closes the connection. The
// caller holds c.mu.
func (c *callerConn) expireRead() {
	c.expired = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// connState is the ConnState hook of the HTTP server.
func (conns *callerConns) connState(conn net.Conn, state http.ConnState) {
	c, isCaller := conn.(*callerConn)
	if !isCaller {
		return
	}
	c.changeState(state)
	if state == http.StateClosed || state == http.StateHijacked {
		conns.remove(c)
	}
}

func (c *callerConn) changeState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.endEviction()
		c.awaitsFirst = false
		c.stallTimeout.Store(0)
		c.setPhase(serving, 0)
		if c.expired {
			c.expired = false
			_ = c.SetReadDeadline(time.Time{}) // the head was read in spite of the expiry
		}
	case http.StateIdle:
		c.endEviction()
		c.releaseHead()
		if c.pipelined {
			c.pipelined = false
			c.setPhase(readingHead, c.owner.timeouts.head())
		} else {
			c.setPhase(awaitingRequest, c.owner.timeouts.idle())
		}
	case http.StateClosed, http.StateHijacked:
		c.endEviction()
		c.releaseHead()
		c.setPhase(serving, 0)
	}
}

func (conns *callerConns) remove(c *callerConn) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	delete(conns.open, c)
}

// drain ends connections as they become idle, until none is open or ctx ends.
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

// endIdle ends the connections that wait for a request and returns the number of open
// connections.
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
	if socket.Peek(c.Conn) != socket.Readable {
		c.expireRead()
	}
}
