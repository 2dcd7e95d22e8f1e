package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/route/routetest"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	zoneA  = topo.Zone("zone-a")
	groupA = topo.GroupID("zone-a/0")
)

func request(method, key string) *exchange.Request {
	return &exchange.Request{ID: "req", Service: rt.KeyedName, Keyed: true, Key: key, Method: method, Path: "/log"}
}

func unkeyed(method string) *exchange.Request {
	return &exchange.Request{ID: "req", Service: rt.UnkeyedName, Method: method, Path: "/log"}
}

func text(g *gomega.WithT, a *exchange.Answer) string {
	if a.Body == nil {
		return ""
	}
	defer func() { _ = a.Body.Close() }()
	content, err := io.ReadAll(a.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return string(content)
}

// world is a site with a driver and a network in memory. Time is faked.
type world struct {
	*rt.World
	driver *rt.Driver
}

func newWorld(services ...*siteconfig.Service) *world {
	site, driver := routetest.New(), rt.NewDriver()
	site.Configure(services...)
	return &world{World: &rt.World{Site: site, Driver: driver, Network: rt.NewMemory()}, driver: driver}
}

// lead adds the servers, gives all shards to s1, and makes a node their lessor.
func (w *world) lead(node topo.NodeID) {
	rt.Serve(w.Site, rt.KeyedName, zoneA, "s1", "s2")
	rt.Serve(w.Site, rt.UnkeyedName, zoneA, "u1", "u2", "u3")
	w.Site.Lead(groupA, node, rt.Boot)
	w.Site.AssignAll(rt.KeyedName, "s1")
}

// alone runs a test with one node, which leads the group of all servers; s1
// owns every shard.
func alone(t *testing.T, services []*siteconfig.Service, test func(g *gomega.WithT, site *routetest.Site, driver *rt.Driver, node *rt.Node)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(services...)
		node := w.Start(t, "node-1")
		w.lead("node-1")
		test(gomega.NewWithT(t), w.Site, w.driver, node)
	})
}

func both() []*siteconfig.Service { return []*siteconfig.Service{rt.Keyed(), rt.Unkeyed()} }

