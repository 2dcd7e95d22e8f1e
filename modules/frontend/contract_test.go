package frontend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/build/docblocks"
	"github.com/burdockspindle/burdockspindle/callerapi"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
)

// TestCallersPageExamples sends every http block of docs/CALLERS.md and checks the
// documented status, outcome and reason.
func TestCallersPageExamples(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHarness(t, harnessOptions{payments: func(s *siteconfig.Service) { s.RequireIdempotencyKey = true }})
		blocks, err := docblocks.ReadAll("../..")
		h.Expect(err).NotTo(gomega.HaveOccurred())
		sent, ticket := 0, ""
		for _, block := range blocks {
			if block.Kind != "http" || !strings.HasSuffix(block.File, "CALLERS.md") {
				continue
			}
			sent++
			parts := strings.SplitN(strings.ReplaceAll(block.Text, "{ticket}", ticket), "\n\n", 2)
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(withHost(parts[0]))))
			h.Expect(err).NotTo(gomega.HaveOccurred(), block.Text)
			tail := strings.Split(strings.TrimSpace(parts[1]), "\n\n")
			var body io.Reader
			if len(tail) > 1 {
				body = strings.NewReader(tail[0])
			}
			var headers []string
			for name, values := range request.Header {
				headers = append(headers, name, values[0])
			}
			got := h.send(request.Method, request.RequestURI, body, headers...)
			expected := strings.Fields(strings.SplitN(tail[len(tail)-1], "\n", 2)[0])
			actual := append([]string{fmt.Sprint(got.status)}, strings.Fields(got.header.Get(callerapi.HeaderOutcome)+" "+got.header.Get(callerapi.HeaderReason))...)
			h.Expect(actual).To(gomega.Equal(expected), block.Text)
			if got.status == http.StatusCreated {
				ticket = strings.SplitN(got.body, `"`, 5)[3]
			}
		}
		h.Expect(sent).To(gomega.BeNumerically(">=", 7))
	})
}

func withHost(head string) string {
	first, rest, _ := strings.Cut(head, "\n")
	lines := first + " HTTP/1.1\r\nHost: x\r\n" + strings.ReplaceAll(rest, "\n", "\r\n")
	return strings.TrimRight(lines, "\r\n") + "\r\n\r\n"
}

// TestRequestsAndResponsesPassUnchanged: status, headers and body of a response
// pass unchanged, and the caller's request reaches the server unchanged except for
// headers that callers may not set.
func TestRequestsAndResponsesPassUnchanged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHarness(t, harnessOptions{})
		h.setBehaviour(rt.Answer(http.StatusTeapot, "short and stout"))
		got := h.send("PUT", callerapi.KeyedPath(logs, "a/b \xff", "x%2Fy//z")+"?q=1&q=2", strings.NewReader("body"),
			"X-Mine", "1", serverapi.HeaderFence, "999.0", "Content-Type", "text/x-log", callerapi.HeaderHop, "1")
		h.Expect(got.status).To(gomega.Equal(http.StatusTeapot))
		h.Expect(got.body).To(gomega.Equal("short and stout"))
		h.Expect(got.header.Get("X-Server-Says")).To(gomega.Equal("hello"))
		h.Expect(got.header.Get(callerapi.HeaderOutcome)).To(gomega.Equal("answered"))
		h.Expect(got.header).NotTo(gomega.HaveKey("Content-Type"), "no type is detected")
		attempt := h.driver.Attempts()[0]
		h.Expect(attempt.Req.Key).To(gomega.Equal("a/b \xff"))
		h.Expect(attempt.Req.Path).To(gomega.Equal("/x%2Fy//z?q=1&q=2"))
		h.Expect(attempt.Req.Header.Get("X-Mine")).To(gomega.Equal("1"))
		h.Expect(attempt.Req.Header.Get("Content-Type")).To(gomega.Equal("text/x-log"))
		h.Expect(attempt.Req.Header).NotTo(gomega.HaveKey(serverapi.HeaderFence))
		h.Expect(attempt.Req.Fence.Offset).NotTo(gomega.BeEquivalentTo(999))
		h.Expect(attempt.Req.Hop).To(gomega.Equal(2))
		h.Expect(string(attempt.Body)).To(gomega.Equal("body"))
	})
}

// TestUnusualPathsAreNotNormalized: paths that a URL library or an HTTP router would
// normalize reach the parser unchanged.
func TestUnusualPathsAreNotNormalized(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHarness(t, harnessOptions{})
		for _, key := range []string{"%2F", "%2E%2E", "a%2F..%2Fb", "%00", "tickets", "requests", "%25", "+", "a%20b", ";x", "a=b&c"} {
			got := h.raw("GET /v1/services/well-logs/keys/" + key + "/requests/p/ HTTP/1.1\r\nHost: x\r\n\r\n")
			h.Expect(got.status).To(gomega.Equal(200), key+got.body)
		}
		for _, path := range []string{"/", "//", "/v1", "/v1/services/../services/well-logs/keys/k/requests/x", "/v1//services/well-logs/keys/k/requests/x", "/V1/services/well-logs/tickets"} {
			got := h.raw("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
			h.Expect(got.status).To(gomega.BeElementOf(400, 404), path)
			h.Expect(got.failure.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun), path)
		}
	})
}

