package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

// stalledConn is a caller's connection at a node that stands still: a read is
// only begun once the gate is open, and one after more than most reads never.
type stalledConn struct {
	net.Conn
	gate        <-chan struct{}
	maxReads    int32
	reads       atomic.Int32
	unblock     chan struct{}
	unblockOnce sync.Once
}

func (c *stalledConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *stalledConn) Read(p []byte) (int, error) {
	<-c.gate
	if c.reads.Add(1) > c.maxReads {
		<-c.unblock
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// SetReadDeadline ends the read that never begins, as the deadline of a real one does.
func (c *stalledConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		c.unblockOnce.Do(func() { close(c.unblock) })
	}
	return c.Conn.SetReadDeadline(deadline)
}

// A node that stands still for a moment finds a request and the end of its
// connection at once. It read the first, sent the request on, read the second, and
// gave the request up: "5.991 the caller leaves; 7.183 the request reaches the server"
// of a node that had not read it for 1.6 s.
func TestRequestOfDepartedCallerIsNotForwarded(t *testing.T) {
	g := gomega.NewWithT(t)
	server, requests := countingServer(t)
	gate := make(chan struct{})
	var here atomic.Pointer[stalledConn]
	address := startFront(t, server, func(conn net.Conn) net.Conn {
		// The request is one read. The next one would tell that the caller has left;
		// it is not begun, as when the node does one thing after the other.
		c := &stalledConn{Conn: conn, gate: gate, maxReads: 1, unblock: make(chan struct{})}
		here.Store(c)
		return c
	})
	caller, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(caller.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	defer func() { _ = caller.Close() }()
	g.Eventually(here.Load, 10*time.Second).ShouldNot(gomega.BeNil())
	g.Consistently(func() int32 { return requests.Load() }, 50*time.Millisecond).Should(gomega.BeZero())
	close(gate)
	_, err = io.ReadAll(caller) // until the node closes the connection
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(requests.Load()).To(gomega.BeZero(), "requests sent on for a caller that had left")
}

// A caller that closes its half of the connection counts as one that has left. It
// may still read: what it gets must not be an empty success that no server gave.
func TestHalfClosedCallerGetsNoSuccessWithoutServerResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	running := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
	}))
	defer server.Close()
	address := startFront(t, strings.TrimPrefix(server.URL, "http://"), func(conn net.Conn) net.Conn { return conn })
	caller, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = caller.Close() }()
	_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-running
	g.Expect(caller.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err == nil {
		_ = answer.Body.Close()
		g.Expect(answer.StatusCode).To(gomega.BeNumerically(">=", http.StatusInternalServerError))
	}
}

// What has arrived and what has ended is told apart: a connection with bytes of a
// next request is not one whose caller has left.
func TestCallerWithPipelinedRequestHasNotLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute))
	here, there := callerPair(t, callers)
	g.Expect(here.Left()).To(gomega.BeFalse())
	_, err := io.WriteString(there, "GET")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() socket.State { return socket.Look(here.Conn) }, 10*time.Second).Should(gomega.Equal(socket.Bytes))
	g.Expect(here.Left()).To(gomega.BeFalse())
	_, err = here.Read(make([]byte, 10))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(there.Close()).To(gomega.Succeed())
	g.Eventually(here.Left, 10*time.Second).Should(gomega.BeTrue())
}
