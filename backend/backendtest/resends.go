package backendtest

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
)

// describeResends fails a connection on its second request. In this case the
// transport of net/http resends requests without a body whose method is
// idempotent or that carry an Idempotency-Key; a driver must not.
func describeResends(open Open) {
	failures := map[string]script{
		"closed after the second request": answerThen(func(*rawConn) {}),
		"reset after the second request":  answerThen((*rawConn).reset),
	}
	requests := map[string]func() backend.Request{
		"GET":               func() backend.Request { return newRequest(http.MethodGet, true) },
		"HEAD":              func() backend.Request { return newRequest(http.MethodHead, true) },
		"PUT with body":     func() backend.Request { return withBody(newRequest(http.MethodPut, true)) },
		"DELETE":            func() backend.Request { return newRequest(http.MethodDelete, true) },
		"POST":              func() backend.Request { return newRequest(http.MethodPost, false) },
		"POST with key":     func() backend.Request { return withKey(newRequest(http.MethodPost, false)) },
		"POST key and body": func() backend.Request { return withBody(withKey(newRequest(http.MethodPost, false))) },
		// The router may mark a request with an idempotency key as idempotent; it
		// is not resent either.
		"keyed, pooled": func() backend.Request { return withKey(newRequest(http.MethodPost, true)) },
	}
	for _, failureName := range slices.Sorted(maps.Keys(failures)) {
		play := failures[failureName]
		table(failureName, requests, func(t testing.TB, build func() backend.Request) {
			g := gomega.NewWithT(t)
			server, target := startFaultServer(t, play)
			driver := open(t, longTimeouts())
			first := do(t, driver, target, newRequest(http.MethodGet, true))
			g.Expect(first.bodyErr).NotTo(gomega.HaveOccurred())

			req := build()
			got := do(t, driver, target, req)
			g.Expect(got.failure != nil || got.response != nil).To(gomega.BeTrue())
			expectCounted(g, server, req, got)
		})
	}
}

// expectCounted checks that a request that the driver failed arrived at most
// once, and that a request reported as not sent never arrived.
func expectCounted(g *gomega.WithT, server *faultServer, req backend.Request, got result) {
	most := 1
	if got.failure != nil && !got.failure.Sent {
		most = 0
	}
	g.Consistently(func() int { return server.countOf(req.RequestID) }, "50ms").
		Should(gomega.BeNumerically("<=", most))
	if got.failure == nil {
		g.Expect(got.bodyErr).NotTo(gomega.HaveOccurred())
	}
}

// answerThen answers the first request of the first connection, reads the
// second, and then calls end. On other connections the first request fails in
// the same way.
func answerThen(end func(c *rawConn)) script {
	return func(c *rawConn) {
		request, ok := c.read()
		if !ok {
			return
		}
		if c.number == 1 {
			c.answer(request, echoOf(request.id()))
			if _, ok = c.read(); !ok {
				return
			}
		}
		end(c)
	}
}

func withBody(req backend.Request) backend.Request {
	const body = "the body"
	req.Body, req.ContentLength = strings.NewReader(body), int64(len(body))
	return req
}

func withKey(req backend.Request) backend.Request {
	req.IdempotencyKey = "bs1-f7.1-1-0-0-0-b-n"
	return req
}
