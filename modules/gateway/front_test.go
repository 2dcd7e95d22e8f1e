package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/router"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// countingServer starts a backend server that counts its requests.
func countingServer(t testing.TB) (address string, requests *atomic.Int32) {
	t.Helper()
	requests = new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = io.WriteString(w, "whole") // the caller detects a failed write
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests
}

// startFront serves callers on the loopback interface with one backend server. wrap is
// applied to every caller connection.
func startFront(t testing.TB, server string, wrap func(net.Conn) net.Conn) (address string) {
	t.Helper()
	return startFrontWithLog(t, server, wrap, hclog.NewNullLogger())
}

func startFrontWithLog(t testing.TB, server string, wrap func(net.Conn) net.Conn, logger hclog.Logger) (address string) {
	t.Helper()
	g := gomega.NewWithT(t)
	state := view.NewState()
	config := &site.Config{
		Version:  1,
		Services: map[site.ServiceName]site.Service{"s": {Name: "s"}},
		Routes:   []site.Route{{Host: "h", Prefix: "/", Kind: site.Idempotent, Timeout: time.Minute, Target: time.Minute, Attempts: 2, Targets: []site.Target{{Service: "s", Weight: 1}}}},
	}
	g.Expect(state.MergeConfig(config)).To(gomega.BeTrue())
	registered := map[site.ServerID]site.Server{"b": {ID: "b", Service: "s", Address: server, Slots: 4}}
	g.Expect(state.MergeServers(view.Servers{Offset: 1, Servers: registered})).To(gomega.BeTrue())
	headers := upstream.Headers{
		RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", NotRun: "Not-Run", Load: "Load",
		ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false },
	}
	terms := router.Options{Retries: budget.Terms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}
	handler := router.New("a", headers, terms, state, upstream.NewClient(headers, "a"), follow.NewReports(), logger)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	callers := newCallerConns(fixedTimeouts(time.Minute, time.Minute), callerLimits{})
	front := callers.server(handler)
	go func() { _ = front.Serve(&callerListener{Listener: &wrappingListener{listener, wrap}, owner: callers}) }()
	t.Cleanup(func() { _ = front.Close() })
	return listener.Addr().String()
}

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l *wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}
