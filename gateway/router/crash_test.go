package router

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/forward"
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

// crashedServer returns a server that drops its connection and accepts no further one.
func crashedServer(t *testing.T) *backend {
	t.Helper()
	b := newBackend(t, "i")
	b.dropsConnection = true
	b.onRequest = func() { _ = b.listener.Close() }
	return b
}

// A partition that resets connections and refuses new ones looked like the end of every server,
// and the requests in flight were quarantined.
func TestServersOfAPartitionedNodeAreNotReported(t *testing.T) {
	g := gomega.NewWithT(t)
	first := crashedServer(t)
	unreachable := site.Server{ID: "j", Service: "other", Address: "127.0.0.1:1", Zone: "b"}
	r, _, log := newCrashRouter(t, first.Server, unreachable)
	g.Expect(getPath(r, "/x").Code).To(gomega.Equal(http.StatusBadGateway))
	g.Consistently(func() int { return log.count(crashLine) }, 500*time.Millisecond, 10*time.Millisecond).Should(gomega.BeZero())
}

// Beside a server that is reached, the refusal of another one shows its end.
func TestServerThatEndsBesideOthersIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	first := crashedServer(t)
	other := newBackend(t, "j")
	other.Service = "other"
	r, _, log := newCrashRouter(t, first.Server, other.Server)
	g.Expect(getPath(r, "/x").Code).To(gomega.Equal(http.StatusBadGateway))
	g.Eventually(func() int { return log.count(crashLine) }, 10*time.Second, time.Millisecond).Should(gomega.Equal(1))
}

// Of eight servers that ended one after the other under a request, one or two were not reported: the
// node compared them with servers that had ended as well, and took itself for partitioned.
func TestServerThatEndsAfterMostOthersIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	live := newBackend(t, "live")
	servers := []site.Server{live.Server}
	for i := range 20 {
		ended := site.Server{ID: site.ServerID("ended-" + strconv.Itoa(i)), Service: "s", Address: "127.0.0.1:1", Zone: "a"}
		servers = append(servers, ended)
	}
	r, state, _ := newCrashRouter(t, servers...)
	for _, ended := range servers[1:] {
		r.crashes.watches[ended.ID] = &crashWatch{server: ended}
	}
	for _, ended := range servers[1:] {
		g.Expect(r.crashes.hasEnded(t.Context(), ended)).To(gomega.BeTrue(), "%s", ended.ID)
	}
	g.Expect(live.listener.Close()).To(gomega.Succeed())
	g.Expect(r.crashes.hasEnded(t.Context(), servers[1])).To(gomega.BeFalse(), "the node reaches no server")
	state.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{"ended-0": servers[1], "ended-1": servers[2]}})
	g.Expect(r.crashes.hasEnded(t.Context(), servers[1])).To(gomega.BeFalse(), "all others are suspected as well")
}

// A partition from some servers only is known by other nodes, which reach them.
func TestServerThatAnotherNodeReachesIsNotReported(t *testing.T) {
	for _, isReached := range []bool{true, false} {
		g := gomega.NewWithT(t)
		first := crashedServer(t)
		live := newBackend(t, "i")
		if !isReached {
			g.Expect(live.listener.Close()).To(gomega.Succeed())
		}
		control := newBackend(t, "j")
		control.Service = "other"
		r, state, log := newCrashRouter(t, first.Server, control.Server)
		other, _, _ := newCrashRouter(t, live.Server)
		mux := http.NewServeMux()
		mux.HandleFunc("POST "+forward.ProbePath, other.ServeProbe)
		listener := httptest.NewServer(mux)
		t.Cleanup(listener.Close)
		members := []view.Member{{Node: "n", Boot: "b", Zone: "a", Address: "127.0.0.1:1"}, {Node: "m", Boot: "c", Zone: "a", Address: listener.Listener.Addr().String()}}
		for i, node := range []*Router{r, other} {
			node.state.SetMembers(members)
			node.EnableForwarding(members[i], upstream.NewNodeClient(node.headers, "a"), func(site.ServiceName) bool { return false })
		}
		g.Expect(state.Now().Members).To(gomega.HaveLen(2))
		g.Expect(getPath(r, "/x").Code).NotTo(gomega.Equal(http.StatusOK))
		if isReached {
			g.Consistently(func() int { return log.count(crashLine) }, 500*time.Millisecond, 10*time.Millisecond).Should(gomega.BeZero())
		} else {
			g.Eventually(func() int { return log.count(crashLine) }, 10*time.Second, time.Millisecond).Should(gomega.Equal(1))
		}
	}
}
