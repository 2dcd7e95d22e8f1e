package router_test

import (
	"context"
	"encoding/json"
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

// world is a site with a driver and a network in memory. The clock is fake.
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
	rt.AddServers(w.Site, rt.KeyedName, zoneA, "s1", "s2")
	rt.AddServers(w.Site, rt.UnkeyedName, zoneA, "u1", "u2", "u3")
	w.Site.Lead(groupA, node, rt.Boot)
	w.Site.AssignAll(rt.KeyedName, "s1")
}

// withSingleNode runs a test with one node, which leads the group of all servers; s1
// owns every shard.
func withSingleNode(t *testing.T, services []*siteconfig.Service, test func(g *gomega.WithT, site *routetest.Site, driver *rt.Driver, node *rt.Node)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(services...)
		node := w.Start(t, "node-1")
		w.lead("node-1")
		test(gomega.NewWithT(t), w.Site, w.driver, node)
	})
}

func bothServices() []*siteconfig.Service { return []*siteconfig.Service{rt.Keyed(), rt.Unkeyed()} }

// TestRequestForLostServerFailsImmediately: the owner is unreachable and the state
// names no other. The caller is answered immediately, with a Retry-After time,
// because the shard is not expected to be served before the deadline.
func TestRequestForLostServerFailsImmediately(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Unreachable)
		req := request("POST", "well-7")
		start := time.Now()
		req.Deadline = start.Add(2 * time.Second)
		answer := node.Handler.Serve(context.Background(), req)
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeNotRun))
		g.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonNoOwner))
		g.Expect(answer.RetryAfter).To(gomega.BeNumerically(">=", 2*time.Second))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 10*time.Millisecond))
	})
}

// TestMovedShardIsServedByItsNextOwner: requests wait while no server serves
// the shard, and go to the next owner as soon as the state names one.
func TestMovedShardIsServedByItsNextOwner(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, site *routetest.Site, driver *rt.Driver, node *rt.Node) {
		// Answers take 1 ms, so that not all requests are sent before the first
		// answer, whatever the order of their goroutines.
		driver.Set("s1", rt.Delayed(time.Millisecond, rt.Decline("not-run", serverapi.ReasonNotOwner)))
		var wait sync.WaitGroup
		start := time.Now()
		for range 30 {
			wait.Go(func() {
				answer := node.Handler.Serve(context.Background(), request("POST", "well-7"))
				g.Expect(text(g, answer)).To(gomega.Equal("answer of s2"))
			})
		}
		time.Sleep(150 * time.Millisecond)
		site.AssignAll(rt.KeyedName, "s2")
		wait.Wait()
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 300*time.Millisecond))
		attempts := 0
		for _, attempt := range driver.Attempts() {
			if attempt.Server == "s1" {
				attempts++
			}
		}
		g.Expect(attempts).To(gomega.BeNumerically("<", 12), "one request at a time probes the previous owner")
	})
}

// TestActivatedStandbyIsUsed: a standby that is activated without a log record
// serves waiting requests, and the activation ends when the log supersedes it.
func TestActivatedStandbyIsUsed(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, site *routetest.Site, driver *rt.Driver, node *rt.Node) {
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

// TestDisconnectedCallerCancelsServerRequest checks that the caller's disconnect
// cancels the request at the server and releases its slot.
func TestDisconnectedCallerCancelsServerRequest(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Hanging)
		ctx, cancel := context.WithCancel(context.Background())
		answers := make(chan *exchange.Answer, 1)
		go func() { answers <- node.Handler.Serve(ctx, request("GET", "well-7")) }()
		synctest.Wait()
		g.Expect(driver.InFlight("s1")).To(gomega.Equal(1))
		cancel()
		answer := <-answers
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		g.Expect(answer.Reason).To(gomega.Equal(callerapi.ReasonCanceled))
		g.Expect(driver.InFlight("s1")).To(gomega.BeZero())
		g.Expect(driver.Attempts()).To(gomega.HaveLen(1))
	})
}

// TestUnresponsiveOwnerReceivesFewAttempts: after a few attempts without progress,
// further requests wait for another owner instead of being sent.
func TestUnresponsiveOwnerReceivesFewAttempts(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, site *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Unresponsive)
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
		attempts := 0
		for _, attempt := range driver.Attempts() {
			if attempt.Server == "s1" {
				attempts++
			}
		}
		g.Expect(attempts - sent).To(gomega.BeNumerically("<", 15))
	})
}

// TestDeepRequestsAreNotRetried: a request made by a backend server is answered
// after its first attempt.
func TestDeepRequestsAreNotRetried(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		driver.Set("s1", rt.Lost)
		req := request("GET", "well-7")
		req.Hop = 1
		answer := node.Handler.Serve(context.Background(), req)
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown))
		g.Expect(driver.Attempts()).To(gomega.HaveLen(1))
		g.Expect(driver.Attempts()[0].Req.Hop).To(gomega.Equal(2))
	})
}

// TestLargeBodies: a body that is too large to buffer is sent only once. A body
// above the limit, without a declared length, ends the attempt with the reason.
func TestLargeBodies(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
		limit, _ := node.Handler.BodyLimit(rt.KeyedName)
		content := strings.Repeat("x", int(limit))
		req := request("GET", "well-7")
		var err error
		req.Body, err = exchange.NewBody(strings.NewReader(content), -1, limit, 1<<10)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		driver.Set("s1", rt.Sequence(rt.Lost, rt.Answer(200, "ok")))
		answer := node.Handler.Serve(context.Background(), req)
		g.Expect(answer.Outcome).To(gomega.Equal(serverapi.OutcomeUnknown), "the body cannot be sent again")
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

// TestDisconnectedCallersDoNotEjectServer: only interrupted answers count against
// the server.
func TestDisconnectedCallersDoNotEjectServer(t *testing.T) {
	withSingleNode(t, bothServices(), func(g *gomega.WithT, _ *routetest.Site, driver *rt.Driver, node *rt.Node) {
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
		g.Expect(node.Router.ServerStats()[0].Ejected).To(gomega.BeTrue(), "interrupted answers count against the server")
	})
}

// lowest is a picker that always picks the first server by name.
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

// TestRetryUsesAnotherServer: a picker that always prefers one server is not
// offered it twice for the same request.
func TestRetryUsesAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := newWorld(bothServices()...)
		node := w.Start(t, "node-1", rt.With[pick.Picker](lowest{}))
		w.lead("node-1")
		w.driver.Set("u1", rt.Unreachable)
		g.Expect(text(g, node.Handler.Serve(context.Background(), unkeyed("POST")))).To(gomega.Equal("answer of u2"))
	})
}
