package backendtest

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

func asAttempt(err error, target **backend.AttemptError) bool { return errors.As(err, target) }

// verdict is the result that a driver must report for an attempt.
type verdict int

const (
	failedSent       verdict = iota + 1 // no response, may have run
	failedMaybeSent                     // no response; whether it was sent depends on timing
	stalled                             // no response, may have run, connection stalled
	truncated                           // an incomplete response
	truncatedStalled                    // an incomplete response, connection stalled
	complete                            // a complete response
)

// attemptCase is one row of the fault table: what the server does with the
// first connection, and what the driver must report. The server responds
// correctly on all later connections.
type attemptCase struct {
	name string
	play script
	want verdict
	// options has short timeouts when the fault is a stalled connection, and long
	// ones (the default) otherwise.
	options func() Options
	check   func(g *gomega.WithT, got result)
}

func attemptCases() []attemptCase {
	return []attemptCase{
		{name: "reset before any byte", want: failedMaybeSent, play: func(c *rawConn) { c.reset() }},
		{name: "closed before any byte", want: failedMaybeSent, play: func(*rawConn) {}},
		{name: "reset after the request", want: failedSent, play: afterRequest(func(c *rawConn, _ received) { c.reset() })},
		{name: "closed after the request", want: failedSent, play: afterRequest(func(*rawConn, received) {})},
		{name: "not HTTP", want: failedSent, play: afterRequest(func(c *rawConn, _ received) { c.send("hello\r\n\r\n") })},
		{name: "half a header", want: failedSent, play: afterRequest(func(c *rawConn, _ received) { c.send("HTTP/1.1 200 OK\r\nContent-Le") })},
		{name: "header without end", want: failedSent, play: afterRequest(sendEndlessHeader)},
		{name: "stalled after the request", want: stalled, options: shortTimeouts, play: afterRequest(func(c *rawConn, _ received) { c.discardInput() })},
		{name: "stalled after half a header", want: stalled, options: shortTimeouts, play: afterRequest(func(c *rawConn, _ received) {
			c.send("HTTP/1.1 200 OK\r\nContent-Le")
			c.discardInput()
		})},
		{name: "another request's ID", want: failedSent, play: afterRequest(func(c *rawConn, _ received) {
			c.send("%s", answerText("request-0", "for somebody else"))
			c.discardInput()
		})},
		{name: "no request ID", want: failedSent, play: afterRequest(func(c *rawConn, _ received) {
			c.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			c.discardInput()
		})},
		{name: "neither length nor chunks", want: failedSent, play: afterRequest(func(c *rawConn, r received) {
			c.send("%swhole or not?", headText(r.id()))
		})},
		{name: "body cut short", want: truncated, play: afterRequest(func(c *rawConn, r received) {
			c.send("%shalf", headText(r.id(), "Content-Length: 8"))
		})},
		{name: "body reset", want: truncated, play: afterRequest(func(c *rawConn, r received) {
			c.send("%shalf", headText(r.id(), "Content-Length: 8"))
			c.reset()
		})},
		{name: "body stalled", want: truncatedStalled, options: shortTimeouts, play: afterRequest(func(c *rawConn, r received) {
			c.send("%shalf", headText(r.id(), "Content-Length: 8"))
			c.discardInput()
		})},
		{name: "chunks cut short", want: truncated, play: afterRequest(func(c *rawConn, r received) {
			c.send("%s4\r\nhalf\r\n", headText(r.id(), "Transfer-Encoding: chunked"))
		})},
		{name: "chunks cut within one", want: truncated, play: afterRequest(func(c *rawConn, r received) {
			c.send("%s8\r\nhalf", headText(r.id(), "Transfer-Encoding: chunked"))
		})},
		{name: "chunks stalled", want: truncatedStalled, options: shortTimeouts, play: afterRequest(func(c *rawConn, r received) {
			c.send("%s4\r\nhalf\r\n", headText(r.id(), "Transfer-Encoding: chunked"))
			c.discardInput()
		})},
		{name: "bad chunk length", want: truncated, play: afterRequest(func(c *rawConn, r received) {
			c.send("%s4\r\nhalf\r\nzz\r\n", headText(r.id(), "Transfer-Encoding: chunked"))
			c.discardInput()
		})},
		{name: "whole with length", want: complete, play: echoAll},
		{name: "whole with chunks", want: complete, play: afterRequest(func(c *rawConn, r received) {
			c.send("%s4\r\nhalf\r\n5\r\n and \r\n4\r\nhalf\r\n0\r\n\r\n", headText(r.id(), "Transfer-Encoding: chunked"))
			echoAll(c)
		}), check: bodyIs("half and half")},
		{name: "late answer", want: complete, play: afterRequest(func(c *rawConn, r received) {
			time.Sleep(shortTimeout)
			c.answer(r, "late")
			echoAll(c)
		}), check: bodyIs("late")},
		{name: "interim responses while it runs", want: complete, options: interimOptions, play: afterRequest(sendInterim), check: bodyIs("done")},
		{name: "slow body", want: complete, options: interimOptions, play: afterRequest(sendSlowBody), check: bodyIs(strings.Repeat("x", slowParts))},
		{name: "not run, as reported by the server", want: complete, play: afterRequest(func(c *rawConn, r received) {
			c.send("HTTP/1.1 421 No\r\n%s: %s\r\n%s: not-run\r\n%s: not-owner\r\nContent-Length: 0\r\n\r\n",
				serverapi.HeaderRequestID, r.id(), serverapi.HeaderOutcome, serverapi.HeaderReason)
			echoAll(c)
		}), check: outcomeIs(http.StatusMisdirectedRequest, serverapi.OutcomeNotRun, serverapi.ReasonNotOwner)},
		{name: "unknown, as reported by the server", want: complete, play: afterRequest(func(c *rawConn, r received) {
			c.send("HTTP/1.1 409 No\r\n%s: %s\r\n%s: unknown\r\n%s: stale-ticket\r\nContent-Length: 0\r\n\r\n",
				serverapi.HeaderRequestID, r.id(), serverapi.HeaderOutcome, serverapi.HeaderReason)
			echoAll(c)
		}), check: outcomeIs(http.StatusConflict, serverapi.OutcomeUnknown, serverapi.ReasonStaleTicket)},
		{name: "an outcome value that is not defined", want: complete, play: afterRequest(func(c *rawConn, r received) {
			c.send("%s", headText(r.id(), serverapi.HeaderOutcome+": fine", "Content-Length: 0"))
			echoAll(c)
		}), check: outcomeIs(http.StatusOK, serverapi.OutcomeUnknown, "")},
		{name: "a failure without an outcome", want: complete, play: afterRequest(func(c *rawConn, r received) {
			c.send("HTTP/1.1 500 No\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", serverapi.HeaderRequestID, r.id())
			echoAll(c)
		}), check: outcomeIs(http.StatusInternalServerError, serverapi.OutcomeAnswered, "")},
	}
}

