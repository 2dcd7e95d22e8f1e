package router

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// delayedServer answers each request after a delay, without checking the expected server,
// and reports each request that it received.
func delayedServer(t *testing.T, delay time.Duration) (address string, received <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	requests := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				requests <- struct{}{}
				time.Sleep(delay)
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// Servers that rejected new connections because they had too many were treated as lost, and
// the requests that they were running were aborted: on a large site, 138 requests in two
// seconds were answered with 502, one of them by a node that was shutting down.
func TestRequestInFlightIsKeptWhenItsServerRefusesNewConnections(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		g := gomega.NewWithT(t)
		x := newKeyedExchange(t)
		x.keyed = keyed
		x.request = upstream.Request{Method: http.MethodGet, Target: "/", Host: "h"}
		address, received := delayedServer(t, 3*minProbeDelay)
		server := site.Server{ID: "b", Service: "s", Address: address, Slots: 4}
		x.router.state.SetMembers([]view.Member{{Node: "n"}})
		x.router.state.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{"b": server}})
		x.router.refreshView()
		go func() {
			<-received
			x.service.releaseSlot(site.Server{ID: "b"}, pool.Outcome{Failed: true, NotReached: true})
		}()
		ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
		defer cancel()
		end := x.run(ctx)
		g.Expect(end.failure).To(gomega.BeEmpty(), "%v", x.trace.steps)
		g.Expect(end.answer).NotTo(gomega.BeNil())
		g.Expect(string(end.answer.Body)).To(gomega.Equal("ok"))
	}
}

// A server that is full and rejects a connection is not treated as failed.
func TestServerThatRejectsAConnectionIsTreatedAsFull(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newKeyedExchange(t)
	rejected := &upstream.AttemptError{Server: "b", Rejected: true, Cause: syscall.ECONNRESET}
	outcome := x.poolOutcome(context.Background(), attemptResult{err: rejected})
	g.Expect(outcome).To(gomega.Equal(pool.Outcome{NoCapacity: true}))
	refused := &upstream.AttemptError{Server: "b", Cause: syscall.ECONNREFUSED}
	outcome = x.poolOutcome(context.Background(), attemptResult{err: refused})
	g.Expect(outcome).To(gomega.Equal(pool.Outcome{Failed: true, NotReached: true}))
}

// Guards against a server that is taken for unreachable because its rest ends just when a request to it is given up.
func TestRestThatHasJustEndedIsNoFailure(t *testing.T) {
	x := newKeyedExchange(t)
	resting := &upstream.AttemptError{Server: "b", Cause: &upstream.RestingError{Until: time.Now()}}
	outcome := x.poolOutcome(context.Background(), attemptResult{err: resting})
	gomega.NewWithT(t).Expect(outcome).To(gomega.Equal(pool.Outcome{Abandoned: true}))
}