// TestTruncatedResponseIsDetected: a client library must report an error for a
// response whose body ends early.
func TestTruncatedResponseIsDetected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHarness(t, harnessOptions{})
		for _, declared := range []int{-1, 1 << 20} {
			h.setBehaviour(rt.Broken(declared, strings.Repeat("x", 100<<10)))
			got := h.send("POST", keyPath, nil)
			h.Expect(got.cut).To(gomega.HaveOccurred(), "declared %d", declared)
		}
		h.setBehaviour(rt.Broken(100, strings.Repeat("x", 50)))
		h.Expect(h.send("POST", keyPath, nil).status).To(gomega.Equal(502), "no byte was passed on")
	})
}

// TestEveryCallerGetsItsOwnResponse sends requests over shared connections, with
// responses out of order, some late, some canceled by their callers.
func TestEveryCallerGetsItsOwnResponse(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHarness(t, harnessOptions{logs: func(s *siteconfig.Service) { s.Deadline = 5 * time.Minute }})
		var mu sync.Mutex
		turn := 0
		h.setBehaviour(func(ctx context.Context, req backend.Request) (*backend.Response, error) {
			mu.Lock()
			turn++
			wait := time.Duration(turn%7) * time.Millisecond
			mu.Unlock()
			return rt.Delayed(wait, rt.Echo)(ctx, req)
		})
		var wait sync.WaitGroup
		for i := range 300 {
			wait.Go(func() {
				id := fmt.Sprint("caller-", i)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if i%10 == 0 {
					cancelAfter(time.Duration(i/10%8)*time.Millisecond, cancel)
				}
				path := callerapi.KeyedPath(logs, id, "x")
				request, _ := http.NewRequestWithContext(ctx, "GET", "http://"+h.address+path, nil)
				request.Header.Set("X-Caller-Id", id)
				response, err := h.client.Do(request)
				if err != nil {
					h.Expect(errors.Is(err, context.Canceled)).To(gomega.BeTrue(), err.Error())
					return
				}
				defer func() { _ = response.Body.Close() }()
				text, err := io.ReadAll(response.Body)
				if err == nil && response.StatusCode == http.StatusOK {
					h.Expect(string(text)).To(gomega.Equal(id))
				}
			})
		}
		wait.Wait()
		h.Expect(h.driver.Peak("s1")).To(gomega.BeNumerically("<=", 4))
	})
}

// cancelAfter cancels a request after d, or immediately if d is 0. A timer that is due
// when it is created runs on the scheduler's stack. Under -race in a synctest bubble that
// stack has no race context, and the test process failed with SIGSEGV or a check of the
// race detector in one run of thirty.
func cancelAfter(d time.Duration, cancel context.CancelFunc) {
	if d == 0 {
		go cancel()
		return
	}
	time.AfterFunc(d, cancel)
}

// TestCallerDisconnectCancelsServerRequest: a request at a server must end after its
// caller cancels it.
func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHarness(t, harnessOptions{})
		h.setBehaviour(rt.Hanging)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+h.address+keyPath, nil)
			if response, err := h.client.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}()
		h.Eventually(func() int { return h.driver.InFlight("s1") }, waitTimeout).Should(gomega.Equal(1))
		cancel()
		<-done
		h.Eventually(func() int { return h.driver.InFlight("s1") }, waitTimeout).Should(gomega.BeZero())
	})
}

// TestDrainCompletesRequestsInFlight: the health endpoint fails while requests are
// still accepted; then new requests are refused, and those in flight complete.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHarness(t, harnessOptions{})
		release := make(chan struct{})
		h.setBehaviour(func(ctx context.Context, req backend.Request) (*backend.Response, error) {
			<-release
			return rt.Answer(200, "whole")(ctx, req)
		})
		h.Expect(h.send("GET", "/healthz", nil).status).To(gomega.Equal(200))
		answers := make(chan reply, 1)
		go func() { answers <- h.send("POST", keyPath, nil) }()
		h.Eventually(func() int { return h.driver.InFlight("s1") }, waitTimeout).Should(gomega.Equal(1))
		drained := make(chan error, 1)
		go func() { drained <- h.frontend.Drain(context.Background()) }()
		h.Eventually(func() int { return h.send("GET", "/healthz", nil).status }, waitTimeout).Should(gomega.Equal(503))
		h.Eventually(func() serverapi.Reason { return h.send("GET", keyPath+"?x", nil).failure.Reason }, waitTimeout).
			Should(gomega.Equal(serverapi.ReasonDraining))
		h.Expect(drained).NotTo(gomega.Receive(), "a request is in flight")
		close(release)
		h.Expect((<-answers).body).To(gomega.Equal("whole"))
		h.Expect(<-drained).To(gomega.Succeed())
	})
}