// TestOutcomes is the table of what one server may do and what the caller is
// told, with the number of attempts that reached a server.
func TestOutcomes(t *testing.T) {
	rows := []struct {
		name     string
		behave   rt.Behaviour
		method   string
		unkeyed  bool
		outcome  serverapi.Outcome
		reason   serverapi.Reason
		status   int
		attempts int // 0 does not count them
	}{
		{name: "answered", behave: rt.Answer(201, "made"), method: "POST", outcome: "answered", status: 201, attempts: 1},
		{name: "the owner's own failure is its answer", behave: rt.Answer(500, "bug"), method: "POST", outcome: "answered", status: 500, attempts: 1},
		{name: "answer lost, not idempotent", behave: rt.Lost, method: "POST", outcome: "unknown", reason: callerapi.ReasonNoAnswer, status: 502, attempts: 1},
		{name: "answer lost, idempotent", behave: rt.InTurn(rt.Lost, rt.Answer(200, "ok")), method: "GET", outcome: "answered", status: 200, attempts: 2},
		{name: "answers lost, idempotent", behave: rt.Lost, method: "GET", outcome: "unknown", reason: callerapi.ReasonNoAnswer, status: 502},
		{name: "silent, not idempotent", behave: rt.Silent, method: "POST", outcome: "unknown", reason: callerapi.ReasonSilent, status: 504, attempts: 1},
		{name: "never answers", behave: rt.Hanging, method: "POST", outcome: "unknown", reason: serverapi.ReasonDeadline, status: 504, attempts: 1},
		{name: "broken answer, not idempotent", behave: rt.Broken(10, "half"), method: "POST", outcome: "unknown", reason: callerapi.ReasonBrokenAnswer, status: 502, attempts: 1},
		{name: "broken answer, idempotent", behave: rt.InTurn(rt.Broken(10, "half"), rt.Answer(200, "whole")), method: "GET", outcome: "answered", status: 200, attempts: 2},
		{name: "answer longer than declared", behave: rt.Broken(2, "half"), method: "POST", outcome: "unknown", reason: callerapi.ReasonBrokenAnswer, status: 502, attempts: 1},
		{name: "answer to another request", behave: rt.Foreign, method: "POST", outcome: "unknown", reason: callerapi.ReasonForeignAnswer, status: 502, attempts: 1},
		{name: "not owner, then owner again", behave: rt.InTurn(rt.Decline("not-run", serverapi.ReasonNotOwner), rt.Answer(200, "ok")), method: "POST", outcome: "answered", status: 200, attempts: 2},
		{name: "overloaded, then not", behave: rt.InTurn(rt.Decline("not-run", serverapi.ReasonOverloaded), rt.Answer(200, "ok")), method: "POST", outcome: "answered", status: 200, attempts: 2},
		{name: "always overloaded", behave: rt.Decline("not-run", serverapi.ReasonOverloaded), method: "POST", outcome: "not-run", reason: serverapi.ReasonOverloaded, status: 503},
		{name: "stale ticket", behave: rt.Decline("unknown", serverapi.ReasonStaleTicket), method: "POST", outcome: "unknown", reason: serverapi.ReasonStaleTicket, status: 409, attempts: 1},
		{name: "duplicate ticket", behave: rt.Decline("unknown", serverapi.ReasonDuplicate), method: "GET", outcome: "unknown", reason: serverapi.ReasonDuplicate, status: 409, attempts: 1},
		{name: "answer no longer kept", behave: rt.Decline("unknown", serverapi.ReasonAnswerGone), method: "POST", outcome: "unknown", reason: serverapi.ReasonAnswerGone, status: 409, attempts: 1},
		{name: "lease lost while it ran", behave: rt.Decline("unknown", serverapi.ReasonOwnershipLost), method: "POST", outcome: "unknown", reason: serverapi.ReasonOwnershipLost, status: 409, attempts: 1},
		{name: "ticket of another key", behave: rt.Decline("not-run", serverapi.ReasonBadTicket), method: "POST", outcome: "not-run", reason: serverapi.ReasonBadTicket, status: 400, attempts: 1},
		{name: "lost, then not owner: may have run", behave: rt.InTurn(rt.Lost, rt.Decline("not-run", serverapi.ReasonOverloaded)), method: "GET", outcome: "unknown", reason: callerapi.ReasonNoAnswer, status: 502},
		{name: "another server, not idempotent", behave: rt.InTurn(rt.Unreachable, rt.Answer(200, "ok")), method: "POST", unkeyed: true, outcome: "answered", status: 200, attempts: 2},
		{name: "another server, answer lost", behave: rt.Lost, method: "POST", unkeyed: true, outcome: "unknown", reason: callerapi.ReasonNoAnswer, status: 502, attempts: 1},
		{name: "another server, draining", behave: rt.InTurn(rt.Decline("not-run", serverapi.ReasonDraining), rt.Answer(200, "ok")), method: "POST", unkeyed: true, outcome: "answered", status: 200, attempts: 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			alone(t, both(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
				req := request(row.method, "well-7")
				if row.unkeyed {
					req = unkeyed(row.method)
				}
				for _, id := range []topo.ServerID{"s1", "u1", "u2", "u3"} {
					driver.Set(id, row.behave)
				}
				answer := node.Handler.Serve(context.Background(), req)
				text(g, answer)
				g.Expect(answer.Outcome).To(gomega.Equal(row.outcome))
				g.Expect(answer.Reason).To(gomega.Equal(row.reason))
				g.Expect(answer.Status).To(gomega.Equal(row.status))
				if row.attempts > 0 {
					g.Expect(driver.Attempts()).To(gomega.HaveLen(row.attempts))
				}
				if answer.Outcome != serverapi.OutcomeAnswered && answer.Status >= 429 {
					g.Expect(answer.RetryAfter).To(gomega.BeNumerically(">", 0))
				}
				for _, attempt := range driver.Attempts() {
					g.Expect(driver.Held(attempt.Server)).To(gomega.BeZero(), "places come back")
				}
			})
		})
	}
}

