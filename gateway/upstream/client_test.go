package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
)

var headers = upstream.Headers{
	RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", Key: "Key", NotRun: "Not-Run", Load: "Load",
	ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false },
}

// responder returns the bytes that answer the n-th request (from 0) on any connection, and
// whether the connection is then kept, closed or reset.
type responder func(n int, r *http.Request) (answer string, end connEnd)

type connEnd int

const (
	keep connEnd = iota
	closeConn
	resetConn
)

// serve runs a server of scripted answers and counts its connections.
func serve(t *testing.T, answers responder) (site.Server, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var conns, requests atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serveConn(conn.(*net.TCPConn), answers, &requests)
		}
	}()
	return site.Server{ID: "s", Address: listener.Addr().String()}, &conns
}

func serveConn(conn *net.TCPConn, answers responder, requests *atomic.Int32) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		answer, end := answers(int(requests.Add(1))-1, request)
		_, _ = conn.Write([]byte(answer))
		if end == resetConn {
			time.Sleep(20 * time.Millisecond) // so that the reset does not discard the bytes
			_ = conn.SetLinger(0)
		}
		if end != keep {
			_ = conn.Close()
			return
		}
	}
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func get(id string) *upstream.Request {
	return &upstream.Request{Method: http.MethodGet, Target: "/a?b=c", Host: "h", Header: http.Header{"Request-Id": {id}, "X": {"y"}, "Connection": {"X2"}, "X2": {"z"}}, ID: id, Remaining: time.Second}
}

func send(t *testing.T, client *upstream.Client, server site.Server, id string) (*upstream.Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Send(ctx, server, get(id))
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	var seen *http.Request
	server, _ := serve(t, func(_ int, r *http.Request) (string, connEnd) {
		seen = r
		return ok("1", "x"), closeConn
	})
	answer, err := send(t, upstream.NewClient(headers, "a"), server, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer.Body)).To(gomega.Equal("x"))
	g.Expect(seen.RequestURI).To(gomega.Equal("/a?b=c"))
	g.Expect(seen.Host).To(gomega.Equal("h"))
	g.Expect(seen.Header.Get("X")).To(gomega.Equal("y"))
	g.Expect(seen.Header.Get("X2")).To(gomega.BeEmpty(), "listed in Connection")
	g.Expect(seen.Header.Get("Expected")).To(gomega.Equal("s"))
	g.Expect(seen.Header.Get("Timeout")).To(gomega.Equal("1000"))
}

func TestConnectionIsKeptForTheNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	server, conns := serve(t, func(_ int, r *http.Request) (string, connEnd) { return ok(r.Header.Get("Request-Id"), "x"), keep })
	client := upstream.NewClient(headers, "a")
	for _, id := range []string{"1", "2", "3"} {
		_, err := send(t, client, server, id)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(conns.Load()).To(gomega.Equal(int32(1)))
}

// Guards against a server that is taken for slow because a connection to it had to be opened.
func TestAnswersSayHowLongTheirConnectionTook(t *testing.T) {
	g := gomega.NewWithT(t)
	server, _ := serve(t, func(_ int, r *http.Request) (string, connEnd) { return ok(r.Header.Get("Request-Id"), "x"), keep })
	client := upstream.NewClient(headers, "")
	for _, isNew := range []bool{true, false} {
		answer, err := send(t, client, server, "1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(answer.ConnectTime > 0).To(gomega.Equal(isNew))
	}
}

// A connection is closed if it is uncertain which request its next bytes belong to, and
// none of the answer reaches a caller.
func TestUnusableAnswersAreErrors(t *testing.T) {
	for name, answer := range map[string]responder{
		"of another request": func(int, *http.Request) (string, connEnd) { return ok("9", "x"), keep },
		"cut short": func(int, *http.Request) (string, connEnd) {
			return "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nx", closeConn
		},
		"chunks cut short": func(int, *http.Request) (string, connEnd) {
			return "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", closeConn
		},
		"no HTTP": func(int, *http.Request) (string, connEnd) { return "\x00\x01garbage\r\n\r\n", closeConn },
		"without length, reset": func(int, *http.Request) (string, connEnd) {
			return "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc", resetConn
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, conns := serve(t, func(n int, r *http.Request) (string, connEnd) {
				if n == 0 {
					return answer(n, r)
				}
				return ok("2", "y"), keep
			})
			client := upstream.NewClient(headers, "a")
			_, err := send(t, client, server, "1")
			var attempt *upstream.AttemptError
			g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue())
			g.Expect(attempt.Sent).To(gomega.BeTrue(), "the request may have run")
			next, err := send(t, client, server, "2")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(next.Body)).To(gomega.Equal("y"))
			g.Expect(conns.Load()).To(gomega.Equal(int32(2)), "the connection was closed")
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	server, _ := serve(t, func(int, *http.Request) (string, connEnd) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc", closeConn
	})
	answer, err := send(t, upstream.NewClient(headers, "a"), server, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer.Body)).To(gomega.Equal("abc"))
}

func TestExtraBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	server, conns := serve(t, func(n int, r *http.Request) (string, connEnd) {
		id := r.Header.Get("Request-Id")
		if n == 0 {
			return ok(id, "x") + ok(id, "again"), keep
		}
		return ok(id, "y"), keep
	})
	client := upstream.NewClient(headers, "a")
	first, err := send(t, client, server, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(first.Body)).To(gomega.Equal("x"))
	second, err := send(t, client, server, "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(second.Body)).To(gomega.Equal("y"))
	g.Expect(conns.Load()).To(gomega.Equal(int32(2)))
}

func TestIdleConnectionThatTheServerClosedIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	server, conns := serve(t, func(n int, r *http.Request) (string, connEnd) {
		if n == 0 {
			return ok(r.Header.Get("Request-Id"), "x"), closeConn // without a Connection: close header
		}
		return ok(r.Header.Get("Request-Id"), "y"), keep
	})
	client := upstream.NewClient(headers, "a")
	_, err := send(t, client, server, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(50 * time.Millisecond) // until the close has arrived
	_, err = send(t, client, server, "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conns.Load()).To(gomega.Equal(int32(2)))
}

// A server may silently drop a connection that was idle for 300 ms, so at-most-once
// requests are sent only on connections that were used within maxFreshAge.
func TestAtMostOnceRequestUsesOnlyFreshConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	server, conns := serve(t, func(_ int, r *http.Request) (string, connEnd) { return ok(r.Header.Get("Request-Id"), "x"), keep })
	client := upstream.NewClient(headers, "a")
	request := get("1")
	request.Fresh = true
	_, err := client.Send(context.Background(), server, request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(250 * time.Millisecond)
	_, err = client.Send(context.Background(), server, request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conns.Load()).To(gomega.Equal(int32(2)))
}

func TestServerWithoutListenerWasNotReached(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listener.Close()).To(gomega.Succeed())
	_, err = send(t, upstream.NewClient(headers, "a"), site.Server{ID: "s", Address: listener.Addr().String()}, "1")
	var attempt *upstream.AttemptError
	g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue())
	g.Expect(attempt.Sent).To(gomega.BeFalse())
}

func TestEndOfTheContextResetsTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	gone := make(chan struct{})
	server, _ := serve(t, func(int, *http.Request) (string, connEnd) {
		time.Sleep(50 * time.Millisecond)
		close(gone)
		return "", keep
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := upstream.NewClient(headers, "a").Send(ctx, server, get("1"))
	var attempt *upstream.AttemptError
	g.Expect(errors.As(err, &attempt)).To(gomega.BeTrue())
	g.Expect(attempt.Sent).To(gomega.BeTrue())
	<-gone
}
