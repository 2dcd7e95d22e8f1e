package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
)

// runToDeadline runs an at-most-once request whose connections are opened by dial, until its
// deadline.
func runToDeadline(t *testing.T, dial func(ctx context.Context, network, address string) (net.Conn, error)) result {
	t.Helper()
	x := newKeyedExchange(t)
	x.router.client = upstream.NewClient(x.router.headers, "a")
	x.router.client.SetDial(dial)
	x.route.Kind = site.AtMostOnce
	x.request = upstream.Request{Method: http.MethodPost, Target: "/", Host: "h"}
	x.deadline = time.Now().Add(200 * time.Millisecond)
	return x.runToItsDeadline()
}

// A request whose time ended while the node was still connecting was answered 504, as possibly
// run, and its caller could not come back. No byte of it had been written.
func TestRequestThatTimesOutWhileConnectingHasNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	end := runToDeadline(t, func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, errors.New("no connection")
	})
	g.Expect(end.refusal).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(end.refusal.status).To(gomega.Equal(http.StatusServiceUnavailable))
}

// What was written may have run.
func TestRequestThatTimesOutAfterItWasSentMayHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = listener.Close() }()
	end := runToDeadline(t, func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", listener.Addr().String())
	})
	g.Expect(end.refusal).To(gomega.BeNil())
	g.Expect(end.failure).To(gomega.Equal("timeout"))
}
