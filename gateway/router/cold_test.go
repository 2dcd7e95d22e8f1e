package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// newColdOwnerSite returns a site whose only server owns all keys and is cold. The first of the
// other nodes counts its requests.
func newColdOwnerSite(t *testing.T, server http.HandlerFunc) *forwardingSite {
	t.Helper()
	s := newForwardingSite(t, site.AtMostOnce, 2, server, nil)
	s.origin.forwarding.isPartitioned = func(site.ServiceName) bool { return false }
	cold := site.Server{Service: "s", Zone: "a", Slots: 4, WarmUp: time.Minute, Address: s.server.Listener.Addr().String()}
	for i := 0; ; i++ {
		cold.ID = site.ServerID(fmt.Sprint("cold-", i))
		if counter, _ := ratelimit.Counter(cold, s.members); counter.Node == "other-0" {
			break
		}
	}
	config := *s.origin.state.Now().Config
	config.Version = 2
	config.Services = map[site.ServiceName]site.Service{"s": {Name: "s", Keyed: true, WarmUpRate: 2}}
	route := ranges.Route{Span: ranges.Span{To: ranges.LastKey}, Server: cold.ID, State: ranges.Ready}
	for _, r := range append(s.others, s.origin) {
		copied := config
		r.state.MergeConfig(&copied)
		r.state.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{cold.ID: cold}})
		r.state.MergeRoutes(view.Routes{Offset: 1, Services: map[site.ServiceName][]ranges.Route{"s": {route}}})
	}
	return s
}

func (s *forwardingSite) sendKey() *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
	request.Host = "h"
	request.Header.Set("Request-Id", "r1")
	request.Header.Set("Timeout", "300")
	request.Header.Set("Key", "7")
	answer := httptest.NewRecorder()
	s.origin.ServeHTTP(answer, request)
	return answer
}

// Every node sent its requests for a key to the cold owner, and the owner crashed. Now one node
// sends them all, at the rate that the owner tolerates, and refuses what is beyond.
func TestRequestsForAColdOwnerGoByWayOfTheNodeThatCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs atomic.Int32
	s := newColdOwnerSite(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerRequest(w, r)
	})
	begin := time.Now()
	served := 0
	for range 12 {
		answer := s.sendKey()
		switch answer.Code {
		case http.StatusCreated:
			served++
		default:
			g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable), answer.Body.String())
			g.Expect(answer.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
		}
	}
	tolerated := 2 + 2*time.Since(begin).Seconds() // burst and rate
	g.Expect(served).To(gomega.BeNumerically(">=", 2))
	g.Expect(float64(runs.Load())).To(gomega.BeNumerically("<=", tolerated))
	g.Expect(int(runs.Load())).To(gomega.Equal(served), "what is refused has not run")
}

// Guards against requests that reach a cold owner past the node that counts, when that node is
// gone.
func TestRequestsForAColdOwnerAreRefusedWithoutTheNodeThatCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs atomic.Int32
	s := newColdOwnerSite(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerRequest(w, r)
	})
	s.others[0].SetDraining()
	answer := s.sendKey()
	g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Body.String()).To(gomega.ContainSubstring("warming up"))
	g.Expect(runs.Load()).To(gomega.BeZero())
}
