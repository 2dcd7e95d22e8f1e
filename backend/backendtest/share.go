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

// describeShare: a driver opens no more connections for requests than it was given,
// however requests come.
func describeShare(open Open) {
	it("one request too many is not sent", open, runFull)
	it("idle connections make way for new ones", open, runReplace)
	it("a new connection for what is not idempotent", open, runFresh)
	it("forgotten server", open, runForget)
}

func runFull(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, afterRequest(func(c *rawConn, _ received) { c.stay() }))
	options := patient()
	options.Connections = 3
	options.ConnectTimeout = soon
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

// runReplace: with a share of one connection, each new one must wait until the
// idle one is closed. The server answers only once it sees that.
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
	options := patient()
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

// waitUntil polls a condition and gives up after a while.
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

// runFresh: a request that must not be repeated never goes out on a connection
// that carried another, since that may have gone silent or be about to close.
func runFresh(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, echoAll)
	driver := open(t, patient())
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
	driver := open(t, patient())
	expectHealthy(t, driver, target)
	driver.Forget(target.ID)
	g.Eventually(server.openConns, eventually).Should(gomega.BeZero())
	expectHealthy(t, driver, target)
}
