package router_test

import (
	"bytes"
	"context"
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
	"github.com/burdockspindle/burdockspindle/exchange"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

// pair is a world with a lessor's node and entry nodes that forward to it.
type pair struct {
	*gomega.WithT
	*world
	t      *testing.T
	lessor *rt.Node
	entry  []*rt.Node
}

// withEntryNodes runs a test with the given number of entry nodes and a lessor's node,
// connected by HTTP over a network in memory.
func withEntryNodes(t *testing.T, entries int, services []*siteconfig.Service, test func(p *pair), options ...rt.Option) {
	synctest.Test(t, func(t *testing.T) {
		p := &pair{WithT: gomega.NewWithT(t), world: newWorld(services...), t: t}
		p.lessor = p.Start(t, "lessor", options...)
		for i := range entries {
			p.entry = append(p.entry, p.Start(t, topo.NodeID(fmt.Sprint("entry-", i))))
		}
		p.lead("lessor")
		test(p)
	})
}

func (p *pair) serve(req *exchange.Request) *exchange.Answer {
	return p.entry[0].Handler.Serve(context.Background(), req)
}

func TestForwardedRequestKeepsEverything(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		req := request("PATCH", "a/\x00\xffkey")
		req.Path = "/casing/%2F3?x=1&y=%20"
		req.Header = http.Header{"Content-Type": {"application/x-well"}, "X-Two": {"1", "2"}}
		req.Caller = "driller ü"
		req.Hop = 2
		req.Deadline = time.Now().Add(3 * time.Second)
		content := strings.Repeat("log", 100_000)
		var err error
		req.Body, err = exchange.NewBody(strings.NewReader(content), -1, 1<<20, 1<<10)
		p.Expect(err).NotTo(gomega.HaveOccurred())

		answer := p.serve(req)
		p.Expect(answer.Status).To(gomega.Equal(200), string(answer.Reason))
		p.Expect(answer.Header.Get("X-Server-Says")).To(gomega.Equal("hello"))
		p.Expect(text(p.WithT, answer)).To(gomega.Equal("answer of s1"))
		sent := p.driver.Attempts()
		p.Expect(sent).To(gomega.HaveLen(1))
		got := sent[0].Req
		p.Expect(got.Method).To(gomega.Equal("PATCH"))
		p.Expect(got.Path).To(gomega.Equal(req.Path))
		p.Expect(got.Key).To(gomega.Equal(req.Key))
		p.Expect(got.Hop).To(gomega.Equal(3))
		p.Expect(got.Header["X-Two"]).To(gomega.Equal([]string{"1", "2"}))
		p.Expect(got.Header.Get("Content-Type")).To(gomega.Equal("application/x-well"))
		p.Expect(got.Deadline).To(gomega.BeTemporally("~", req.Deadline, 500*time.Millisecond))
		p.Expect(string(sent[0].Body)).To(gomega.Equal(content))
	})
}

// TestAnswersAreStreamed: the first part of an answer reaches the caller before the
// server has produced the rest.
func TestAnswersAreStreamed(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		rest, produce := io.Pipe()
		p.driver.Set("s1", func(_ context.Context, req backend.Request) (*backend.Response, error) {
			header := http.Header{serverapi.HeaderRequestID: {req.RequestID}}
			body := io.MultiReader(strings.NewReader("first "), rest)
			return &backend.Response{Status: 200, Header: header, Body: io.NopCloser(body)}, nil
		})
		answer := p.serve(request("GET", "k"))
		first := make([]byte, 6)
		_, err := io.ReadFull(answer.Body, first)
		p.Expect(err).NotTo(gomega.HaveOccurred())
		p.Expect(string(first)).To(gomega.Equal("first "))
		go func() {
			_, _ = produce.Write([]byte("second"))
			_ = produce.Close()
		}()
		p.Expect(text(p.WithT, answer)).To(gomega.Equal("second"))
	})
}

// TestIncompleteAnswerIsReported: the server's body ends early after the first
// part has been passed on, and the caller's read fails.
func TestIncompleteAnswerIsReported(t *testing.T) {
	for _, declared := range []int{-1, 1 << 20} {
		withEntryNodes(t, 1, bothServices(), func(p *pair) {
			p.driver.Set("s1", rt.Broken(declared, strings.Repeat("x", 64<<10)))
			answer := p.serve(request("POST", "k"))
			p.Expect(answer.Body).NotTo(gomega.BeNil())
			_, err := io.ReadAll(answer.Body)
			p.Expect(err).To(gomega.HaveOccurred(), "declared %d", declared)
			_ = answer.Body.Close()
		})
	}
}

