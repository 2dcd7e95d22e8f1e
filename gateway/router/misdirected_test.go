package router

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// ownerWithoutLease is the owner of all keys by the view, and refuses requests as misdirected until
// it has a lease.
type ownerWithoutLease struct {
	requests atomic.Int32
	hasLease atomic.Bool
}

func (o *ownerWithoutLease) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.requests.Add(1)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if !o.hasLease.Load() {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
}

// newExchangesAt returns requests of one node for keys that a server owns.
func newExchangesAt(t *testing.T, o http.Handler, count int, timeout time.Duration) []*exchange {
	t.Helper()
	server := httptest.NewServer(o)
	t.Cleanup(server.Close)
	first := newKeyedExchange(t)
	first.router.client = upstream.NewClient(forwardHeaders, "a")
	owner := site.Server{ID: "b", Service: "s", Address: server.Listener.Addr().String(), Slots: 8}
	first.router.state.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{"b": owner}})
	first.router.refreshView()
	deadline := time.Now().Add(timeout)
	var all []*exchange
	for i := range count {
		all = append(all, &exchange{
			router: first.router, service: first.service, view: first.router.state.Now(),
			route: &site.Route{Kind: site.AtMostOnce, Attempts: 2}, keyed: true, key: ranges.Key(i),
			arrived: time.Now(), deadline: deadline, target: deadline,
			request: upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "r1", Header: http.Header{"Request-Id": {"r1"}}},
		})
	}
	return all
}

func runAll(all []*exchange) []result {
	results := make([]result, len(all))
	var ended sync.WaitGroup
	for i, x := range all {
		x.service.countRequest()
		ended.Go(func() { results[i] = x.runToItsDeadline() })
	}
	ended.Wait()
	return results
}

// While no lessor could renew leases, each request found out by itself that the owner of its key
// held it no more. The answers took the retry budget of the service, and 369 requests were refused for
// that within seven seconds.
func TestRequestsDoNotTryAnOwnerWithoutALeaseOneByOne(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(ownerWithoutLease)
	const timeout = 600 * time.Millisecond
	all := newExchangesAt(t, o, 100, timeout)
	runAll(all[:1])
	results := runAll(all[1:])
	g.Expect(o.requests.Load()).To(gomega.BeNumerically("<=", 2+timeout/misdirectedPause))
	for _, end := range results {
		g.Expect(end.refusal).NotTo(gomega.BeNil(), "%+v", end)
		g.Expect(end.refusal.reason).NotTo(gomega.Equal("retry budget spent"))
	}
}

// Requests that wait are sent as soon as one of them was answered.
func TestRequestsAreSentOnceTheirOwnerHasALeaseAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	o := new(ownerWithoutLease)
	all := newExchangesAt(t, o, 40, 30*time.Second)
	runToRefusal := all[0]
	runToRefusal.deadline = time.Now().Add(misdirectedPause)
	runAll(all[:1])
	g.Expect(o.requests.Load()).To(gomega.BeNumerically(">", 0))
	o.hasLease.Store(true)
	for _, end := range runAll(all[1:]) {
		g.Expect(end.answer).NotTo(gomega.BeNil(), "%+v", end)
		g.Expect(end.answer.Status).To(gomega.Equal(http.StatusOK))
	}
}

// A range that has another owner is not paused, nor is another range of the same owner.
func TestOnlyTheRangeAtTheOwnerThatRefusedItIsPaused(t *testing.T) {
	g := gomega.NewWithT(t)
	m := misdirections{}
	now := time.Now()
	refused := ownedRange{ranges.Span{From: 1, To: 10}, "b"}
	m.note(refused, now)
	wait, mayTry := m.tryAgain(refused, now.Add(misdirectedPause/4))
	g.Expect(mayTry).To(gomega.BeFalse())
	g.Expect(wait).To(gomega.Equal(misdirectedPause * 3 / 4))
	for _, other := range []ownedRange{{refused.span, "c"}, {ranges.Span{From: 11, To: 20}, "b"}} {
		_, mayTry = m.tryAgain(other, now)
		g.Expect(mayTry).To(gomega.BeTrue())
	}
	_, mayTry = m.tryAgain(refused, now.Add(misdirectedPause))
	g.Expect(mayTry).To(gomega.BeTrue())
	_, mayTry = m.tryAgain(refused, now.Add(misdirectedPause))
	g.Expect(mayTry).To(gomega.BeFalse(), "one request at a time")
	m.note(ownedRange{ranges.Span{From: 11, To: 20}, "b"}, now.Add(time.Minute))
	g.Expect(m).To(gomega.HaveLen(1), "forgotten when nobody waits any more")
}
