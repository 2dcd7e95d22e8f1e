package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
)

// peerConn is one open connection to one node for one kind of call, with the
// number of calls in flight on it.
type peerConn struct {
	conn   *http.ClientConn
	socket *socket
	client bspbconnect.PeerServiceClient
	// generation is that of the certificates used for the connection.
	generation uint64

	mu      sync.Mutex
	calls   int
	retired bool
	// waitingSince is the time when the number of calls last rose from 0 to 1.
	waitingSince time.Time
	// allowedUntil is the time until which the calls in flight may be without a
	// response, because they asked the peer to wait.
	allowedUntil time.Time
}

// Do implements connect.HTTPClient over this connection.
func (c *peerConn) Do(req *http.Request) (*http.Response, error) { return c.conn.RoundTrip(req) }

// begin counts a call that may wait for allowance; it returns false if the
// connection has been replaced.
func (c *peerConn) begin(now time.Time, allowance time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	if c.calls == 0 {
		c.waitingSince = now
		c.allowedUntil = now
	}
	c.calls++
	if until := now.Add(allowance); until.After(c.allowedUntil) {
		c.allowedUntil = until
	}
	return true
}

// end counts a call as finished and closes a replaced connection after its last
// call.
func (c *peerConn) end() {
	c.mu.Lock()
	c.calls--
	closing := c.retired && c.calls == 0
	c.mu.Unlock()
	if closing {
		c.close()
	}
}

// retire lets the calls in flight finish and refuses new ones.
func (c *peerConn) retire() {
	c.mu.Lock()
	closing := !c.retired && c.calls == 0
	c.retired = true
	c.mu.Unlock()
	if closing {
		c.close()
	}
}

// stalled reports whether calls are in flight and no byte arrived for the
// duration threshold.
func (c *peerConn) stalled(now time.Time, threshold time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == 0 {
		return false
	}
	since := c.waitingSince
	if c.allowedUntil.After(since) {
		since = c.allowedUntil
	}
	if now.Sub(since) < threshold {
		return false
	}
	return !c.socket.readSince(now.Add(-threshold))
}

// inFlight returns the number of calls on the connection.
func (c *peerConn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// broken reports whether the connection is known to be unusable.
func (c *peerConn) broken() bool { return c.conn.Err() != nil }

// close closes the connection and aborts the calls on it.
func (c *peerConn) close() {
	// conn.Close may wait for the connection's writer, so the socket is closed first.
	_ = c.socket.Close()
	_ = c.conn.Close()
}
