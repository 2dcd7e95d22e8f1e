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

// TestExamplesOfThePage sends every http block of docs/CALLERS.md.
func TestExamplesOfThePage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBench(t, plan{payments: func(s *siteconfig.Service) { s.RequireIdempotencyKey = true }})
		blocks, err := docblocks.ReadAll("../..")
		b.Expect(err).NotTo(gomega.HaveOccurred())
		sent, ticket := 0, ""
		for _, block := range blocks {
			if block.Kind != "http" || !strings.HasSuffix(block.File, "CALLERS.md") {
				continue
			}
			sent++
			parts := strings.SplitN(strings.ReplaceAll(block.Text, "{ticket}", ticket), "\n\n", 2)
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(withHost(parts[0]))))
			b.Expect(err).NotTo(gomega.HaveOccurred(), block.Text)
			tail := strings.Split(strings.TrimSpace(parts[1]), "\n\n")
			var body io.Reader
			if len(tail) > 1 {
				body = strings.NewReader(tail[0])
			}
			var headers []string
			for name, values := range request.Header {
				headers = append(headers, name, values[0])
			}
			got := b.send(request.Method, request.RequestURI, body, headers...)
			expected := strings.Fields(strings.SplitN(tail[len(tail)-1], "\n", 2)[0])
			said := append([]string{fmt.Sprint(got.status)}, strings.Fields(got.header.Get(callerapi.HeaderOutcome)+" "+got.header.Get(callerapi.HeaderReason))...)
			b.Expect(said).To(gomega.Equal(expected), block.Text)
			if got.status == http.StatusCreated {
				ticket = strings.SplitN(got.body, `"`, 5)[3]
			}
		}
		b.Expect(sent).To(gomega.BeNumerically(">=", 7))
	})
}

func withHost(head string) string {
	first, rest, _ := strings.Cut(head, "\n")
	lines := first + " HTTP/1.1\r\nHost: x\r\n" + strings.ReplaceAll(rest, "\n", "\r\n")
	return strings.TrimRight(lines, "\r\n") + "\r\n\r\n"
}

// TestAnswerIsTheServersOwn: status, headers and body pass unchanged, and the
// caller's request reaches the server unchanged but for what it may not say.
func TestAnswerIsTheServersOwn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBench(t, plan{})
		b.all(rt.Answer(http.StatusTeapot, "short and stout"))
		got := b.send("PUT", callerapi.KeyedPath(logs, "a/b \xff", "x%2Fy//z")+"?q=1&q=2", strings.NewReader("body"),
			"X-Mine", "1", serverapi.HeaderFence, "999.0", "Content-Type", "text/x-log", callerapi.HeaderHop, "1")
		b.Expect(got.status).To(gomega.Equal(http.StatusTeapot))
		b.Expect(got.body).To(gomega.Equal("short and stout"))
		b.Expect(got.header.Get("X-Server-Says")).To(gomega.Equal("hello"))
		b.Expect(got.header.Get(callerapi.HeaderOutcome)).To(gomega.Equal("answered"))
		b.Expect(got.header).NotTo(gomega.HaveKey("Content-Type"), "nobody guesses a type")
		attempt := b.driver.Attempts()[0]
		b.Expect(attempt.Req.Key).To(gomega.Equal("a/b \xff"))
		b.Expect(attempt.Req.Path).To(gomega.Equal("/x%2Fy//z?q=1&q=2"))
		b.Expect(attempt.Req.Header.Get("X-Mine")).To(gomega.Equal("1"))
		b.Expect(attempt.Req.Header.Get("Content-Type")).To(gomega.Equal("text/x-log"))
		b.Expect(attempt.Req.Header).NotTo(gomega.HaveKey(serverapi.HeaderFence))
		b.Expect(attempt.Req.Fence.Offset).NotTo(gomega.BeEquivalentTo(999))
		b.Expect(attempt.Req.Hop).To(gomega.Equal(2))
		b.Expect(string(attempt.Body)).To(gomega.Equal("body"))
	})
}

// TestOddPaths: what a URL library or an HTTP router would tidy up reaches the
// parser as it was sent.
func TestOddPaths(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBench(t, plan{})
		for _, key := range []string{"%2F", "%2E%2E", "a%2F..%2Fb", "%00", "tickets", "requests", "%25", "+", "a%20b", ";x", "a=b&c"} {
			got := b.raw("GET /v1/services/well-logs/keys/" + key + "/requests/p/ HTTP/1.1\r\nHost: x\r\n\r\n")
			b.Expect(got.status).To(gomega.Equal(200), key+got.body)
		}
		for _, path := range []string{"/", "//", "/v1", "/v1/services/../services/well-logs/keys/k/requests/x", "/v1//services/well-logs/keys/k/requests/x", "/V1/services/well-logs/tickets"} {
			got := b.raw("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
			b.Expect(got.status).To(gomega.BeElementOf(400, 404), path)
			b.Expect(got.failure.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun), path)
		}
	})
}

