package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Guards against a server that fails part of its requests at once and therefore looks fast.
func TestErrorsOfAServerDoNotCountAsItsSpeed(t *testing.T) {
	g := gomega.NewWithT(t)
	x := newKeyedExchange(t)
	x.route.Name = "r"
	v := *x.router.state.Now()
	v.Guidance = view.Guidance{ReceivedAt: time.Now(), Guidance: guidance.Guidance{Mixed: []site.ServiceName{"s"}}}
	x.view = &v
	x.router.reports.Drain()
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusNotFound} {
		answer := &upstream.Answer{Status: status}
		x.poolOutcome(t.Context(), attemptResult{server: site.Server{ID: "b"}, answer: answer, duration: time.Second})
	}
	paces := x.router.reports.Drain().Paces
	g.Expect(paces).To(gomega.HaveLen(1))
	g.Expect(paces[0].Count).To(gomega.BeEquivalentTo(2))
}
