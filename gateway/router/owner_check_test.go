package router

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// checkedOwner is the owner of all keys. It answers health checks, and counts other requests.
type checkedOwner struct {
	waiting  atomic.Int32 // in its load reports
	isSilent atomic.Bool  // it answers nothing
	isIll    atomic.Bool  // it answers checks with 503
	isFull   atomic.Bool  // it answers requests with 503, as not run
	rest     atomic.Value // text of the rest that it asks for with 503; nil: none
	delay    atomic.Int64 // of its answers to checks, in nanoseconds
	requests atomic.Int32
	checks   atomic.Int32
}

func (o *checkedOwner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/health" {
		o.requests.Add(1)
	} else {
		o.checks.Add(1)
	}
	if o.isSilent.Load() {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/health" {
		time.Sleep(time.Duration(o.delay.Load()))
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Load", "report")
	isCheck := r.URL.Path == "/health"
	if o.isIll.Load() && isCheck || o.isFull.Load() && !isCheck {
		if rest, isAsked := o.rest.Load().(string); isAsked {
			w.Header().Set("Rest", rest)
		}
		if !isCheck {
			w.Header().Set("Not-Run", "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newCheckedExchange returns an at-most-once request for a key of an owner whose load is checked.
func newCheckedExchange(t *testing.T, o *checkedOwner, timeout time.Duration) *exchange {
	t.Helper()
	server := httptest.NewServer(o)
	t.Cleanup(server.Close)
	x := newKeyedExchange(t)
	headers := upstream.Headers{RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", Load: "Load", NotRun: "Not-Run", Rest: "Rest"}
	headers.ParseLoad = func(text string) (site.Load, bool) {
		return site.Load{Running: 3, Waiting: int(o.waiting.Load()), Slots: 3, Slowdown: 1}, text != ""
	}
	x.router.client = upstream.NewClient(headers, "a")
	owner := site.Server{ID: "b", Service: "s", Address: server.Listener.Addr().String(), Slots: 3}
	x.router.state.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{"b": owner}})
	x.router.state.MergeConfig(&site.Config{Version: 2, Services: map[site.ServiceName]site.Service{"s": {Name: "s", Keyed: true, HealthPath: "/health"}}})
	x.view = x.router.state.Now()
	x.router.refreshView()
	x.service.recordCheck(loadCheck{server: "b", health: upstream.Health{Load: &site.Load{Slots: 3, Slowdown: 1}}}, false)
	x.route.Kind = site.AtMostOnce
	x.request = upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "r1", Header: http.Header{"Request-Id": {"r1"}}}
	x.deadline = time.Now().Add(timeout)
	return x
}

func (x *exchange) runToItsDeadline() result {
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline)
	defer cancel()
	return x.run(ctx)
}

func TestRequestIsSentToAnOwnerThatAnswersACheck(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(checkedOwner)
	end := newCheckedExchange(t, o, 10*time.Second).runToItsDeadline()
	g.Expect(end.answer).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(o.checks.Load()).To(gomega.BeEquivalentTo(1))
	g.Expect(o.requests.Load()).To(gomega.BeEquivalentTo(1))
}

// A server may say that it is ill, and be well: its keys would have no other owner.
func TestRequestIsSentToAnOwnerThatSaysItIsIll(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(checkedOwner)
	o.isIll.Store(true)
	end := newCheckedExchange(t, o, 10*time.Second).runToItsDeadline()
	g.Expect(end.answer).NotTo(gomega.BeNil(), "%+v", end)
}

// A zone was dark, and each node sent at-most-once requests to its owners, which ended after three
// seconds as possibly run. A check finds out, and the request has not run.
func TestAtMostOnceRequestIsNotSentToASilentOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(checkedOwner)
	o.isSilent.Store(true)
	end := newCheckedExchange(t, o, 2*time.Second).runToItsDeadline()
	g.Expect(end.refusal).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(end.refusal.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(o.checks.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(o.requests.Load()).To(gomega.BeZero())
}

// Dozens of nodes sent requests to one owner, which reset the connections of those beyond its
// queue. They wait at the node instead, where they can be refused as not run.
func TestAtMostOnceRequestWaitsForAnOwnerWithALongQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(checkedOwner)
	o.waiting.Store(12)
	x := newCheckedExchange(t, o, 10*time.Second)
	go func() {
		for o.checks.Load() < 3 {
			time.Sleep(time.Millisecond)
		}
		o.waiting.Store(2)
	}()
	end := x.runToItsDeadline()
	g.Expect(end.answer).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(o.checks.Load()).To(gomega.BeNumerically(">=", 3))
	g.Expect(o.requests.Load()).To(gomega.BeEquivalentTo(1))

	o.waiting.Store(12)
	refused := newCheckedExchange(t, o, time.Second)
	o.requests.Store(0)
	end = refused.runToItsDeadline()
	g.Expect(end.refusal).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(o.requests.Load()).To(gomega.BeZero())
	again, _, _ := refused.service.requestSlot(&pool.Waiter{OnlyServer: "b", Deadline: time.Now().Add(time.Minute)})
	g.Expect(again.ID).To(gomega.Equal(site.ServerID("b")), "the slot was released")
}

// A busy owner serves a new connection only when one of its slots is free. Its late answers to checks
// were taken for silence: requests were refused, or forwarded to nodes that found the same.
func TestRequestWaitsForABusyOwnerThatAnswersLate(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(checkedOwner)
	o.delay.Store(int64(400 * time.Millisecond))
	x := newCheckedExchange(t, o, 20*time.Second)
	go func() {
		for o.checks.Load() < 6 {
			time.Sleep(time.Millisecond)
		}
		o.delay.Store(0)
	}()
	end := x.runToItsDeadline()
	g.Expect(end.answer).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(o.requests.Load()).To(gomega.BeEquivalentTo(1))
}

// Requests that had waited until shortly before their deadline were sent all the same, and cut off while
// the owner ran them: their callers could not try again.
func TestAtMostOnceRequestIsRefusedWhenItsOwnerWouldAnswerTooLate(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(checkedOwner)
	o.waiting.Store(8)
	x := newCheckedExchange(t, o, 150*time.Millisecond)
	end := x.runToItsDeadline()
	g.Expect(end.refusal).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(end.refusal.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(o.checks.Load()).To(gomega.BeEquivalentTo(1))
	g.Expect(o.requests.Load()).To(gomega.BeZero())
}

// Guards against a request that is sent to the owner of its key, or waits for its deadline, although a check has
// been told that the owner wants a rest.
func TestRequestIsRefusedWhenItsOwnerAsksACheckForARest(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(checkedOwner)
	o.isIll.Store(true)
	o.rest.Store("30")
	x := newCheckedExchange(t, o, 10*time.Second)
	startedAt := time.Now()
	end := x.runToItsDeadline()
	g.Expect(end.refusal).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(end.refusal.reason).To(gomega.Equal(string(pool.Resting)))
	g.Expect(end.refusal.retryAfter).To(gomega.BeNumerically(">", 29*time.Second))
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 2*time.Second))
	g.Expect(o.checks.Load()).To(gomega.BeEquivalentTo(1))
	g.Expect(o.requests.Load()).To(gomega.BeZero())
}

// Guards against a retry budget that is spent on requests that a rest holds back, and against the attempts of a
// request that end in the rest of all servers without saying when it ends.
func TestRestOfAllServersSpendsNoRetryBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(checkedOwner)
	o.isFull.Store(true)
	o.rest.Store("30")
	x := newCheckedExchange(t, o, 10*time.Second)
	x.route.Kind = site.Idempotent
	before := x.service.budgetLeft()
	startedAt := time.Now()
	end := x.runToItsDeadline()
	g.Expect(end.refusal).NotTo(gomega.BeNil(), "%+v", end)
	g.Expect(end.refusal.reason).To(gomega.Equal(string(pool.Resting)))
	g.Expect(end.refusal.retryAfter).To(gomega.BeNumerically(">", 29*time.Second))
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 2*time.Second))
	g.Expect(o.requests.Load()).To(gomega.BeEquivalentTo(1))
	g.Expect(x.service.budgetLeft()).To(gomega.Equal(before))
}
