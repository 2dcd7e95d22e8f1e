package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/socket"
	"github.com/burdockspindle/burdockspindle/gateway/traffic"
)

// Idle connections are not used beyond these ages.
const (
	// defaultIdleTime is how long a connection is kept without a statement of the
	// server: under the shortest idle timeout of common servers, 5 s.
	defaultIdleTime = 4 * time.Second
	// idleMargin is left before the idle timeout that a server states, for the
	// request's way to it.
	idleMargin = 1500 * time.Millisecond
	// maxFreshAge is how long after an answer a connection counts as fresh. Servers
	// may forget connections that rested for 300 ms without a notice, and what is
	// sent on one then is lost; the rest is for the way there.
	maxFreshAge = 200 * time.Millisecond
	readBuffer  = 4 << 10 // bytes
	// rejectionWait is how long a new connection is watched before a request goes out
	// on it. A server at its limit of connections resets one as it accepts it, within
	// about a millisecond; a request that was already sent then may have run for all
	// that the node knows, and must not be refused or sent again freely.
	rejectionWait = 3 * time.Millisecond
)

// conn is one connection to a server, used by one request at a time.
type conn struct {
	net         net.Conn
	reader      *bufio.Reader
	usableUntil time.Time // not to be used after this
	answeredAt  time.Time // when it proved to work last
	mayBeSent   bool      // bytes of the present request may have left
	meter       traffic.Meter

	// mayBeUnaccepted tells that the server's process may not have accepted the connection.
	mayBeUnaccepted bool

	abandoned      sync.Once
	acknowledgment acknowledgment
}

func newConn(c net.Conn, meter traffic.Meter) *conn {
	return &conn{net: c, reader: bufio.NewReaderSize(meter.Reader(c), readBuffer), meter: meter}
}

// abandon resets the connection, and notes before that whether bytes may still be under way.
func (c *conn) abandon() {
	c.abandoned.Do(func() {
		c.acknowledgment.check(c.net)
		reset(c.net)
	})
}

// attemptError returns the error of an attempt whose connection was abandoned. What the server's
// machine has not acknowledged is no longer under way once it has ended the connection.
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

// markAnswered notes that the connection has carried an answer just now.
func (c *conn) markAnswered(answer *Answer) {
	c.answeredAt = time.Now()
	c.usableUntil = c.answeredAt.Add(idleTime(answer.Header.Get("Keep-Alive")))
}

// write writes a part of a request.
func (c *conn) write(p []byte) error {
	n, err := c.net.Write(p)
	c.meter.Sent(n)
	return err
}

// awaitRejection watches a new connection and returns an error if the server ends it or
// speaks first.
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

// isClosedByPeer reports whether an error of reading tells that the server ended the
// connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// unexpectedBytesError tells that a connection has bytes that no request waits
// for.
type unexpectedBytesError struct{}

// Error implements error.
func (unexpectedBytesError) Error() string { return "unexpected bytes" }

// isIdle reports whether an idle connection is open and has nothing to read.
func (c *conn) isIdle() bool {
	return c.reader.Buffered() == 0 && socket.Look(c.net) == socket.Quiet
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
