package router

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// countedContext counts the calls of Done.
type countedContext struct {
	context.Context
	doneCalls atomic.Int32
}

func (c *countedContext) Done() <-chan struct{} {
	c.doneCalls.Add(1)
	return c.Context.Done()
}

// newKeyedExchange returns an exchange for a key that server "b" owns.
func newKeyedExchange(t *testing.T) *exchange {
	t.Helper()
	g := gomega.NewWithT(t)
	state := view.NewState()
	services := map[site.ServiceName]site.Service{"s": {Name: "s", Keyed: true}}
	g.Expect(state.MergeConfig(&site.Config{Version: 1, Services: services})).To(gomega.BeTrue())
	owner := site.Server{ID: "b", Service: "s", Address: "127.0.0.1:1", Slots: 4}
	registered := view.Servers{Offset: 1, Servers: map[site.ServerID]site.Server{"b": owner}}
	g.Expect(state.MergeServers(registered)).To(gomega.BeTrue())
	all := ranges.Route{Span: ranges.Span{To: ranges.LastKey}, Server: "b", State: ranges.Ready}
	routes := view.Routes{Offset: 1, Services: map[site.ServiceName][]ranges.Route{"s": {all}}}
	g.Expect(state.MergeRoutes(routes)).To(gomega.BeTrue())
	options := Options{Retries: budget.Terms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}
	headers := upstream.Headers{Timeout: "Timeout", ExpectedServer: "Expected", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}
	r := New("a", headers, options, state, upstream.NewClient(headers, "a"), follow.NewReports(), hclog.NewNullLogger())
	now := time.Now()
	return &exchange{
		router:   r,
		view:     state.Now(),
		route:    &site.Route{Kind: site.Idempotent, Attempts: 2},
		service:  r.service("s"),
		keyed:    true,
		arrived:  now,
		deadline: now.Add(time.Minute),
		target:   now.Add(time.Minute),
	}
}

// A request whose caller had disconnected, and whose key's owner accepted no connection,
// retried to find an owner for up to a second without blocking and starved other goroutines.
// Nodes stalled for 0.2 to 1.6 s. In the five seconds after servers had become unresponsive,
// six of twelve nodes allocated 196 to 452 MB each, and the others 11 to 29 MB, with as many
// requests and as many lines "caller left".
func TestRequestOfADisconnectedCallerDoesNotSpinWaitingForAnOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newKeyedExchange(t)
	x.service.releaseSlot(site.Server{ID: "b"}, pool.Outcome{Failed: true, NotReached: true})
	ended, leave := context.WithCancel(context.Background())
	leave()
	ctx := &countedContext{Context: ended}
	_, problem := x.acquireOwnerSlot(ctx, x.waiter())
	g.Expect(ctx.doneCalls.Load()).To(gomega.BeNumerically("<", 5))
	g.Expect(problem).NotTo(gomega.BeNil())
}

// A slot may become free at the moment when a request is canceled. A request sent then is
// reset at once: the server logs "gone" for it in the same millisecond.
func TestCanceledRequestIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newKeyedExchange(t)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	outcome := x.run(ctx)
	g.Expect(outcome.refusal).NotTo(gomega.BeNil())
	g.Expect(x.attempts).To(gomega.BeZero(), "attempts of a canceled request")
	again, _, _ := x.service.requestSlot(&pool.Waiter{OnlyServer: "b", Deadline: x.deadline})
	g.Expect(again.ID).To(gomega.Equal(site.ServerID("b")), "the slot was released")
}

// While all zones are evacuated no other owner can be expected: a request that waits for one is
// only held up.
func TestRequestIsRefusedAtOnceWhileAllZonesAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		x := newKeyedExchange(t)
		x.router.state.MergeEvacuation(1, []string{""})
		x.router.refreshView()
		askedAt := time.Now()
		_, problem := x.acquireOwnerSlot(t.Context(), x.waiter())
		g.Expect(problem.reason).To(gomega.Equal(string(pool.NoServer)))
		g.Expect(time.Since(askedAt)).To(gomega.BeZero())
	})
}

type disconnectedCaller struct{}

func (disconnectedCaller) Disconnected() bool { return true }

// The end of a caller's connection is read concurrently with the request, so that a hedge
// may be due before the end has been read.
func TestNoHedgeIsSentForADisconnectedCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newKeyedExchange(t)
	x.keyed = false
	for range 20 {
		x.service.countRequest() // adds to the retry budget
	}
	server, found := x.acquireHedgeSlot(site.Server{})
	g.Expect(found).To(gomega.BeTrue(), "a slot is free")
	x.service.releaseSlot(server, pool.Outcome{Abandoned: true})
	x.caller = disconnectedCaller{}
	_, found = x.acquireHedgeSlot(site.Server{})
	g.Expect(found).To(gomega.BeFalse())
}

// The log line of a refused request contains the share that caused the refusal and its age.
func TestLogLineOfARefusedRequestContainsTheShare(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newKeyedExchange(t)
	x.router.state.MergeShares(view.Shares{Offset: 1, Serial: 1, ByServer: quota.Shares{"b": 0.05}})
	x.router.service("s") // applies them
	refused := 0
	for range 10 {
		_, problem := x.acquireSlot(context.Background())
		if problem != nil {
			refused++
			g.Expect(problem.reason).To(gomega.Equal(string(pool.OverShare)))
			g.Expect(problem.retryAfter).To(gomega.BeNumerically(">", 0))
			g.Expect(x.trace.steps[len(x.trace.steps)-1]).To(gomega.MatchRegexp(`^b gets 0.05 of the requests for its keys, told \d+ ms ago$`))
		}
	}
	g.Expect(refused).To(gomega.BeNumerically(">=", 9))
}

// A waiting request gets a slot at a newly registered server even if no other request arrives.
func TestWaitingRequestGetsASlotAtANewServer(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newKeyedExchange(t)
	x.keyed = false
	w := &pool.Waiter{Deadline: x.deadline, Target: x.target}
	for {
		if _, results, _ := x.service.requestSlot(w); results != nil { // the only server is full
			x.service.cancelWait(w, results)
			break
		}
	}
	go func() {
		time.Sleep(10 * time.Millisecond)
		added := site.Server{ID: "c", Service: "s", Address: "127.0.0.1:2", Slots: 4}
		servers := map[site.ServerID]site.Server{"b": x.router.state.Now().Servers.Servers["b"], "c": added}
		x.router.state.MergeServers(view.Servers{Offset: 2, Servers: servers})
	}()
	server, problem := x.waitForSlot(context.Background(), x.waiter())
	g.Expect(problem).To(gomega.BeNil())
	g.Expect(server.ID).To(gomega.Equal(site.ServerID("c")))
}
