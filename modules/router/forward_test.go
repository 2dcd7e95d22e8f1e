package router_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/route/routetest"
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

// paired runs a test with so many entry nodes and a lessor's node, joined by
// HTTP over a network in memory.
func paired(t *testing.T, entries int, services []*siteconfig.Service, test func(p *pair), options ...rt.Option) {
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
	paired(t, 1, both(), func(p *pair) {
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

// TestAnswersStream: the first part of an answer reaches the caller before the
// server has produced the rest.
func TestAnswersStream(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
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

// TestBrokenAnswerIsNotTakenForWhole: the server's body ends early after the
// first part has been passed on.
func TestBrokenAnswerIsNotTakenForWhole(t *testing.T) {
	for _, declared := range []int{-1, 1 << 20} {
		paired(t, 1, both(), func(p *pair) {
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
	paired(t, 1, both(), func(p *pair) {
		p.driver.Set("s1", rt.InTurn(rt.Lost, rt.Answer(200, "ok")))
		p.Expect(text(p.WithT, p.serve(request("GET", "k")))).To(gomega.Equal("ok"))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(2))
		p.Expect(p.driver.Attempts()[0].Req.RequestID).NotTo(gomega.Equal(p.driver.Attempts()[1].Req.RequestID))

		p.driver.Set("s1", rt.Lost)
		answer := p.serve(request("POST", "k"))
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(3))
	})
}

// TestLimitHoldsOverAllNodes: several entry nodes send far more than the server
// may hold, through the one admission point.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	patient := rt.Keyed()
	patient.Deadline = 5 * time.Minute // however slow the machine
	paired(t, 4, []*siteconfig.Service{patient, rt.Unkeyed()}, func(p *pair) {
		p.driver.Set("s1", rt.Slow(2*time.Millisecond, rt.Echo))
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
				said := text(p.WithT, answer)
				mu.Lock()
				got[id] = said
				mu.Unlock()
			})
		}
		wait.Wait()
		p.Expect(misdelivered(got)).To(gomega.BeEmpty())
		p.Expect(p.driver.Peak("s1")).To(gomega.BeNumerically("<=", 4))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(400))
	})
}

// TestUnreachableLessorIsPassedBy: where servers check fences the entry node
// sends directly, one request at a time.
func TestUnreachableLessorIsPassedBy(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
		p.driver.Set("s1", rt.Slow(time.Millisecond, rt.Answer(200, "direct")))
		p.lessor.Kill()
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("direct"))
			})
		}
		wait.Wait()
		p.Expect(p.driver.Peak("s1")).To(gomega.Equal(1))
	})
}

// TestUnreachableLessorIsNotPassedBy where servers do not check fences: it alone
// may send. The caller is told at once.
func TestUnreachableLessorIsNotPassedBy(t *testing.T) {
	unfenced := rt.Keyed()
	unfenced.ChecksFencing = false
	paired(t, 1, []*siteconfig.Service{unfenced, rt.Unkeyed()}, func(p *pair) {
		p.lessor.Kill()
		begun := time.Now()
		req := request("POST", "k")
		req.Deadline = begun.Add(time.Second)
		answer := p.serve(req)
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		p.Expect(answer.RetryAfter).To(gomega.BeNumerically(">", 0))
		p.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 50*time.Millisecond))
		p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
	})
}

// TestSilentLessorIsTold: the lessor's node takes the request and then nothing
// comes from it. What may have run is not sent again.
func TestSilentLessorIsTold(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
		p.lessor.Fault(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		answer := p.serve(request("POST", "k"))
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		p.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonSilent))
		p.Expect(answer.Status).To(gomega.Equal(504))
		p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
	})
}

// TestSlowServerIsNotTakenForASilentLessor: the lessor's node gives signs of
// life while the server works.
func TestSlowServerIsNotTakenForASilentLessor(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
		p.driver.Set("s1", rt.Slow(2*time.Second, rt.Answer(200, "late but whole")))
		p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("late but whole"))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(1))
	})
}

// TestFailingLessorIsPassedBy: after a few answers that broke off, requests go
// directly for a while.
func TestFailingLessorIsPassedBy(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
		p.lessor.Fault(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		unknown := 0
		p.Eventually(func() serverapi.Outcome {
			answer := p.serve(request("POST", "k"))
			if answer.Outcome == serverapi.OutcomeUnknown {
				unknown++
			}
			text(p.WithT, answer)
			return answer.Outcome
		}, 10*time.Second).Should(gomega.Equal(serverapi.OutcomeAnswered))
		p.Expect(unknown).To(gomega.Equal(3))
	})
}

// TestSilentConnectionsAreThrownAway: connections to the lessor's node that were
// open go silent for good, new ones work. One request meets the silence.
func TestSilentConnectionsAreThrownAway(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
		var old sync.Map
		p.lessor.Fault(func(w http.ResponseWriter, r *http.Request) {
			old.Store(r.RemoteAddr, true)
			p.lessor.Through(w, r)
		})
		p.driver.Set("s1", rt.Slow(50*time.Millisecond, rt.Answer(200, "ok")))
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() { text(p.WithT, p.serve(request("GET", "k"))) })
		}
		wait.Wait()
		p.lessor.Fault(func(w http.ResponseWriter, r *http.Request) {
			if _, silent := old.Load(r.RemoteAddr); silent {
				<-r.Context().Done()
				return
			}
			p.lessor.Through(w, r)
		})
		answer := p.serve(request("POST", "k"))
		p.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonSilent))
		for range 4 {
			p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("ok"))
		}
	})
}

