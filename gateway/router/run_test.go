package router

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// A slow server always has a queue. The estimate of its service time must still show that
// it is slow, and must not mistake time in the queue for slowness.
func TestServiceTimeExcludesTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	answered := func(took time.Duration, load *site.Load) attemptResult {
		return attemptResult{answer: &upstream.Answer{Notice: site.Notice{Load: load}}, duration: took}
	}
	g.Expect(serviceTime(answered(100*time.Millisecond, nil))).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(serviceTime(answered(100*time.Millisecond, &site.Load{Running: 2, Slots: 4}))).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(serviceTime(answered(300*time.Millisecond, &site.Load{Running: 4, Waiting: 8, Slots: 4}))).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(serviceTime(answered(2*time.Second, &site.Load{Running: 4, Waiting: 4, Slots: 4}))).To(gomega.Equal(time.Second))
}

// Guards against owners that look busier than they are because requests to them need new connections.
func TestServiceTimeExcludesTheNewConnection(t *testing.T) {
	answer := &upstream.Answer{ConnectTime: 40 * time.Millisecond}
	gomega.NewWithT(t).Expect(serviceTime(attemptResult{answer: answer, duration: 100 * time.Millisecond})).To(gomega.Equal(60 * time.Millisecond))
}

func TestLinesOfFailedRequestsAreBoundedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var b lineBudget
	now := time.Unix(1000, 0)
	written := 0
	for range 100 {
		if allowed, _ := b.take(true, now); allowed {
			written++
		}
	}
	g.Expect(written).To(gomega.Equal(maxFailedLines))
	allowed, _ := b.take(false, now)
	g.Expect(allowed).To(gomega.BeTrue(), "answered requests have a separate budget")
	allowed, dropped := b.take(true, now.Add(time.Second))
	g.Expect(allowed).To(gomega.BeTrue())
	g.Expect(dropped).To(gomega.Equal(100 - maxFailedLines))
}

// A request that arrives on an open connection at the very end of a shutdown would be cut
// off when the process terminates. It is refused instead, which truthfully reports that it
// has not run.
func TestRequestsJustBeforeTerminationAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	state := view.NewState()
	config := &site.Config{
		Version:  1,
		Services: map[site.ServiceName]site.Service{"s": {Name: "s"}},
		Routes:   []site.Route{{Host: "h", Prefix: "/", Targets: []site.Target{{Service: "s", Weight: 1}}}},
	}
	g.Expect(state.MergeConfig(config)).To(gomega.BeTrue())
	g.Expect(state.MergeServers(view.Servers{Offset: 1})).To(gomega.BeTrue())
	headers := upstream.Headers{ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}
	r := New("a", headers, Options{}, state, upstream.NewClient(headers, "a"), follow.NewReports(), nil)
	r.SetDraining()
	r.SetTerminating()
	answer := httptest.NewRecorder()
	r.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://h/x", nil))
	g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Header().Get("Retry-After")).To(gomega.Equal("0.100"))
	g.Expect(answer.Header().Get("Connection")).To(gomega.Equal("close"))
	g.Expect(answer.Body.String()).To(gomega.Equal("node shuts down\n"))
}

// A request that still waits when the process is about to terminate is answered as not run.
func TestWaitingRequestsAreAnsweredWhenTheRouterCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		state := view.NewState()
		config := &site.Config{
			Version:  1,
			Services: map[site.ServiceName]site.Service{"s": {Name: "s", Keyed: true}},
			Routes:   []site.Route{{Host: "h", Prefix: "/", Timeout: time.Minute, Targets: []site.Target{{Service: "s", Weight: 1}}}},
		}
		g.Expect(state.MergeConfig(config)).To(gomega.BeTrue())
		g.Expect(state.MergeServers(view.Servers{Offset: 1})).To(gomega.BeTrue())
		headers := upstream.Headers{Key: "Key", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}
		options := Options{Retries: budget.Terms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}
		r := New("a", headers, options, state, upstream.NewClient(headers, "a"), follow.NewReports(), hclog.NewNullLogger())
		answer := httptest.NewRecorder()
		startedAt := time.Now()
		time.AfterFunc(100*time.Millisecond, r.Close)
		request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
		request.Header.Set("Key", "1") // its owner is unknown, so the request waits
		r.ServeHTTP(answer, request)
		g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(startedAt)).To(gomega.Equal(100*time.Millisecond), "by the fake clock, not at the end of its wait")
	})
}
