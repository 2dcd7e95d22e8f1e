package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/socket"
)

func fixedTimeouts(head, idle time.Duration) callerTimeouts {
	return callerTimeouts{head: func() time.Duration { return head }, idle: func() time.Duration { return idle }}
}

// newCallerPair returns the node's and the caller's ends of a connection.
func newCallerPair(t *testing.T, owner *callerConns) (nodeEnd *callerConn, callerEnd net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callerEnd, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	t.Cleanup(func() { _ = callerEnd.Close(); _ = accepted.Close() })
	return owner.add(accepted), callerEnd
}

// isExpired reports whether the read deadline has been set to end the connection.
func isExpired(c *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		callers := newCallerConns(fixedTimeouts(time.Second, 15*time.Second), callerLimits{})
		raw, _ := net.Pipe()
		nodeEnd := callers.add(raw)
		callers.connState(nodeEnd, http.StateActive)
		callers.connState(nodeEnd, http.StateIdle)
		time.Sleep(14 * time.Second)
		callers.connState(nodeEnd, http.StateActive)
		time.Sleep(time.Minute)
		g.Expect(isExpired(nodeEnd)).To(gomega.BeFalse(), "a request was served")
		callers.connState(nodeEnd, http.StateIdle)
		time.Sleep(14 * time.Second)
		g.Expect(isExpired(nodeEnd)).To(gomega.BeFalse())
		time.Sleep(2 * time.Second)
		g.Expect(isExpired(nodeEnd)).To(gomega.BeTrue())
		callers.connState(nodeEnd, http.StateClosed)
	})
}

func TestConnectionsWithSlowHeadsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		callers := newCallerConns(fixedTimeouts(2*time.Second, time.Minute), callerLimits{})
		raw, _ := net.Pipe()
		nodeEnd := callers.add(raw)
		nodeEnd.recordRead(100, 10)
		time.Sleep(time.Second)
		g.Expect(isExpired(nodeEnd)).To(gomega.BeFalse())
		time.Sleep(2 * time.Second)
		g.Expect(isExpired(nodeEnd)).To(gomega.BeTrue())
		callers.connState(nodeEnd, http.StateClosed)
	})
}

// A stalled node finds the end of the idle timeout and a request on the connection at once.
// The request is served.
func TestConnectionWithArrivedRequestDoesNotExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{})
	nodeEnd, callerEnd := newCallerPair(t, callers)
	callers.connState(nodeEnd, http.StateActive)
	callers.connState(nodeEnd, http.StateIdle)
	_, err := io.WriteString(callerEnd, "GET / HTTP/1.1\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool { return socket.Peek(nodeEnd.Conn) == socket.Readable }).Should(gomega.BeTrue())
	nodeEnd.timeOut(nodeEnd.phaseStart)
	callers.endIdle(time.Now())
	g.Expect(isExpired(nodeEnd)).To(gomega.BeFalse(), "not read yet")

	_, err = nodeEnd.Read(make([]byte, 100))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	callers.endIdle(time.Now())
	g.Expect(isExpired(nodeEnd)).To(gomega.BeFalse(), "read, but not yet recognized as a request")
	callers.connState(nodeEnd, http.StateClosed)
}

// A request that is read while its connection expires is served, and its caller is not
// treated as having left.
func TestRequestReadWhileConnectionExpiresIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{})
	nodeEnd, callerEnd := newCallerPair(t, callers)
	callers.connState(nodeEnd, http.StateActive)
	callers.connState(nodeEnd, http.StateIdle)
	callers.endIdle(time.Now())
	g.Expect(isExpired(nodeEnd)).To(gomega.BeTrue())
	callers.connState(nodeEnd, http.StateActive)
	_, err := io.WriteString(callerEnd, "x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = nodeEnd.Read(make([]byte, 1))
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the deadline is cleared")
	callers.connState(nodeEnd, http.StateClosed)
}

func TestDrainAnswersArrivedRequestsAndClosesIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	server := &http.Server{ConnState: callers.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			started <- struct{}{}
			<-release
		}
		w.WriteHeader(http.StatusOK)
	})}
	go func() { _ = server.Serve(&callerListener{Listener: listener, owner: callers}) }()
	defer func() { _ = server.Close() }()
	connect := func(path string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return conn, bufio.NewReader(conn)
	}
	idle, idleReader := connect("/fast")
	defer func() { _ = idle.Close() }()
	first, err := http.ReadResponse(idleReader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Body.Close()).To(gomega.Succeed())
	slow, slowReader := connect("/slow")
	defer func() { _ = slow.Close() }()
	<-started
	g.Eventually(func() int { return callers.endIdle(time.Time{}) }, 10*time.Second).Should(gomega.Equal(1), "the idle connection is ended")
	_, err = idleReader.ReadByte()
	g.Expect(err).To(gomega.Equal(io.EOF))

	drained := make(chan error, 1)
	go func() { drained <- callers.drain(context.Background()) }()
	close(release)
	answer, err := http.ReadResponse(slowReader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(answer.Body.Close()).To(gomega.Succeed())
	g.Expect(<-drained).To(gomega.Succeed())
}

// Bytes of a request's body that arrived while it was served were treated as the beginning of
// the next request: the connection then had the 3 s of the head timeout between two requests,
// not the 15 s of the configured idle timeout, and was ended without a check whether a
// request had arrived.
func TestBodyIsNotTreatedAsNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{})
	server := callers.server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // the caller compares the length
		_, _ = io.WriteString(w, strconv.Itoa(len(body)))
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = server.Serve(&callerListener{Listener: listener, owner: callers}) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	body := strings.Repeat("x", 64<<10)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	length, err := io.ReadAll(answer.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Body.Close()).To(gomega.Succeed())
	g.Expect(string(length)).To(gomega.Equal(strconv.Itoa(len(body))))
	g.Eventually(func() []phase { return phases(callers) }, 10*time.Second).ShouldNot(gomega.ContainElement(serving))
	g.Expect(phases(callers)).To(gomega.Equal([]phase{awaitingRequest}))
}

// phases returns the phases of the open connections.
func phases(callers *callerConns) []phase {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	var all []phase
	for c := range callers.open {
		c.mu.Lock()
		all = append(all, c.phase)
		c.mu.Unlock()
	}
	return all
}
