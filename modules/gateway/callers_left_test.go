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

// stalledConn is a caller's connection at a stalled node: a read starts only once gate is
// closed, and reads beyond maxReads block until a read deadline is set.
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

// SetReadDeadline ends a blocked read, as the deadline of a real connection does.
func (c *stalledConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		c.unblockOnce.Do(func() { close(c.unblock) })
	}
	return c.Conn.SetReadDeadline(deadline)
}

// A stalled node finds a request and the end of its connection at once. It read the request,
// sent it on, and only then read the end of the connection and gave up on the request: at a
// node that had not read for 1.6 s, a request whose caller left at 5.991 s reached the server
// at 7.183 s.
func TestRequestOfDepartedCallerIsNotForwarded(t *testing.T) {
	g := gomega.NewWithT(t)
	server, requests := countingServer(t)
	gate := make(chan struct{})
	var accepted atomic.Pointer[stalledConn]
	address := startFront(t, server, func(conn net.Conn) net.Conn {
		// The request takes one read. The next read would show that the caller has left; it
		// blocks, as on a node that processes events one by one.
		c := &stalledConn{Conn: conn, gate: gate, maxReads: 1, unblock: make(chan struct{})}
		accepted.Store(c)
		return c
	})
	caller, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(caller.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	defer func() { _ = caller.Close() }()
	g.Eventually(accepted.Load, 10*time.Second).ShouldNot(gomega.BeNil())
	g.Consistently(func() int32 { return requests.Load() }, 50*time.Millisecond).Should(gomega.BeZero())
	close(gate)
	_, err = io.ReadAll(caller) // until the node closes the connection
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(requests.Load()).To(gomega.BeZero(), "requests forwarded for a caller that had left")
}

// A caller that closes its half of the connection is treated as having left. It may still
// read, and must not get an empty success response that no server sent.
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

// Arrived bytes and the end of the connection are distinguished: the caller of a connection
// with bytes of a next request has not left.
func TestCallerWithPipelinedRequestHasNotLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{})
	nodeEnd, callerEnd := newCallerPair(t, callers)
	g.Expect(nodeEnd.Disconnected()).To(gomega.BeFalse())
	_, err := io.WriteString(callerEnd, "GET")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() socket.State { return socket.Peek(nodeEnd.Conn) }, 10*time.Second).Should(gomega.Equal(socket.Readable))
	g.Expect(nodeEnd.Disconnected()).To(gomega.BeFalse())
	_, err = nodeEnd.Read(make([]byte, 10))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(callerEnd.Close()).To(gomega.Succeed())
	g.Eventually(nodeEnd.Disconnected, 10*time.Second).Should(gomega.BeTrue())
}
