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
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// The registry shows that the owner of a key has restarted, and the lessor has not granted
// the keys to the new incarnation yet. That takes about as long as a handover, not as long
// as a hold, which the keys of a lost server have to wait for.
func TestRequestWaitsForTheNextIncarnationOfItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		state := view.NewState()
		config := &site.Config{
			Version:  1,
			Services: map[site.ServiceName]site.Service{"s": {Name: "s", Keyed: true}},
			Routes:   []site.Route{{Host: "h", Prefix: "/", Timeout: time.Minute, Targets: []site.Target{{Service: "s", Weight: 1}}}},
		}
		previousID, currentID := site.IncarnationID("a", time.Unix(1, 0)), site.IncarnationID("a", time.Unix(2, 0))
		g.Expect(state.MergeConfig(config)).To(gomega.BeTrue())
		server := site.Server{ID: currentID, Service: "s", Slots: 1}
		g.Expect(state.MergeServers(view.Servers{Offset: 1, Servers: map[site.ServerID]site.Server{currentID: server}})).To(gomega.BeTrue())
		route := ranges.Route{Span: ranges.Span{To: ranges.LastKey}, Server: previousID, State: ranges.Ready}
		routes := view.Routes{Lessor: ranges.Lessor{Boot: "x"}, Serial: 1, Services: map[site.ServiceName][]ranges.Route{"s": {route}}}
		g.Expect(state.MergeRoutes(routes)).To(gomega.BeTrue())
		headers := upstream.Headers{Key: "Key", ParseLoad: func(string) (site.Load, bool) { return site.Load{}, false }}
		options := Options{Retries: budget.Terms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}}
		r := New("a", headers, options, state, upstream.NewClient(headers, "a"), follow.NewReports(), hclog.NewNullLogger())
		answer := httptest.NewRecorder()
		startedAt := time.Now()
		request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
		request.Header.Set("Key", "1")
		r.ServeHTTP(answer, request)
		g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(startedAt)).To(gomega.Equal(ownerTimeout), "by the fake clock")
		g.Expect(answer.Header().Get("Retry-After")).To(gomega.Equal("0.250"), "the keys are granted again shortly")
	})
}