// TestLostServerIsGivenUpAtOnce: the owner cannot be reached and no other is
// named. The caller is told at once, with a time to come back, since the shard
// is not expected to be served before the deadline.
func TestLostServerIsGivenUpAtOnce(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Unreachable)
		req := request("POST", "well-7")
		begun := time.Now()
		req.Deadline = begun.Add(2 * time.Second)
		answer := node.Handler.Serve(context.Background(), req)
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		g.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonNoOwner))
		g.Expect(answer.RetryAfter).To(gomega.BeNumerically(">=", 2*time.Second))
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 10*time.Millisecond))
	})
}

// TestMovedShardIsServedByItsNextOwner: requests wait while nobody serves the
// shard, and go to the next owner as soon as the state names one.
func TestMovedShardIsServedByItsNextOwner(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, site *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Decline("not-run", serverapi.ReasonNotOwner))
		var wait sync.WaitGroup
		begun := time.Now()
		for range 30 {
			wait.Go(func() {
				answer := node.Handler.Serve(context.Background(), request("POST", "well-7"))
				g.Expect(text(g, answer)).To(gomega.Equal("answer of s2"))
			})
		}
		time.Sleep(150 * time.Millisecond)
		site.AssignAll(rt.KeyedName, "s2")
		wait.Wait()
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 300*time.Millisecond))
		asked := 0
		for _, attempt := range driver.Attempts() {
			if attempt.Server == "s1" {
				asked++
			}
		}
		g.Expect(asked).To(gomega.BeNumerically("<", 12), "the old owner is asked by one at a time")
	})
}

// TestActivatedStandbyIsUsed: a standby activated off the log serves what waits,
// and is dropped when the log passes it.
func TestActivatedStandbyIsUsed(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, site *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Unreachable)
		shard := topo.ShardID{Service: rt.KeyedName, Index: topo.ShardIndex("well-7", 4)}
		fence := site.Assign(shard, "s1", "s2")
		answers := make(chan string, 1)
		go func() {
			answers <- text(g, node.Handler.Serve(context.Background(), request("POST", "well-7")))
		}()
		time.Sleep(time.Second)
		node.Sink.Activated(shard, fence.Standby(), "s2")
		g.Expect(<-answers).To(gomega.Equal("answer of s2"))
		last := driver.Attempts()[len(driver.Attempts())-1]
		g.Expect(last.Req.Fence).To(gomega.Equal(fence.Standby()))
		driver.Set("s1", rt.Answer(200, "back"))
		site.Assign(shard, "s1", "")
		synctest.Wait()
		dumped, err := json.Marshal(node.Router.Dump())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(dumped)).To(gomega.ContainSubstring(`"activations":[]`))
		g.Expect(text(g, node.Handler.Serve(context.Background(), request("POST", "well-7")))).To(gomega.Equal("back"))
	})
}

// TestConcurrencyLimitHolds sends far more at once than the server may hold.
func TestConcurrencyLimitHolds(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Slow(20*time.Millisecond, rt.Answer(200, "ok")))
		for range 5 { // the server warms up, and its busy time is learned
			text(g, node.Handler.Serve(context.Background(), request("GET", "well-7")))
			time.Sleep(time.Second)
		}
		var wait sync.WaitGroup
		var mu sync.Mutex
		told := map[serverapi.Outcome]int{}
		for i := range 400 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 2500 * time.Microsecond)
				req := request("POST", fmt.Sprint("well-", i))
				req.Deadline = time.Now().Add(300 * time.Millisecond)
				answer := node.Handler.Serve(context.Background(), req)
				text(g, answer)
				mu.Lock()
				told[answer.Outcome]++
				mu.Unlock()
			})
		}
		wait.Wait()
		g.Expect(driver.Peak("s1")).To(gomega.Equal(4))
		g.Expect(told[serverapi.OutcomeUnknown]).To(gomega.BeZero(), "what cannot make it is refused before it is sent")
		g.Expect(told[serverapi.OutcomeNotRun]).To(gomega.BeNumerically(">", 50), "the load is twice what the server can do")
		g.Expect(told[serverapi.OutcomeAnswered]).To(gomega.BeNumerically(">=", 200), "and the server is kept busy")
	})
}

