package backendtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// received is one request that reached the fault server.
type received struct {
	method string
	path   string
	header http.Header
	body   []byte
	conn   int // number of the connection, from 1
}

// id returns the request's ID.
func (r received) id() string { return r.header.Get(serverapi.HeaderRequestID) }

// script is what the fault server does with one connection. The connection is
// closed when it returns.
type script func(c *rawConn)

// faultServer is a raw TCP server: each connection is handled by a script.
type faultServer struct {
	listener net.Listener
	play     script
	wait     sync.WaitGroup

	mu       sync.Mutex
	accepted int
	open     map[net.Conn]bool
	requests []received
}

// startFaultServer starts a server that runs until the test ends.
func startFaultServer(t testing.TB, play script) (*faultServer, backend.Target) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &faultServer{listener: listener, play: play, open: map[net.Conn]bool{}}
	s.wait.Go(s.accept)
	t.Cleanup(s.stop)
	return s, backend.Target{ID: "s1", Address: listener.Addr().String()}
}

func (s *faultServer) accept() {
	for {
		inner, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		number := s.accepted
		s.open[inner] = true
		s.mu.Unlock()
		s.wait.Go(func() {
			defer s.closed(inner)
			s.play(&rawConn{Conn: inner, reader: bufio.NewReader(inner), server: s, number: number})
		})
	}
}

func (s *faultServer) closed(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

func (s *faultServer) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// seen returns the requests that arrived completely, in order of arrival.
func (s *faultServer) seen() []received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]received(nil), s.requests...)
}

// countOf returns how often a request arrived, by its ID.
func (s *faultServer) countOf(requestID string) int {
	count := 0
	for _, request := range s.seen() {
		if request.id() == requestID {
			count++
		}
	}
	return count
}

// acceptedConns returns the number of connections accepted so far.
func (s *faultServer) acceptedConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// openConns returns the number of connections whose scripts still run.
func (s *faultServer) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// rawConn is one accepted connection.
type rawConn struct {
	net.Conn
	reader *bufio.Reader
	server *faultServer
	number int
}

// read reads and records one complete request; ok is false at the end of the
// connection.
func (c *rawConn) read() (request received, ok bool) {
	head, err := http.ReadRequest(c.reader)
	if err != nil {
		return received{}, false
	}
	body, err := io.ReadAll(head.Body)
	if err != nil {
		return received{}, false
	}
	request = received{method: head.Method, path: head.URL.RequestURI(), header: head.Header, body: body, conn: c.number}
	c.record(request)
	return request, true
}

// readHead reads only a request's header and records the request without a body.
func (c *rawConn) readHead() (request received, body io.Reader, ok bool) {
	head, err := http.ReadRequest(c.reader)
	if err != nil {
		return received{}, nil, false
	}
	request = received{method: head.Method, path: head.URL.RequestURI(), header: head.Header, conn: c.number}
	c.record(request)
	return request, head.Body, true
}

func (c *rawConn) record(request received) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.requests = append(c.server.requests, request)
}

// send writes raw bytes.
func (c *rawConn) send(format string, args ...any) {
	_, _ = fmt.Fprintf(c, format, args...)
}

// answer writes a complete, correct response.
func (c *rawConn) answer(request received, body string) {
	c.send("%s", answerText(request.id(), body))
}

// answerText returns a complete, correct response in its wire format.
func answerText(requestID, body string) string {
	return headText(requestID, fmt.Sprintf("Content-Length: %d", len(body))) + body
}

// headText returns a response's status line and header with extra header lines.
func headText(requestID string, lines ...string) string {
	head := "HTTP/1.1 200 OK\r\n" + serverapi.HeaderRequestID + ": " + requestID + "\r\n"
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// discardInput keeps the connection open, reading and discarding, until the
// driver closes it.
func (c *rawConn) discardInput() { _, _ = io.Copy(io.Discard, c.reader) }

// holdUnread keeps the connection open without reading until the channel closes.
func (c *rawConn) holdUnread(until <-chan struct{}) { <-until }

// reset closes the connection with a TCP reset.
func (c *rawConn) reset() {
	if tcp, is := c.Conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// echoAll answers every request with a body that contains its ID.
func echoAll(c *rawConn) {
	for {
		request, ok := c.read()
		if !ok {
			return
		}
		c.answer(request, echoOf(request.id()))
	}
}

// echoOf returns the body of the correct response to a request.
func echoOf(requestID string) string { return strings.Repeat("answer to "+requestID+"; ", 20) }

// firstThen runs one script on the first connection and another on the rest.
func firstThen(first, rest script) script {
	return func(c *rawConn) {
		if c.number == 1 {
			first(c)
			return
		}
		rest(c)
	}
}
