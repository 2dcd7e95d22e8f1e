package router

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// newCrashRouter returns a router for idempotent requests to servers, and its log.
func newCrashRouter(t *testing.T, servers ...site.Server) (*Router, *view.State, *lines) {
	t.Helper()
	g := gomega.NewWithT(t)
	state := view.NewState()
	state.SetMembers([]view.Member{{Node: "n", Boot: "b", Zone: "a"}}) // the nodes that share the retry budget
	g.Expect(state.MergeConfig(&site.Config{
		Version:  1,
		Services: map[site.ServiceName]site.Service{"s": {Name: "s"}},
		Routes:   []site.Route{{Host: "h", Prefix: "/", Kind: site.Idempotent, Attempts: 2, Timeout: 10 * time.Second, Target: time.Second, Targets: []site.Target{{Service: "s", Weight: 1}}}},
	})).To(gomega.BeTrue())
	registry := view.Servers{Offset: 1, Servers: map[site.ServerID]site.Server{}}
	for _, s := range servers {
		registry.Servers[s.ID] = s
	}
	state.MergeServers(registry)
	headers := upstream.Headers{RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}
	options := Options{Retries: budget.Terms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}
	log := new(lines)
	r := New("a", headers, options, state, upstream.NewClient(headers, "a"), follow.NewReports(), hclog.New(&hclog.LoggerOptions{Output: log}))
	t.Cleanup(r.Close)
	return r, state, log
}

func getPath(r *Router, path string) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "http://h"+path, nil)
	request.Header.Set("Request-Id", "1")
	r.ServeHTTP(answer, request)
	return answer
}

const crashLine = "server ended while it had a request"

// A server that ends accepts no connection at its address.
func TestServerThatEndsUnderARequestIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	first := newBackend(t, "i")
	first.dropsConnection = true
	first.onRequest = func() { _ = first.listener.Close() }
	r, _, log := newCrashRouter(t, first.Server)
	g.Expect(getPath(r, "/x").Code).To(gomega.Equal(http.StatusBadGateway))
	g.Eventually(func() int { return log.count(crashLine) }, 10*time.Second, time.Millisecond).Should(gomega.Equal(1))
}

// A server that has restarted at its address is known by its entry in the registry.
func TestServerThatRestartsUnderARequestIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	first := newBackend(t, site.IncarnationID("i", time.UnixMilli(1)))
	first.dropsConnection = true
	r, state, log := newCrashRouter(t, first.Server)
	g.Expect(getPath(r, "/x").Code).To(gomega.Equal(http.StatusBadGateway))
	next := first.Server
	next.ID = site.IncarnationID("i", time.UnixMilli(2))
	state.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{next.ID: next}})
	g.Eventually(func() int { return log.count(crashLine) }, 10*time.Second, time.Millisecond).Should(gomega.Equal(1))
}

// Guards against requests that are suspected because single connections were reset.
func TestServerThatClosesAConnectionIsNotReported(t *testing.T) {
	g := gomega.NewWithT(t)
	first := newBackend(t, "i")
	first.dropsConnection = true
	r, _, log := newCrashRouter(t, first.Server)
	g.Expect(getPath(r, "/x").Code).To(gomega.Equal(http.StatusBadGateway))
	watching := func() int {
		r.crashes.mu.Lock()
		defer r.crashes.mu.Unlock()
		return len(r.crashes.watches)
	}
	g.Expect(watching()).To(gomega.Equal(1))
	g.Eventually(watching, 4*crashWatchTime, 10*time.Millisecond).Should(gomega.BeZero())
	g.Expect(log.count(crashLine)).To(gomega.BeZero())
}
