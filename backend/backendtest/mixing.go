package backendtest

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// describeMixing checks that data which arrives late, twice or in excess on a
// connection never becomes part of another request's response.
func describeMixing(open Open) {
	surplus := map[string]func(r received) string{
		"answer sent twice":             func(r received) string { return answerText(r.id(), "again") },
		"answer of another request":     func(received) string { return answerText("request-0", "foreign") },
		"bytes beyond the length":       func(received) string { return "surplus" },
		"another answer without its ID": func(received) string { return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad" },
	}
	table("surplus", surplus, func(t testing.TB, extra func(r received) string) { runSurplus(t, open, extra) })
	it("late answer of a request given up", open, runLateResponse)
	it("many at once", open, runConcurrent)
}

// runSurplus sends several requests to a server that sends surplus data on every
// connection: each request must get its own response or an error.
func runSurplus(t testing.TB, open Open, extra func(r received) string) {
	g := gomega.NewWithT(t)
	_, target := startFaultServer(t, func(c *rawConn) {
		for {
			request, ok := c.read()
			if !ok {
				return
			}
			c.send("%s%s", answerText(request.id(), echoOf(request.id())), extra(request))
		}
	})
	driver := open(t, longTimeouts())
	for range 30 {
		req := newRequest(http.MethodGet, true)
		got := do(t, driver, target, req)
		if got.failure == nil && got.bodyErr == nil {
			g.Expect(got.body).To(gomega.Equal(echoOf(req.RequestID)))
		}
	}
}

// runLateResponse cancels a request whose response the server later sends on the same
// connection.
func runLateResponse(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	goOn := sync.OnceFunc(func() { close(cancelled) })
	defer goOn() // also when an expectation fails
	_, target := startFaultServer(t, firstThen(func(c *rawConn) {
		request, _ := c.read()
		close(arrived)
		<-cancelled
		c.answer(request, "too late")
		echoAll(c)
	}, echoAll))
	driver := open(t, longTimeouts())
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	got := doContext(t, ctx, driver, target, newRequest(http.MethodGet, true))
	g.Expect(got.failure).NotTo(gomega.BeNil())
	goOn()
	expectHealthy(t, driver, target)
}

// runConcurrent sends many concurrent requests over few connections.
func runConcurrent(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	_, target := startFaultServer(t, echoAll)
	driver := open(t, longTimeouts())
	var wait sync.WaitGroup
	const callers, each = 16, 25
	results := make(chan bool, callers*each)
	for caller := range callers {
		wait.Go(func() {
			defer ginkgo.GinkgoRecover()
			for i := range each {
				req := newRequest(http.MethodGet, (caller+i)%3 > 0)
				got := do(t, driver, target, req)
				results <- got.failure == nil && got.bodyErr == nil && got.body == echoOf(req.RequestID)
			}
		})
	}
	wait.Wait()
	close(results)
	for own := range results {
		g.Expect(own).To(gomega.BeTrue())
	}
}
