package backendtest

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// describeMixing: whatever arrives late, twice or too long on a connection never
// becomes part of another request's answer.
func describeMixing(open Open) {
	surplus := map[string]func(r received) string{
		"answer sent twice":             func(r received) string { return answerText(r.id(), "again") },
		"answer of another request":     func(received) string { return answerText("request-0", "foreign") },
		"bytes beyond the length":       func(received) string { return "surplus" },
		"another answer without its ID": func(received) string { return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad" },
	}
	table("surplus", surplus, func(t testing.TB, extra func(r received) string) { runSurplus(t, open, extra) })
	it("late answer of a request given up", open, runGivenUp)
	it("many at once", open, runMany)
}

// runSurplus sends several requests to a server that sends more than it should
// on every connection: each must get its own answer or a failure.
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
	driver := open(t, patient())
	for range 30 {
		req := newRequest(http.MethodGet, true)
		got := do(t, driver, target, req)
		if got.failure == nil && got.bodyErr == nil {
			g.Expect(got.body).To(gomega.Equal(echoOf(req.RequestID)))
		}
	}
}

// runGivenUp cancels a request whose answer the server sends later on the same
// connection.
func runGivenUp(t testing.TB, open Open) {
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
	driver := open(t, patient())
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

// runMany sends many requests at once over few connections.
func runMany(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	_, target := startFaultServer(t, echoAll)
	driver := open(t, patient())
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
