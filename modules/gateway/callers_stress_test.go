package gateway

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// pausedConn is a connection at a node that stalls for a moment before and after each read.
type pausedConn struct{ net.Conn }

func (c *pausedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *pausedConn) Read(p []byte) (int, error) {
	pause()
	n, err := c.Conn.Read(p)
	pause()
	return n, err
}

func pause() {
	if rand.IntN(4) > 0 {
		runtime.Gosched()
		return
	}
	time.Sleep(time.Duration(rand.Int64N(int64(3 * time.Millisecond))))
}

// Whatever the pauses and timeouts of a node, a request that a handler received is answered
// on its connection, unless the caller has left.
func TestEveryReadRequestIsAnswered(t *testing.T) {
	const callersAtOnce, requests = 64, 40
	g := gomega.NewWithT(t)
	callers := newCallerConns(fixedTimeouts(2*time.Millisecond, time.Millisecond), callerLimits{})
	var served, leftEarly atomic.Int32
	server := callers.server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		pause()
		if r.Context().Err() != nil {
			leftEarly.Add(1)
		}
		_, _ = io.WriteString(w, "whole")
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	paused := &wrappingListener{listener, func(c net.Conn) net.Conn { return &pausedConn{c} }}
	go func() { _ = server.Serve(&callerListener{Listener: paused, owner: callers}) }()
	defer func() { _ = server.Close() }()
	var answered atomic.Int32
	var all sync.WaitGroup
	for range callersAtOnce {
		all.Go(func() { answered.Add(callRepeatedly(listener.Addr().String(), requests)) })
	}
	all.Wait()
	g.Expect(leftEarly.Load()).To(gomega.BeZero(), "callers treated as having left")
	g.Expect(answered.Load()).To(gomega.Equal(served.Load()), "answered requests equal served requests")
	_ = listener.Close()
	g.Expect(callers.drain(context.Background())).To(gomega.Succeed())
}

// callRepeatedly sends requests on keep-alive connections, with pauses about as long as the
// node's timeouts, and returns how many were answered. A connection that ends is replaced by
// a new one.
func callRepeatedly(address string, requests int) (answered int32) {
	var conn net.Conn
	var reader *bufio.Reader
	for range requests {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); err != nil {
				return answered
			}
			reader = bufio.NewReader(conn)
		}
		if err := callOnce(conn, reader); err != nil {
			_ = conn.Close()
			conn = nil
			continue
		}
		answered++
		pause()
	}
	if conn != nil {
		_ = conn.Close()
	}
	return answered
}

func callOnce(conn net.Conn, reader *bufio.Reader) error {
	text := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	if rand.IntN(3) == 0 {
		text = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\n\r\n" + strings.Repeat("x", 8000)
	}
	cut := rand.IntN(len(text))
	if _, err := io.WriteString(conn, text[:cut]); err != nil {
		return err
	}
	if rand.IntN(2) == 0 {
		pause()
	}
	if _, err := io.WriteString(conn, text[cut:]); err != nil {
		return err
	}
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close() // read to its end
	if err != nil || string(body) != "whole" {
		return io.ErrUnexpectedEOF
	}
	return nil
}
