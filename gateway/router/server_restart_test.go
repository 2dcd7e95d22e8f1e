package router

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/socket/sockettest"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// backend is a server on loopback that counts the requests that it receives.
type backend struct {
	site.Server
	received        atomic.Int32
	onRequest       func() // called for each request unless nil
	listener        net.Listener
	dropsConnection bool // closes the connection without an answer
}

func newBackend(t *testing.T, id site.ServerID) *backend {
	t.Helper()
	b := &backend{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.received.Add(1)
		if b.onRequest != nil {
			b.onRequest()
		}
		if b.dropsConnection {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	_ = server.Listener.Close() // its port may be taken by another program once it is closed
	server.Listener = sockettest.Listen(t)
	server.Start()
	t.Cleanup(server.Close)
	b.listener = server.Listener
	address, err := net.ResolveTCPAddr("tcp", server.Listener.Addr().String())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	b.Server = site.Server{ID: id, Service: "s", Address: address.String(), Zone: "a", Slots: 4}
	return b
}

// newRouterWithRestart returns a router whose only server receives a request and restarts:
// the registry shows the new incarnation before the request's connection ends.
func newRouterWithRestart(t *testing.T, kind site.Kind, others ...site.Server) (r *Router, first, second *backend) {
	t.Helper()
	g := gomega.NewWithT(t)
	state := view.NewState()
	state.SetMembers([]view.Member{{Node: "n", Boot: "b", Zone: "a"}}) // the nodes that share the retry budget
	g.Expect(state.MergeConfig(&site.Config{
		Version:  1,
		Services: map[site.ServiceName]site.Service{"s": {Name: "s"}},
		Routes:   []site.Route{{Host: "h", Prefix: "/", Kind: kind, Attempts: 3, Timeout: 10 * time.Second, Target: time.Second, Targets: []site.Target{{Service: "s", Weight: 1}}}},
	})).To(gomega.BeTrue())
	first = newBackend(t, site.IncarnationID("i", time.UnixMilli(1)))
	second = newBackend(t, site.IncarnationID("i", time.UnixMilli(2)))
	first.dropsConnection = true
	publish := func(servers ...site.Server) {
		next := view.Servers{Offset: state.Now().Servers.Offset + 1, Servers: map[site.ServerID]site.Server{}}
		for _, s := range servers {
			next.Servers[s.ID] = s
		}
		state.MergeServers(next)
	}
	first.onRequest = func() {
		publish(append(others, second.Server)...)
		r.service("s") // applies the new view, as the next request does
	}
	publish(first.Server)
	headers := upstream.Headers{RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}
	options := Options{Retries: budget.Terms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}
	r = New("a", headers, options, state, upstream.NewClient(headers, "a"), follow.NewReports(), hclog.NewNullLogger())
	return r, first, second
}

func serveOnce(r *Router) *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://h/x", nil)
	request.Header.Set("Request-Id", "1")
	r.ServeHTTP(answer, request)
	return answer
}

// The new incarnation never received the request; the previous one may have run it.
func TestRequestSentToAPreviousIncarnationMayHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	r, first, second := newRouterWithRestart(t, site.AtMostOnce)
	g.Expect(serveOnce(r).Code).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(first.received.Load()).To(gomega.Equal(int32(1)))
	g.Expect(second.received.Load()).To(gomega.BeZero())
}

// A new incarnation of a server that was tried is treated as tried: it has just started,
// and the route bounds the number of servers that a request is sent to.
func TestNewIncarnationOfATriedServerIsNotTried(t *testing.T) {
	g := gomega.NewWithT(t)
	r, first, second := newRouterWithRestart(t, site.Idempotent)
	answer := serveOnce(r)
	g.Expect(answer.Code).To(gomega.Equal(http.StatusBadGateway), "the request may have run, so this is not a refusal: %s", answer.Body)
	g.Expect(first.received.Load()).To(gomega.Equal(int32(1)))
	g.Expect(second.received.Load()).To(gomega.BeZero())
}

func TestAnotherServerIsTriedAfterARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	other := newBackend(t, "other")
	r, first, second := newRouterWithRestart(t, site.Idempotent, other.Server)
	g.Expect(serveOnce(r).Code).To(gomega.Equal(http.StatusOK))
	g.Expect(first.received.Load()).To(gomega.Equal(int32(1)))
	g.Expect(other.received.Load()).To(gomega.Equal(int32(1)))
	g.Expect(second.received.Load()).To(gomega.BeZero())
}
