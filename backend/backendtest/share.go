package backendtest

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// describeShare checks that a driver never opens more connections for requests
// than its quota.
func describeShare(open Open) {
	it("one request too many is not sent", open, runQuotaExceeded)
	it("idle connections are closed for new ones", open, runReplace)
	it("a new connection for a request that is not idempotent", open, runNewConnection)
	it("forgotten server", open, runForget)
}

func runQuotaExceeded(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, afterRequest(func(c *rawConn, _ received) { c.discardInput() }))
	options := longTimeouts()
	options.Connections = 3
	options.ConnectTimeout = shortTimeout
	driver := open(t, options)
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for i := range options.Connections {
		wait.Go(func() {
			defer ginkgo.GinkgoRecover()
			doContext(t, ctx, driver, target, newRequest(http.MethodGet, i%2 == 0))
		})
	}
	g.Eventually(server.acceptedConns, eventually).Should(gomega.Equal(options.Connections))
	for _, idempotent := range []bool{true, false} {
		got := do(t, driver, target, newRequest(http.MethodGet, idempotent))
		g.Expect(got.failure).NotTo(gomega.BeNil())
		g.Expect(got.failure.Sent).To(gomega.BeFalse())
	}
	g.Expect(server.acceptedConns()).To(gomega.Equal(options.Connections))
	cancel()
	wait.Wait()
}

// runReplace sets a quota of one connection, so that each new connection must wait
// until the idle one is closed. The server responds only once it observes that.
func runReplace(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	var server *faultServer
	ready := make(chan struct{})
	server, target := startFaultServer(t, func(c *rawConn) {
		<-ready
		for {
			request, ok := c.read()
			if !ok {
				return
			}
			if !waitUntil(func() bool { return server.openConns() == 1 }) {
				return
			}
			c.answer(request, echoOf(request.id()))
		}
	})
	close(ready)
	options := longTimeouts()
	options.Connections = 1
	driver := open(t, options)
	for range 10 {
		for _, idempotent := range []bool{true, true, false} {
			req := newRequest(http.MethodGet, idempotent)
			got := do(t, driver, target, req)
			g.Expect(got.failure).To(gomega.BeNil(), "two connections at once")
			g.Expect(got.body).To(gomega.Equal(echoOf(req.RequestID)))
		}
	}
}

// waitUntil polls a condition and reports whether it became true within 5000 tries.
func waitUntil(condition func() bool) bool {
	const pause, tries = time.Millisecond, 5000
	for range tries {
		if condition() {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// runNewConnection checks that a request that is not idempotent is never sent on a reused
// connection, because that may have stalled or be about to close.
func runNewConnection(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, echoAll)
	driver := open(t, longTimeouts())
	for i := range 9 {
		got := do(t, driver, target, newRequest(http.MethodGet, i%3 > 0))
		g.Expect(got.failure).To(gomega.BeNil())
	}
	carried := map[int]int{}
	for _, request := range server.seen() {
		carried[request.conn]++
	}
	for i, request := range server.seen() {
		if i%3 == 0 {
			g.Expect(carried[request.conn]).To(gomega.Equal(1), "request %d", i)
		}
	}
}

func runForget(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, echoAll)
	driver := open(t, longTimeouts())
	expectHealthy(t, driver, target)
	driver.Forget(target.ID)
	g.Eventually(server.openConns, eventually).Should(gomega.BeZero())
	expectHealthy(t, driver, target)
}