// TestCallerWhoGoesAwayCancelsTheServersRequest and gives the place back.
func TestCallerWhoGoesAwayCancelsTheServersRequest(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Hanging)
		ctx, cancel := context.WithCancel(context.Background())
		answers := make(chan *exchange.Answer, 1)
		go func() { answers <- node.Handler.Serve(ctx, request("GET", "well-7")) }()
		synctest.Wait()
		g.Expect(driver.Held("s1")).To(gomega.Equal(1))
		cancel()
		answer := <-answers
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		g.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonCanceled))
		g.Expect(driver.Held("s1")).To(gomega.BeZero())
		g.Expect(driver.Attempts()).To(gomega.HaveLen(1))
	})
}

// TestFrozenOwnerIsNotHammered: after a few silent attempts further requests
// wait for another owner instead of being sent.
func TestFrozenOwnerIsNotHammered(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, site *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Silent)
		for range 3 {
			node.Handler.Serve(context.Background(), request("POST", "well-7"))
		}
		sent := len(driver.Attempts())
		var wait sync.WaitGroup
		for range 50 {
			wait.Go(func() {
				answer := node.Handler.Serve(context.Background(), request("GET", "well-7"))
				g.Expect(text(g, answer)).To(gomega.Equal("answer of s2"))
			})
		}
		time.Sleep(time.Second)
		site.AssignAll(rt.KeyedName, "s2")
		wait.Wait()
		asked := 0
		for _, attempt := range driver.Attempts() {
			if attempt.Server == "s1" {
				asked++
			}
		}
		g.Expect(asked - sent).To(gomega.BeNumerically("<", 15))
	})
}

// TestDeepRequestsAreNotRetried: a request that a backend server made is
// answered after its first attempt.
func TestDeepRequestsAreNotRetried(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Lost)
		req := request("GET", "well-7")
		req.Hop = 1
		answer := node.Handler.Serve(context.Background(), req)
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		g.Expect(driver.Attempts()).To(gomega.HaveLen(1))
		g.Expect(driver.Attempts()[0].Req.Hop).To(gomega.Equal(2))
	})
}

// TestDependantsAreShedFirst: while quotes refuses for lack of capacity, a share
// of the requests to records, which depends on it, is refused at once.
func TestDependantsAreShedFirst(t *testing.T) {
	dependant := rt.Keyed()
	dependant.DependsOn = []topo.Service{rt.UnkeyedName}
	alone(t, []*siteconfig.Service{dependant, rt.Unkeyed()}, func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		for _, id := range []topo.ServerID{"u1", "u2", "u3"} {
			driver.Set(id, rt.Decline("not-run", serverapi.ReasonOverloaded))
		}
		for range 60 {
			node.Handler.Serve(context.Background(), unkeyed("POST"))
		}
		shed := 0
		for range 200 {
			answer := node.Handler.Serve(context.Background(), request("POST", "well-7"))
			if answer.Reason == callerapi.ReasonDependency {
				shed++
				g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
				g.Expect(answer.RetryAfter).To(gomega.BeNumerically(">=", time.Second))
				continue
			}
			text(g, answer)
		}
		g.Expect(shed).To(gomega.BeNumerically(">", 140))
		g.Expect(shed).To(gomega.BeNumerically("<", 200), "some pass, to see the recovery")
	})
}

