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

// callerPair returns a caller's connection as the node sees it, and the caller's
// end.
func callerPair(t *testing.T, owner *callerConns) (here *callerConn, there net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	there, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	t.Cleanup(func() { _ = there.Close(); _ = accepted.Close() })
	return owner.add(accepted), there
}

// isExpired reports whether the node's next read fails.
func isExpired(c *callerConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expired
}

func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		callers := newCallerConns(fixedTimeouts(time.Second, 15*time.Second))
		raw, _ := net.Pipe()
		here := callers.add(raw)
		callers.connState(here, http.StateActive)
		callers.connState(here, http.StateIdle)
		time.Sleep(14 * time.Second)
		callers.connState(here, http.StateActive)
		time.Sleep(time.Minute)
		g.Expect(isExpired(here)).To(gomega.BeFalse(), "a request was served")
		callers.connState(here, http.StateIdle)
		time.Sleep(14 * time.Second)
		g.Expect(isExpired(here)).To(gomega.BeFalse())
		time.Sleep(2 * time.Second)
		g.Expect(isExpired(here)).To(gomega.BeTrue())
		callers.connState(here, http.StateClosed)
	})
}

func TestConnectionsWithSlowHeadsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		callers := newCallerConns(fixedTimeouts(2*time.Second, time.Minute))
		raw, _ := net.Pipe()
		here := callers.add(raw)
		here.recordRead(100)
		time.Sleep(time.Second)
		g.Expect(isExpired(here)).To(gomega.BeFalse())
		time.Sleep(2 * time.Second)
		g.Expect(isExpired(here)).To(gomega.BeTrue())
		callers.connState(here, http.StateClosed)
	})
}

// A node that stood still for a moment finds the end of the idle time and a
// request on the connection at once. The request is served.
func TestConnectionWithArrivedRequestDoesNotExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute))
	here, there := callerPair(t, callers)
	callers.connState(here, http.StateActive)
	callers.connState(here, http.StateIdle)
	_, err := io.WriteString(there, "GET / HTTP/1.1\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool { return socket.Look(here.Conn) == socket.Bytes }).Should(gomega.BeTrue())
	here.timeOut(here.phaseStart)
	callers.endIdle(time.Now())
	g.Expect(isExpired(here)).To(gomega.BeFalse(), "not read yet")

	_, err = here.Read(make([]byte, 100))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	callers.endIdle(time.Now())
	g.Expect(isExpired(here)).To(gomega.BeFalse(), "read, and not yet known to be a request")
	callers.connState(here, http.StateClosed)
}

// A request that was read in the moment in which its connection was ended is
// served, and its caller is not taken to have left.
func TestRequestReadWhileConnectionExpiresIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute))
	here, there := callerPair(t, callers)
	callers.connState(here, http.StateActive)
	callers.connState(here, http.StateIdle)
	callers.endIdle(time.Now())
	g.Expect(isExpired(here)).To(gomega.BeTrue())
	callers.connState(here, http.StateActive)
	_, err := io.WriteString(there, "x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = here.Read(make([]byte, 1))
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the deadline is lifted")
	callers.connState(here, http.StateClosed)
}

func TestDrainAnswersArrivedRequestsAndClosesIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute))
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
	g.Eventually(func() int { return callers.endIdle(time.Time{}) }, 10*time.Second).Should(gomega.Equal(1), "the idle one is ended")
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

// The bytes of a request's body came while it was served, and were taken for the
// beginning of the next request: the connection then had the 3 s of a head between
// two requests, not the 15 s that the configuration gives it, and it was ended
// without a look whether a request had arrived.
func TestBodyIsNotTreatedAsNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute))
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

// phases returns where the open connections stand.
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