// afterRequest runs play after one complete request.
func afterRequest(play func(c *rawConn, r received)) script {
	return func(c *rawConn) {
		if request, ok := c.read(); ok {
			play(c, request)
		}
	}
}

func sendEndlessHeader(c *rawConn, _ received) {
	c.send("HTTP/1.1 200 OK\r\n")
	line := []byte("X-Filler: " + strings.Repeat("x", 1000) + "\r\n")
	for {
		if _, err := c.Write(line); err != nil {
			return
		}
	}
}

// interimOptions returns options whose stall timeout is shorter than a case that
// makes progress, and so much longer than its pauses that a slow machine does
// not exceed it.
func interimOptions() Options {
	options := longTimeouts()
	options.StallTimeout = time.Second
	return options
}

const (
	slowParts = 30
	slowPause = 50 * time.Millisecond // × slowParts exceeds the timeout of interimOptions
)

func sendInterim(c *rawConn, r received) {
	for range slowParts {
		c.send("HTTP/1.1 102 Processing\r\n\r\n")
		time.Sleep(slowPause)
	}
	c.answer(r, "done")
	echoAll(c)
}

func sendSlowBody(c *rawConn, r received) {
	c.send("%s", headText(r.id(), "Transfer-Encoding: chunked"))
	for range slowParts {
		c.send("1\r\nx\r\n")
		time.Sleep(slowPause)
	}
	c.send("0\r\n\r\n")
	echoAll(c)
}