// TestLargeBodies: a body that cannot be buffered is sent once; one above the
// limit, whose length was not declared, ends the attempt with an honest answer.
func TestLargeBodies(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		limit, _ := node.Handler.BodyLimit(rt.KeyedName)
		content := strings.Repeat("x", int(limit))
		req := request("GET", "well-7")
		var err error
		req.Body, err = exchange.NewBody(strings.NewReader(content), -1, limit, 1<<10)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		driver.Set("s1", rt.InTurn(rt.Lost, rt.Answer(200, "ok")))
		answer := node.Handler.Serve(context.Background(), req)
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown), "it cannot be sent again")
		g.Expect(driver.Attempts()[0].Body).To(gomega.HaveLen(int(limit)))

		req = request("POST", "well-7")
		req.Body, err = exchange.NewBody(strings.NewReader(content+"y"), -1, limit, 1<<10)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		answer = node.Handler.Serve(context.Background(), req)
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		g.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonBodyTooLarge))
		g.Expect(answer.Status).To(gomega.Equal(502))
	})
}

// TestStalledServerShedsItsQueue: the server stops answering; what waits for it
// is refused long before its deadline.
func TestStalledServerShedsItsQueue(t *testing.T) {
	service := rt.Keyed()
	service.ConcurrencyPerServer = 1
	alone(t, []*siteconfig.Service{service, rt.Unkeyed()}, func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Slow(10*time.Millisecond, rt.Answer(200, "ok")))
		for range 8 {
			text(g, node.Handler.Serve(context.Background(), request("GET", "k")))
		}
		driver.Set("s1", rt.Hanging)
		go node.Handler.Serve(context.Background(), request("POST", "k"))
		synctest.Wait()
		begun := time.Now()
		waiting := request("POST", "k")
		waiting.Deadline = begun.Add(2 * time.Second)
		answer := node.Handler.Serve(context.Background(), waiting)
		g.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonTooLate))
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("~", time.Second, 100*time.Millisecond))
		time.Sleep(time.Minute) // the hanging request's deadline
	})
}

// TestNewAdmissionPointBeginsGently: what the earlier one had in flight may
// still be at the server.
func TestNewAdmissionPointBeginsGently(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, site *routetest.Site, _ *rt.Driver, node *rt.Node) {
		text(g, node.Handler.Serve(context.Background(), request("GET", "k")))
		time.Sleep(2 * time.Second)
		g.Expect(node.Router.ServerStats()[0].Limit).To(gomega.Equal(4))
		site.Lead(groupA, "node-1", rt.Boot)
		synctest.Wait()
		g.Expect(node.Router.ServerStats()[0].Limit).To(gomega.Equal(1))
	})
}

// TestCallersWhoHangUpDoNotCountAgainstTheServer.
func TestCallersWhoHangUpDoNotCountAgainstTheServer(t *testing.T) {
	alone(t, both(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Broken(1<<20, strings.Repeat("x", 64<<10)))
		for range 10 {
			ctx, cancel := context.WithCancel(context.Background())
			answer := node.Handler.Serve(ctx, request("GET", "k"))
			cancel()
			_ = answer.Body.Close()
		}
		g.Expect(node.Router.ServerStats()[0].Ejected).To(gomega.BeFalse())
		for range 3 {
			_, err := io.Copy(io.Discard, node.Handler.Serve(context.Background(), request("GET", "k")).Body)
			g.Expect(err).To(gomega.HaveOccurred())
		}
		g.Expect(node.Router.ServerStats()[0].Ejected).To(gomega.BeTrue(), "answers that break off do count")
	})
}

// lowest is a picker that always takes the first server by name.
type lowest struct{}

func (lowest) Pick(candidates []pick.Candidate, _ func() float64) (int, bool) {
	best := 0
	for i := range candidates {
		if candidates[i].Server < candidates[best].Server {
			best = i
		}
	}
	return best, true
}

// TestRetryGoesElsewhere: a picker that insists on one server does not get it
// twice for the same request.
func TestRetryGoesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld(both()...)
		node := w.Start(t, "node-1", rt.With[pick.Picker](lowest{}))
		w.lead("node-1")
		w.driver.Set("u1", rt.Unreachable)
		g.Expect(text(g, node.Handler.Serve(context.Background(), unkeyed("POST")))).To(gomega.Equal("answer of u2"))
	})
}
