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
	// drainLook is how often connections are looked at while a node shuts down.
	drainLook = 20 * time.Millisecond
	// firstRequestTime is how long a new connection without a request is kept
	// while a node shuts down: callers send theirs as soon as it is established.
	firstRequestTime = time.Second
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
	waiting phase = iota // no byte of the next request was read
	reading              // a part of its head was
	serving              // it is being served
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	owner *callerConns

	mu      sync.Mutex
	phase   phase
	since   time.Time // of the phase
	isFirst bool      // no request has come yet
	early   bool      // a byte of the next request came while one was served
	timer   *time.Timer
	expired bool // the read deadline was set to end the connection
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
func (o *callerConns) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        handler,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      o.connState,
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

func (o *callerConns) add(conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, owner: o, isFirst: true, since: time.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[c] = true
	return c
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.sawBytes(len(p))
	}
	return n, err
}

// lookAhead is for how many bytes the server asks while it waits, beside a request,
// for the caller to leave. It asks for more when it reads a body.
const lookAhead = 1

// sawBytes notes that bytes have come for a read of so many.
func (c *callerConn) sawBytes(asked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case waiting:
		c.enter(reading, c.owner.timeouts.head())
	case serving:
		if asked == lookAhead {
			c.early = true
		}
	}
}

// enter begins a phase that may last for a time; 0 for any time. The lock is
// held.
func (c *callerConn) enter(p phase, longest time.Duration) {
	c.phase = p
	c.since = time.Now()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if longest > 0 {
		since := c.since
		c.timer = time.AfterFunc(longest, func() { c.timeOut(since) })
	}
}

// timeOut ends the connection unless its phase has changed meanwhile.
func (c *callerConn) timeOut(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.since.Equal(since) {
		return
	}
	if c.phase == reading || socket.Look(c.Conn) != socket.Bytes {
		c.end()
	}
	// The server may have been about to set a deadline of its own: once more.
	c.timer = time.AfterFunc(drainLook, func() { c.timeOut(since) })
}

// end makes the server's read fail, after which it closes the connection. The
// lock is held.
func (c *callerConn) end() {
	c.expired = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// connState is a server's ConnState hook.
func (o *callerConns) connState(conn net.Conn, state http.ConnState) {
	c, isCaller := conn.(*callerConn)
	if !isCaller {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.isFirst = false
		c.enter(serving, 0)
		if c.expired {
			c.expired = false
			_ = c.SetReadDeadline(time.Time{}) // its head was read all the same
		}
	case http.StateIdle:
		if c.early {
			c.early = false
			c.enter(reading, o.timeouts.head())
		} else {
			c.enter(waiting, o.timeouts.idle())
		}
	case http.StateClosed, http.StateHijacked:
		c.enter(serving, 0)
		o.remove(c)
	}
}

func (o *callerConns) remove(c *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, c)
}

// drain ends connections as they become idle, until there are none or ctx ends.
func (o *callerConns) drain(ctx context.Context) error {
	ticker := time.NewTicker(drainLook)
	defer ticker.Stop()
	for {
		if o.endIdle(time.Now()) == 0 {
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
func (o *callerConns) endIdle(now time.Time) int {
	o.mu.Lock()
	open := make([]*callerConn, 0, len(o.open))
	for c := range o.open {
		open = append(open, c)
	}
	o.mu.Unlock()
	for _, c := range open {
		c.endIdle(now)
	}
	return len(open)
}

func (c *callerConn) endIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != waiting || c.isFirst && now.Sub(c.since) < firstRequestTime {
		return
	}
	if socket.Look(c.Conn) != socket.Bytes {
		c.end()
	}
}
