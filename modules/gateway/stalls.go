package gateway

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/router"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

// stallChecks is how often the progress of a write is checked within the time that it may make none.
const stallChecks = 5

// stalledWrites counts the connections that were ended because their callers did not read.
var stalledWrites = callerGroup.Counter("stalled_writes")

// LimitStalls implements router.StallLimiter. It holds until the next request.
func (c *callerConn) LimitStalls(timeout time.Duration) { c.stallTimeout.Store(int64(timeout)) }

// Write implements net.Conn. Within a limit on stalls the error is a *router.StalledError if the caller does not read; its
// connection is then reset when it is closed, so that the kernel keeps nothing for it either.
func (c *callerConn) Write(p []byte) (int, error) {
	timeout := time.Duration(c.stallTimeout.Load())
	if timeout == 0 {
		return c.Conn.Write(p)
	}
	n, err := writeWhileRead(c.Conn, p, timeout)
	var stalled *router.StalledError
	if errors.As(err, &stalled) {
		stalledWrites.Add(1)
		if conn, isTCP := c.Conn.(*net.TCPConn); isTCP {
			_ = conn.SetLinger(0) // fails only on a closed connection
		}
	}
	return n, err
}

// writeWhileRead writes p as long as the other end reads. What it acknowledges counts as well as what the kernel takes: the
// kernel takes more only once a third of its buffer is free, which a slow reader may need longer for.
func writeWhileRead(conn net.Conn, p []byte, timeout time.Duration) (written int, err error) {
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	progressAt := time.Now()
	unacknowledged, _ := socket.Unacknowledged(conn)
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(timeout / stallChecks)); err != nil {
			return written, err
		}
		n, err := conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		left, _ := socket.Unacknowledged(conn)
		if n > 0 || left < unacknowledged {
			progressAt = time.Now()
		}
		unacknowledged = left
		if time.Since(progressAt) >= timeout {
			return written, &router.StalledError{After: timeout}
		}
	}
}