func bodyIs(body string) func(*gomega.WithT, result) {
	return func(g *gomega.WithT, got result) { g.Expect(got.body).To(gomega.Equal(body)) }
}

func outcomeIs(status int, outcome serverapi.Outcome, reason serverapi.Reason) func(*gomega.WithT, result) {
	return func(g *gomega.WithT, got result) {
		g.Expect(got.response.Status).To(gomega.Equal(status))
		g.Expect(got.response.Outcome).To(gomega.Equal(outcome))
		g.Expect(got.response.Reason).To(gomega.Equal(reason))
	}
}

func describeAttempts(open Open) {
	entries := []any{func(c attemptCase, idempotent bool) { runAttempt(ginkgo.GinkgoTB(), open, c, idempotent) }}
	for _, c := range attemptCases() {
		entries = append(entries,
			ginkgo.Entry(c.name+", pooled", c, true),
			ginkgo.Entry(c.name+", new connection", c, false))
	}
	ginkgo.DescribeTable("fault table", entries...)
	it("refused", open, runRefused)
	it("server that never reads", open, runServerNeverReads)
	it("body without end until the deadline", open, runEndless)
	it("cancelled", open, runCancelled)
	it("deadline passed already", open, runPassedDeadline)
	describeInvalid(open)
}

func runAttempt(t testing.TB, open Open, c attemptCase, idempotent bool) {
	g := gomega.NewWithT(t)
	options := longTimeouts
	if c.options != nil {
		options = c.options
	}
	server, target := startFaultServer(t, firstThen(c.play, echoAll))
	driver := open(t, options())
	req := newRequest(http.MethodPost, idempotent)
	got := do(t, driver, target, req)
	checkVerdict(g, c.want, got)
	if c.check != nil {
		c.check(g, got)
	}
	g.Expect(server.countOf(req.RequestID)).To(gomega.BeNumerically("<=", 1))
	expectHealthy(t, driver, target)
	g.Expect(server.countOf(req.RequestID)).To(gomega.BeNumerically("<=", 1), "resent later")
}

func checkVerdict(g *gomega.WithT, want verdict, got result) {
	var inBody *backend.AttemptError
	isAttempt := asAttempt(got.bodyErr, &inBody)
	switch want {
	case failedSent, stalled, failedMaybeSent:
		g.Expect(got.failure).NotTo(gomega.BeNil())
		g.Expect(got.failure.Server).To(gomega.BeEquivalentTo("s1"))
		g.Expect(got.failure.Unresponsive).To(gomega.Equal(want == stalled))
		if want != failedMaybeSent {
			g.Expect(got.failure.Sent).To(gomega.BeTrue())
		}
	case truncated, truncatedStalled:
		g.Expect(got.failure).To(gomega.BeNil())
		g.Expect(isAttempt).To(gomega.BeTrue(), "body ended with %v", got.bodyErr)
		g.Expect(inBody.Sent).To(gomega.BeTrue())
		g.Expect(inBody.Unresponsive).To(gomega.Equal(want == truncatedStalled))
	case complete:
		g.Expect(got.failure).To(gomega.BeNil())
		g.Expect(got.bodyErr).NotTo(gomega.HaveOccurred())
	}
}

