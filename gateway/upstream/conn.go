package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/bodies"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
	"github.com/burdockspindle/burdockspindle/gateway/traffic"
)

// Limits on the age of idle connections, and settings of new ones.
const (
	// defaultIdleTime is how long a connection is kept if the server states no idle
	// timeout. It is below the shortest idle timeout of common servers, 5 s.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a server states, to allow for
	// the time that the next request takes to reach the server.
	idleMargin = 1500 * time.Millisecond
	// maxFreshAge is how long after an answer a connection is treated as fresh. Servers
	// may silently drop connections that were idle for 300 ms, and what is then sent on
	// one is lost; the remaining 100 ms are for the request to reach the server.
	maxFreshAge = 200 * time.Millisecond
	readBuffer  = 4 << 10 // bytes
	// rejectionWait is how long a new connection is observed before a request is sent on
	// it. A server at its connection limit resets a connection as it accepts it, within
	// about a millisecond. The outcome of a request that was sent before would be
	// uncertain, so that it could not be refused or freely sent again.
	rejectionWait = 3 * time.Millisecond
)

// conn is one connection to a server, used by one request at a time.
type conn struct {
	net         net.Conn
	reader      *bufio.Reader
	incoming    *boundedReader // what reader reads
	usableUntil time.Time      // time after which it must not be used
	answeredAt  time.Time      // time of the last answer or probe
	mayBeSent   bool           // bytes of the current request may have been sent
	connectTime time.Duration  // how long it took to open it; 0: it has been idle since
	meter       traffic.Meter

	// mayBeUnaccepted reports that the server's process may not have accepted the connection.
	mayBeUnaccepted bool

	abandoned      sync.Once
	acknowledgment acknowledgment
}

func newConn(c net.Conn, meter traffic.Meter) *conn {
	incoming := &boundedReader{source: meter.Reader(c)}
	incoming.begin("head", maxHeadBytes)
	return &conn{net: c, reader: bufio.NewReaderSize(incoming, readBuffer), incoming: incoming, meter: meter}
}

// abandon resets the connection, after recording whether bytes may still be in flight.
func (c *conn) abandon() {
	c.abandoned.Do(func() {
		c.acknowledgment.check(c.net)
		reset(c.net)
	})
}

// attemptError returns the error of an attempt whose connection was abandoned. Once the
// server's machine has closed the connection, unacknowledged bytes are no longer in flight.
func (c *conn) attemptError(server site.ServerID, cause error) *AttemptError {
	if isClosedByPeer(cause) {
		c.acknowledgment.markAcknowledged(clock.Now())
	}
	attempt := &AttemptError{Server: server, Sent: c.mayBeSent, Cause: cause}
	if !c.mayBeUnaccepted || isClosedByPeer(cause) {
		attempt.AcknowledgedAt = c.acknowledgment.acknowledgedAt()
	}
	return attempt
}

// markAnswered records that the connection has just carried an answer, and until when it
// may be kept.
func (c *conn) markAnswered(answer *Answer) {
	c.answeredAt = time.Now()
	c.usableUntil = c.answeredAt.Add(idleTime(answer.Header.Get("Keep-Alive")))
}

// write writes bytes of a request and counts them.
func (c *conn) write(p []byte) error {
	n, err := c.net.Write(p)
	c.meter.Sent(n)
	return err
}

// writeAtOnce writes a request whose body is small, with one call.
func (c *conn) writeAtOnce(head []byte, body bodies.Body) error {
	for _, segment := range body {
		head = append(head, segment...)
	}
	return c.write(head)
}

// writeInParts writes a request without copying its body.
func (c *conn) writeInParts(head []byte, body bodies.Body) error {
	if err := c.write(head); err != nil {
		return err
	}
	for _, segment := range body {
		if err := c.write(segment); err != nil {
			return err
		}
	}
	return nil
}

// checkEnd returns an error if the server has reset the connection, whose end ends an answer. The kernel reports a reset to one
// call only: if that was a write of the request, reads find a plain end. A server that ends its answer before it has read the whole
// request is waited for.
func (c *conn) checkEnd(ctx context.Context, written <-chan error) error {
	select {
	case err := <-written:
		if err != nil {
			return &ResetError{Cause: err}
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	if socket.IsReset(c.net) {
		return &ResetError{Cause: syscall.ECONNRESET}
	}
	return nil
}

// awaitRejection observes a new connection for rejectionWait and returns an error if the
// server closes it or sends bytes.
func (c *conn) awaitRejection(now time.Time) error {
	if err := c.net.SetReadDeadline(now.Add(rejectionWait)); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	var timeout net.Error
	switch {
	case err == nil:
		return unexpectedBytesError{}
	case !errors.As(err, &timeout) || !timeout.Timeout():
		return err
	}
	return c.net.SetReadDeadline(time.Time{})
}

// isClosedByPeer reports whether a read error means that the server closed or reset the
// connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// IsClosedByPeer reports whether a request's connection was closed or reset by the server
// before the end of its answer.
func IsClosedByPeer(err error) bool {
	return isClosedByPeer(err) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EPIPE)
}

// unexpectedBytesError reports that a connection received bytes that do not answer a
// request.
type unexpectedBytesError struct{}

// Error implements error.
func (unexpectedBytesError) Error() string { return "unexpected bytes on a new connection" }

// isIdle reports whether a connection is open and has nothing to read.
func (c *conn) isIdle() bool {
	return c.reader.Buffered() == 0 && socket.Peek(c.net) == socket.Idle
}

// idleTime returns how long a connection may be kept after an answer with this
// Keep-Alive header.
func idleTime(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		stated, err := strconv.Atoi(value)
		if err == nil {
			return max(time.Duration(stated)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTime
}