func TestWhatIsNoAnswerOfALessor(t *testing.T) {
	rows := map[string]http.HandlerFunc{
		"not a node":    func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) },
		"error page":    func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadGateway) },
		"other request": foreignForward,
		"cut off":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, fault := range rows {
		paired(t, 1, both(), func(p *pair) {
			p.lessor.Fault(fault)
			answer := p.serve(request("POST", "k"))
			p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown), name)
			p.Expect(answer.Status).To(gomega.Equal(502), name)
			p.Expect(answer.Body).To(gomega.BeNil(), name)
		})
	}
}

func foreignForward(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Burdockspindle-Forward", `{"format":1,"id":"other","status":200,"outcome":"answered","hasBody":true}`)
	_, _ = w.Write([]byte("somebody else's"))
}

// TestForwardedRequestsAreNotForwardedAgain: two nodes that each take the other
// for the lessor end the request instead of passing it to and fro.
func TestForwardedRequestsAreNotForwardedAgain(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
		behind := routetest.New() // the lessor's node has an older state
		behind.Configure(both()...)
		entry := p.entry[0]
		stale := (&rt.World{Site: behind, Driver: p.driver, Network: p.Network}).Start(p.t, "lessor")
		behind.Run("entry-0", rt.Boot, entry.PeerAddress())
		rt.Serve(behind, rt.KeyedName, zoneA, "s1", "s2")
		behind.Lead(groupA, "entry-0", rt.Boot)
		behind.AssignAll(rt.KeyedName, "s1")
		p.Site.Run("lessor", rt.Boot, stale.PeerAddress())
		var back atomic.Int64
		entry.Fault(func(w http.ResponseWriter, _ *http.Request) {
			back.Add(1)
			http.Error(w, "came back", http.StatusLoopDetected)
		})
		req := request("POST", "k")
		req.Deadline = time.Now().Add(300 * time.Millisecond)
		answer := p.serve(req)
		p.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		p.Expect(p.driver.Attempts()).To(gomega.BeEmpty())
		p.Expect(back.Load()).To(gomega.BeZero())
	})
}

// TestForwardWaitsForTheSendersState: a lessor whose state is behind catches up
// before it judges.
func TestForwardWaitsForTheSendersState(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
		behind := routetest.New() // without even the service
		slow := (&rt.World{Site: behind, Driver: p.driver, Network: p.Network}).Start(p.t, "lessor")
		p.Site.Run("lessor", rt.Boot, slow.PeerAddress())
		arrived := make(chan struct{})
		var once sync.Once
		slow.Fault(func(w http.ResponseWriter, r *http.Request) {
			once.Do(func() { close(arrived) })
			slow.Through(w, r)
		})
		go func() {
			<-arrived
			time.Sleep(50 * time.Millisecond)
			behind.Configure(both()...)
			behind.Run("entry-0", rt.Boot, "127.0.0.1:9")
			rt.Serve(behind, rt.KeyedName, zoneA, "s1", "s2")
			behind.Lead(groupA, "lessor", rt.Boot)
			behind.AssignAll(rt.KeyedName, "s1")
			for behind.View().Applied() < p.Site.View().Applied() {
				behind.Configure(both()...)
			}
		}()
		p.Expect(text(p.WithT, p.serve(request("POST", "k")))).To(gomega.Equal("answer of s1"))
		p.Expect(p.driver.Attempts()).To(gomega.HaveLen(1))
	})
}

func TestCallerWhoGoesAwayCancelsThroughTheLessor(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
		p.driver.Set("s1", rt.Hanging)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan *exchange.Answer, 1)
		go func() { done <- p.entry[0].Handler.Serve(ctx, request("POST", "k")) }()
		p.Eventually(func() int { return p.driver.Held("s1") }, 10*time.Second).Should(gomega.Equal(1))
		cancel()
		p.Expect((<-done).Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		p.Eventually(func() int { return p.driver.Held("s1") }, 10*time.Second).Should(gomega.BeZero())
	})
}

// TestUnkeyedRequestsSpread: with two choices at the admission point the servers
// share the load, whichever entry node takes a request.
func TestUnkeyedRequestsSpread(t *testing.T) {
	patient := rt.Unkeyed()
	patient.Deadline = 5 * time.Minute // however slow the machine
	paired(t, 3, []*siteconfig.Service{rt.Keyed(), patient}, func(p *pair) {
		for _, id := range []topo.ServerID{"u1", "u2", "u3"} {
			p.driver.Set(id, rt.Slow(2*time.Millisecond, rt.Answer(200, "ok")))
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

// TestAnswerWithoutLength and other odd but whole answers pass unchanged.
func TestOddAnswersPassUnchanged(t *testing.T) {
	paired(t, 1, both(), func(p *pair) {
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
