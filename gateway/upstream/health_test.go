package upstream

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A check tells the load of a server and how long it stays cold, and leaves a connection on which
// the next request is sent.
func TestHealthCheckReportsLoadAndWarmUp(t *testing.T) {
	g := gomega.NewWithT(t)
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Load", "busy")
		if r.URL.Path == "/health" {
			g.Expect(r.Header.Get("Expected")).To(gomega.Equal("s"))
			w.Header().Set("Warm", "1500")
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	load := site.Load{Running: 3, Waiting: 2, Slots: 3, Slowdown: 2}
	headers := Headers{RequestID: "Request-Id", Timeout: "Timeout", ExpectedServer: "Expected", Load: "Load", WarmUp: "Warm", ParseLoad: func(text string) (site.Load, bool) { return load, text == "busy" }}
	client := NewClient(headers, "a")
	to := site.Server{ID: "s", Address: strings.TrimPrefix(server.URL, "http://")}
	health, err := client.CheckHealth(t.Context(), to, "/health")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(*health.Load).To(gomega.Equal(load))
	g.Expect(health.WarmUp).To(gomega.Equal(1500 * time.Millisecond))
	request := &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1", Header: http.Header{"Request-Id": {"1"}}, Remaining: time.Minute, Fresh: true}
	_, err = client.Send(t.Context(), to, request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(connections.Load()).To(gomega.BeEquivalentTo(1))
}

func TestUnhealthyServerIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer server.Close()
	client := NewClient(Headers{ExpectedServer: "Expected", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}, "a")
	_, err := client.CheckHealth(t.Context(), site.Server{ID: "s", Address: strings.TrimPrefix(server.URL, "http://")}, "/health")
	var unhealthy *UnhealthyError
	g.Expect(errors.As(err, &unhealthy)).To(gomega.BeTrue())
	g.Expect(unhealthy.Status).To(gomega.Equal(http.StatusServiceUnavailable))
}

// An idle connection may be stalled, so that only a new one tells whether the server answers.
func TestHealthCheckOnANewConnectionLeavesIdleOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := NewClient(Headers{ExpectedServer: "Expected", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}, "a")
	to := site.Server{ID: "s", Address: strings.TrimPrefix(server.URL, "http://")}
	g.Expect(client.HasIdle(to)).To(gomega.BeFalse())
	for range 2 {
		_, err := client.CheckHealthAnew(t.Context(), to, "/health")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(client.HasIdle(to)).To(gomega.BeTrue())
	}
	g.Expect(connections.Load()).To(gomega.BeEquivalentTo(2))
}
