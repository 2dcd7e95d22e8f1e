package router

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ratelimit"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// oneCounter is a limit that leaves one node to send requests.
const oneCounter = 1.9

// unusedFor is for how long the limited server has had no request.
const unusedFor = 8 * time.Second

// newLimitedSite returns a site whose only server names a limit that all nodes know of. The first of the
// other nodes counts its requests.
func newLimitedSite(t *testing.T, rate float64, server http.HandlerFunc) *forwardingSite {
	t.Helper()
	s := newForwardingSite(t, site.AtMostOnce, 2, server, nil)
	s.origin.forwarding.isPartitioned = func(site.ServiceName) bool { return false }
	limited := site.Server{Service: "s", Zone: "a", Slots: 4, Address: s.server.Listener.Addr().String()}
	for i := 0; ; i++ {
		limited.ID = site.ServerID(fmt.Sprint("limited-", i))
		if counter, _ := ratelimit.Counter(limited, s.members); counter.Node == "other-0" {
			break
		}
	}
	for _, r := range append(s.others, s.origin) {
		r.state.MergeServers(view.Servers{Offset: 2, Servers: map[site.ServerID]site.Server{limited.ID: limited}})
		r.state.MergeLimits(map[site.ServerID]site.NamedLimit{limited.ID: {Rate: rate, IsNamed: true, At: time.Now().Add(-unusedFor)}})
	}
	return s
}

// Guards against requests that wait in vain, or reach the server past the node that counts, while all
// servers of their service name limits.
func TestRequestsForLimitedServersGoByWayOfTheNodeThatCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs atomic.Int32
	s := newLimitedSite(t, oneCounter, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerRequest(w, r)
	})
	begin := time.Now()
	served, refused := 0, 0
	for range 12 {
		answer := s.sendKey()
		if answer.Code == http.StatusCreated {
			served++
			continue
		}
		refused++
		g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable), answer.Body.String())
		after, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(after).To(gomega.BeNumerically(">=", 0.2), "the server takes one each half second")
	}
	g.Expect(served).To(gomega.BeNumerically(">=", 2))
	g.Expect(refused).To(gomega.BeNumerically(">", 0))
	g.Expect(float64(runs.Load())).To(gomega.BeNumerically("<=", 2+oneCounter*time.Since(begin).Seconds()), "burst and rate")
	g.Expect(int(runs.Load())).To(gomega.Equal(served), "what is refused has not run")
	g.Expect(s.others[1].service("s").budgetLeft()).To(gomega.BeZero(), "it got none")
}

// Guards against requests that reach a limited server past the node that counts, when that node is gone.
func TestRequestsForLimitedServersAreRefusedWithoutTheNodeThatCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	var runs atomic.Int32
	s := newLimitedSite(t, oneCounter, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerRequest(w, r)
	})
	s.others[0].SetDraining()
	answer := s.sendKey()
	g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Body.String()).To(gomega.ContainSubstring("servers limit their requests"))
	g.Expect(answer.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(runs.Load()).To(gomega.BeZero())
}

// Guards against keys that nobody serves, because the node that counts the requests to their owner is
// partitioned from the servers.
func TestNextNodeCountsWhileTheCounterIsPartitioned(t *testing.T) {
	for name, isOriginCounter := range map[string]bool{"another node": false, "the node itself": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newColdOwnerSite(t, answerRequest)
			if isOriginCounter {
				s.origin, s.others[0] = s.others[0], s.origin
			}
			s.others[0].forwarding.isPartitioned = func(site.ServiceName) bool { return !isOriginCounter }
			s.origin.forwarding.isPartitioned = func(site.ServiceName) bool { return isOriginCounter }
			answer := s.sendKey()
			g.Expect(answer.Code).To(gomega.Equal(http.StatusCreated), answer.Body.String())
		})
	}
}