func TestRetriesAreMadeByTheFirstNodeOnly(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		p.driver.Set("s1", rt.Sequence(rt.Lost, rt.Answer(200, "ok")))
		p.Expect(text(p.WithT, p.serve(request("GET", "k")))).To(gomega.Equal("ok"))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(2))
		p.Expect(p.driver.Attempts()[0].Req.RequestID).NotTo(gomega.Equal(p.driver.Attempts()[1].Req.RequestID))

		p.driver.Set("s1", rt.Lost)
		answer := p.serve(request("POST", "k"))
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(3))
	})
}

// TestLimitHoldsOverAllNodes: several entry nodes send far more requests than
// the server's limit, through its only admission point.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	service := rt.Keyed()
	service.Deadline = 5 * time.Minute // not reached even on a slow machine
	withEntryNodes(t, 4, []*siteconfig.Service{service, rt.Unkeyed()}, func(p *pair) {
		p.driver.Set("s1", rt.Delayed(2*time.Millisecond, rt.Echo))
		var wait sync.WaitGroup
		var mu sync.Mutex
		got := map[string]string{}
		for i := range 400 {
			wait.Go(func() {
				id := fmt.Sprint("caller-", i)
				req := request("GET", fmt.Sprint("well-", i))
				req.Header = http.Header{"X-Caller-Id": {id}}
				answer := p.entry[i%4].Handler.Serve(context.Background(), req)
				p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeAnswered), string(answer.Reason))
				body := text(p.WithT, answer)
				mu.Lock()
				got[id] = body
				mu.Unlock()
			})
		}
		wait.Wait()
		p.Expect(misdelivered(got)).To(gomega.BeEmpty())
		p.Expect(p.driver.Peak("s1")).To(gomega.BeNumerically("<=", 4))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(400))
	})
}

func TestDisconnectedCallerCancelsForwardedRequest(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		p.driver.Set("s1", rt.Hanging)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan *exchange.Answer, 1)
		go func() { done <- p.entry[0].Handler.Serve(ctx, request("POST", "k")) }()
		p.Eventually(func() int { return p.driver.InFlight("s1") }, 10*time.Second).Should(gomega.Equal(1))
		cancel()
		p.Expect((<-done).Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		p.Eventually(func() int { return p.driver.InFlight("s1") }, 10*time.Second).Should(gomega.BeZero())
	})
}

// TestUnkeyedRequestsSpread: with two choices at the admission point the servers
// share the load, whichever entry node receives a request.
func TestUnkeyedRequestsSpread(t *testing.T) {
	service := rt.Unkeyed()
	service.Deadline = 5 * time.Minute // not reached even on a slow machine
	withEntryNodes(t, 3, []*siteconfig.Service{rt.Keyed(), service}, func(p *pair) {
		for _, id := range []topo.ServerID{"u1", "u2", "u3"} {
			p.driver.Set(id, rt.Delayed(2*time.Millisecond, rt.Answer(200, "ok")))
		}
		var wait sync.WaitGroup
		for i := range 300 {
			wait.Go(func() {
				answer := p.entry[i%3].Handler.Serve(context.Background(), unkeyed("GET"))
				p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeAnswered), string(answer.Reason))
				text(p.WithT, answer)
			})
		}
		wait.Wait()
		count := map[topo.ServerID]int{}
		for _, attempt := range p.driver.Attempts() {
			count[attempt.Server]++
		}
		for _, id := range []topo.ServerID{"u1", "u2", "u3"} {
			p.Expect(p.driver.Peak(id)).To(gomega.BeNumerically("<=", 4))
			p.Expect(count[id]).To(gomega.BeNumerically(">", 50))
		}
	})
}

// TestUnusualAnswersPassUnchanged: complete answers without a length or body, or
// with an error status, pass unchanged.
func TestUnusualAnswersPassUnchanged(t *testing.T) {
	withEntryNodes(t, 1, bothServices(), func(p *pair) {
		big := bytes.Repeat([]byte("0123456789"), 50_000)
		rows := []struct {
			method string
			status int
			length string
			body   []byte
		}{
			{"GET", 200, "", big}, {"GET", 200, fmt.Sprint(len(big)), big}, {"GET", 200, "", nil},
			{"HEAD", 200, "12345", nil}, {"GET", 204, "", nil}, {"GET", 304, "", nil}, {"POST", 404, "2", []byte("no")},
		}
		for _, row := range rows {
			p.driver.Set("s1", func(_ context.Context, req backend.Request) (*backend.Response, error) {
				header := http.Header{serverapi.HeaderRequestID: {req.RequestID}}
				if row.length != "" {
					header.Set("Content-Length", row.length)
				}
				return &backend.Response{Status: row.status, Header: header, Body: io.NopCloser(bytes.NewReader(row.body))}, nil
			})
			answer := p.serve(request(row.method, "k"))
			p.Expect(answer.Status).To(gomega.Equal(row.status))
			p.Expect(answer.Header.Get("Content-Length")).To(gomega.Equal(row.length))
			p.Expect(text(p.WithT, answer) == string(row.body)).To(gomega.BeTrue(), "%s %d", row.method, row.status)
		}
	})
}
