package router

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/forward"
	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// mixedGuidance is the guidance of a site whose service "s" is mixed.
var mixedGuidance = view.Guidance{Offset: 1, Guidance: guidance.Guidance{Mixed: []site.ServiceName{"s"}}}

// newMixedForwardingSite returns a site with two nodes, and a function that returns the latest message to the second one.
func newMixedForwardingSite(t *testing.T, isMixed bool, server http.HandlerFunc) (*forwardingSite, func() forward.Request) {
	t.Helper()
	messages := make(chan forward.Request, 10)
	s := newForwardingSite(t, site.Idempotent, 1, server, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			message, _ := forward.DecodeRequest(r.Header.Get(forward.Header))
			messages <- message
			next.ServeHTTP(w, r)
		})
	})
	for _, node := range []*Router{s.origin, s.others[0]} {
		if isMixed {
			node.state.MergeGuidance(mixedGuidance)
		}
	}
	for range 2 * minUsualCount {
		s.origin.elapsedWait("", 2*time.Second)
	}
	return s, func() forward.Request { return <-messages }
}

// sendStating sends a request of a caller that states a timeout, in milliseconds.
func (s *forwardingSite) sendStating(ctx context.Context, timeout string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, "/x", nil).WithContext(ctx)
	request.Host = "h"
	request.Header.Set("Request-Id", "r1")
	request.Header.Set("Timeout", timeout)
	answer := httptest.NewRecorder()
	s.origin.ServeHTTP(answer, request)
	return answer
}

// Guards against returning callers that lose their place since their requests are forwarded, against first attempts that
// take it, and against callers that two nodes count.
func TestForwardedRequestKeepsItsOrder(t *testing.T) {
	for name, c := range map[string]struct {
		isMixed bool
		timeout string
		waited  int64
		firsts  bool // at the second node
	}{
		"first attempt":                    {true, "2000", 0, true},
		"returned":                         {true, "1400", 600, false},
		"returned at once":                 {true, "1995", 5, false},
		"returned, site that is not mixed": {false, "1400", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, message := newMixedForwardingSite(t, c.isMixed, answerRequest)
			before := returnedAdmitted.Value()
			g.Expect(s.sendStating(t.Context(), c.timeout).Code).To(gomega.Equal(http.StatusCreated))
			g.Expect(message().WaitedMs).To(gomega.Equal(c.waited))
			state := s.others[0].Returns()["s"][0]
			g.Expect(state.Firsts > 0).To(gomega.Equal(c.firsts))
			g.Expect(state.Admitted > 0).To(gomega.Equal(c.isMixed))
			counted := returnedAdmitted.Value() - before
			g.Expect(counted == 1).To(gomega.Equal(c.waited > 0), "%d", counted)
			classes := s.origin.reports.Drain().Classes
			g.Expect(classes).To(gomega.HaveLen(1))
			g.Expect(classes[0].Requests).To(gomega.BeEquivalentTo(1))
			g.Expect(s.others[0].reports.Drain().Classes).To(gomega.BeEmpty())
		})
	}
}

// Guards against messages of nodes of the previous release, and with impossible times, that are refused or get a place
// before first attempts.
func TestImpossibleWaitIsAFirstAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		waitedMs int64
		timeout  time.Duration // of the route
		want     time.Duration
	}{
		"previous release":      {0, 10 * time.Second, 0},
		"negative":              {-1, 10 * time.Second, 0},
		"beyond the timeout":    {10_001, 10 * time.Second, 0},
		"overflow":              {math.MaxInt64, 10 * time.Second, 0},
		"all of the timeout":    {10_000, 10 * time.Second, 10 * time.Second},
		"beyond the usual one":  {10_001, 0, 0},
		"all of the usual one":  {10_000, 0, 10 * time.Second},
		"less than the timeout": {1, 10 * time.Second, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, _ := newMixedForwardingSite(t, true, answerRequest)
			node := s.others[0]
			node.state.Now().Config.Routes[0].Timeout = c.timeout
			message := forward.Request{Node: "origin", Boot: "origin-boot", ToBoot: "other-0-boot", Method: http.MethodGet, Host: "h", Target: "/x", Caller: "10.0.0.1:1", ObjectiveMs: 1000, WaitedMs: c.waitedMs}
			x := &exchange{router: node, view: node.state.Now(), arrived: time.Now(), forwarded: &message, route: &node.state.Now().Config.Routes[0]}
			x.setDeadlines(httptest.NewRequest(http.MethodPost, forward.Path, nil))
			g.Expect(x.returned).To(gomega.Equal(c.want))
			request := httptest.NewRequest(http.MethodPost, forward.Path, nil)
			request.RemoteAddr = "127.0.0.1:5"
			request.Header.Set(forward.Header, forward.Encode(message))
			answer := httptest.NewRecorder()
			node.ServeForwarded(answer, request)
			g.Expect(answer.Code).To(gomega.Equal(http.StatusCreated))
			isFirst := returns.OrderOf(c.want, 100*time.Millisecond) == returns.FirstAttempt
			g.Expect(node.Returns()["s"][0].Firsts > 0).To(gomega.Equal(isFirst))
		})
	}
}

// Guards against refusals after attempts at two nodes that are not true, and against delays that are not those of the node
// that made the last attempt and knows its room.
func TestRefusalOverTwoNodesStaysTrue(t *testing.T) {
	for name, c := range map[string]struct {
		notRun string // header of the server's answer
		status int    // that the caller gets
	}{"not run": {"busy", http.StatusServiceUnavailable}, "may have run": {"", http.StatusBadGateway}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s, message := newMixedForwardingSite(t, true, func(w http.ResponseWriter, r *http.Request) {
				if c.notRun == "" {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Not-Run", c.notRun)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			for _, node := range []*Router{s.origin, s.others[0]} {
				node.state.Now().Config.Routes[0].Attempts = 1
			}
			answer := s.sendStating(t.Context(), "1200") // it is late, so that its delay is not bounded by its objective
			g.Expect(message().WaitedMs).To(gomega.BeEquivalentTo(800))
			g.Expect(answer.Code).To(gomega.Equal(c.status), s.log.text.String())
			delay := retryAfterOf(answer.Header())
			isRefused := c.status == http.StatusServiceUnavailable
			g.Expect(delay > 0).To(gomega.Equal(isRefused))
			g.Expect(s.others[0].Returns()["s"][0].Promised > 0).To(gomega.Equal(isRefused))
			g.Expect(s.origin.Returns()["s"]).To(gomega.BeEmpty(), "it has promised nothing")
			g.Expect(promisedDelay(s.log.text.String())).To(gomega.BeNumerically("~", delay, time.Millisecond))
		})
	}
}