// TestCutAnswerIsNotTakenForWhole by a client library.
func TestCutAnswerIsNotTakenForWhole(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBench(t, plan{})
		for _, declared := range []int{-1, 1 << 20} {
			b.all(rt.Broken(declared, strings.Repeat("x", 100<<10)))
			got := b.send("POST", keyPath, nil)
			b.Expect(got.cut).To(gomega.HaveOccurred(), "declared %d", declared)
		}
		b.all(rt.Broken(100, strings.Repeat("x", 50)))
		b.Expect(b.send("POST", keyPath, nil).status).To(gomega.Equal(502), "nothing was passed on yet")
	})
}

// TestEveryCallerGetsItsOwnAnswer over shared connections, with answers out of
// order, some late, some canceled by their callers.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBench(t, plan{logs: func(s *siteconfig.Service) { s.Deadline = 5 * time.Minute }})
		var mu sync.Mutex
		turn := 0
		b.all(func(ctx context.Context, req backend.Request) (*backend.Response, error) {
			mu.Lock()
			turn++
			wait := time.Duration(turn%7) * time.Millisecond
			mu.Unlock()
			return rt.Slow(wait, rt.Echo)(ctx, req)
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
				request, _ := http.NewRequestWithContext(ctx, "GET", "http://"+b.address+path, nil)
				request.Header.Set("X-Caller-Id", id)
				response, err := b.client.Do(request)
				if err != nil {
					b.Expect(errors.Is(err, context.Canceled)).To(gomega.BeTrue(), err.Error())
					return
				}
				defer func() { _ = response.Body.Close() }()
				text, err := io.ReadAll(response.Body)
				if err == nil && response.StatusCode == http.StatusOK {
					b.Expect(string(text)).To(gomega.Equal(id))
				}
			})
		}
		wait.Wait()
		b.Expect(b.driver.Peak("s1")).To(gomega.BeNumerically("<=", 4))
	})
}

// cancelAfter cancels a request after a while, or at once. A timer that is due when it is
// made runs on the stack of the scheduler; under -race in a synctest bubble that has no
// race context, and the process of the tests ended with SIGSEGV or a check of the race
// detector in one run of thirty.
func cancelAfter(d time.Duration, cancel context.CancelFunc) {
	if d == 0 {
		go cancel()
		return
	}
	time.AfterFunc(d, cancel)
}

// TestCallerWhoHangsUpCancelsTheServersRequest.
func TestCallerWhoHangsUpCancelsTheServersRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBench(t, plan{})
		b.all(rt.Hanging)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+b.address+keyPath, nil)
			if response, err := b.client.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}()
		b.Eventually(func() int { return b.driver.Held("s1") }, patience).Should(gomega.Equal(1))
		cancel()
		<-done
		b.Eventually(func() int { return b.driver.Held("s1") }, patience).Should(gomega.BeZero())
	})
}

// TestDrainCutsOffNothing: the health endpoint fails first while requests are
// still taken; then new ones are refused, and those in flight are waited for.
func TestDrainCutsOffNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b, _ := newBench(t, plan{})
		release := make(chan struct{})
		b.all(func(ctx context.Context, req backend.Request) (*backend.Response, error) {
			<-release
			return rt.Answer(200, "whole")(ctx, req)
		})
		b.Expect(b.send("GET", "/healthz", nil).status).To(gomega.Equal(200))
		answers := make(chan reply, 1)
		go func() { answers <- b.send("POST", keyPath, nil) }()
		b.Eventually(func() int { return b.driver.Held("s1") }, patience).Should(gomega.Equal(1))
		drained := make(chan error, 1)
		go func() { drained <- b.frontend.Drain(context.Background()) }()
		b.Eventually(func() int { return b.send("GET", "/healthz", nil).status }, patience).Should(gomega.Equal(503))
		b.Eventually(func() serverapi.Reason { return b.send("GET", keyPath+"?x", nil).failure.Reason }, patience).
			Should(gomega.Equal(serverapi.ReasonDraining))
		b.Expect(drained).NotTo(gomega.Receive(), "a request is in flight")
		close(release)
		b.Expect((<-answers).body).To(gomega.Equal("whole"))
		b.Expect(<-drained).To(gomega.Succeed())
	})
}