func runRefused(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	target := backend.Target{ID: "s1", Address: listener.Addr().String()}
	g.Expect(listener.Close()).To(gomega.Succeed())
	got := do(t, open(t, longTimeouts()), target, newRequest(http.MethodPost, false))
	g.Expect(got.failure).NotTo(gomega.BeNil())
	g.Expect(got.failure.Sent).To(gomega.BeFalse(), "nothing can have been sent")
}

// runServerNeverReads sends a body that exceeds the buffers between client and
// server, so that it cannot be written completely.
func runServerNeverReads(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	ended := make(chan struct{})
	defer close(ended)
	_, target := startFaultServer(t, func(c *rawConn) { c.holdUnread(ended) })
	req := newRequest(http.MethodPost, false)
	body := bytes.Repeat([]byte("x"), 64<<20)
	req.Body, req.ContentLength = bytes.NewReader(body), int64(len(body))
	got := do(t, open(t, shortTimeouts()), target, req)
	g.Expect(got.failure).NotTo(gomega.BeNil())
	g.Expect(got.failure.Unresponsive).To(gomega.BeTrue())
	g.Expect(got.failure.Sent).To(gomega.BeTrue())
}

func runEndless(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, afterRequest(func(c *rawConn, r received) {
		c.send("%s", headText(r.id(), "Transfer-Encoding: chunked"))
		for {
			if _, err := c.Write([]byte("4\r\nmore\r\n")); err != nil {
				return
			}
		}
	}))
	req := newRequest(http.MethodGet, true)
	req.Deadline = time.Now().Add(2 * shortTimeout)
	got := do(t, open(t, longTimeouts()), target, req)
	if got.failure == nil {
		g.Expect(got.bodyErr).To(gomega.HaveOccurred())
	}
	g.Eventually(server.openConns, eventually).Should(gomega.BeZero(), "the connection is closed")
}

func runCancelled(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	arrived := make(chan struct{})
	server, target := startFaultServer(t, afterRequest(func(c *rawConn, _ received) {
		close(arrived)
		c.discardInput()
	}))
	driver := open(t, longTimeouts())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-arrived
		cancel()
	}()
	got := doContext(t, ctx, driver, target, newRequest(http.MethodGet, true))
	g.Expect(got.failure).NotTo(gomega.BeNil())
	g.Expect(got.failure.Sent).To(gomega.BeTrue())
	g.Expect(got.failure.Unresponsive).To(gomega.BeFalse())
	g.Eventually(server.openConns, eventually).Should(gomega.BeZero(), "the server sees the cancellation")
}

func runPassedDeadline(t testing.TB, open Open) {
	g := gomega.NewWithT(t)
	server, target := startFaultServer(t, echoAll)
	req := newRequest(http.MethodGet, true)
	req.Deadline = time.Now().Add(-time.Second)
	got := do(t, open(t, longTimeouts()), target, req)
	g.Expect(got.failure).NotTo(gomega.BeNil())
	g.Expect(got.failure.Sent).To(gomega.BeFalse())
	g.Expect(server.seen()).To(gomega.BeEmpty())
}

func describeInvalid(open Open) {
	invalid := map[string]func(*backend.Request){
		"broken path":     func(r *backend.Request) { r.Path = "/%zz" },
		"broken method":   func(r *backend.Request) { r.Method = "GET /" },
		"header smuggled": func(r *backend.Request) { r.Header = http.Header{"X": {"a\r\nY: b"}} },
		"id smuggled":     func(r *backend.Request) { r.RequestID = "a\r\nY: b" },
	}
	table("requests that cannot be written", invalid, func(t testing.TB, change func(*backend.Request)) {
		g := gomega.NewWithT(t)
		server, target := startFaultServer(t, echoAll)
		req := newRequest(http.MethodGet, true)
		change(&req)
		got := do(t, open(t, longTimeouts()), target, req)
		g.Expect(got.failure).NotTo(gomega.BeNil())
		g.Expect(got.failure.Sent).To(gomega.BeFalse())
		g.Expect(server.seen()).To(gomega.BeEmpty())
	})
}
