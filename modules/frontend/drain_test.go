package frontend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/settings"
)

// TestDrainFailsHealthBeforeRefusing: during the drain delay the health endpoint
// fails and requests are still accepted; the drain ends after the last request in
// flight.
func TestDrainFailsHealthBeforeRefusing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		limits := settings.DefaultLimits()
		limits.DrainDelay = 3 * time.Second
		m := &Module{settings: &settings.Settings{Limits: limits}, handler: &handler{drain: newDrainState()}}
		drain := m.handler.drain
		g.Expect(drain.enter()).To(gomega.BeTrue())
		ended := make(chan error, 1)
		go func() { ended <- m.Drain(context.Background()) }()
		time.Sleep(2900 * time.Millisecond)
		g.Expect(drain.healthy()).To(gomega.BeFalse())
		g.Expect(drain.enter()).To(gomega.BeTrue(), "the balancer may not have seen the failed health check yet")
		time.Sleep(200 * time.Millisecond)
		g.Expect(drain.enter()).To(gomega.BeFalse())
		drain.leave()
		synctest.Wait()
		g.Expect(ended).NotTo(gomega.Receive())
		drain.leave()
		g.Expect(<-ended).To(gomega.Succeed())
	})
}

func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		m := &Module{settings: &settings.Settings{}, handler: &handler{drain: newDrainState()}}
		m.handler.drain.enter()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		g.Expect(m.Drain(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
	})
}

// TestDrainClosesKeepAliveConnections: from the start of a drain every response
// closes its connection, so that none is in use when the listener closes.
func TestDrainClosesKeepAliveConnections(t *testing.T) {
	h := &handler{drain: newDrainState()}
	connection := func() string {
		w := httptest.NewRecorder()
		h.serve(w, httptest.NewRequest(http.MethodGet, "/nowhere", nil))
		return w.Header().Get("Connection")
	}
	g := gomega.NewWithT(t)
	g.Expect(connection()).To(gomega.BeEmpty())
	for _, phase := range []phase{phaseUnhealthy, phaseRefusing} {
		h.drain.advance(phase)
		g.Expect(connection()).To(gomega.Equal("close"), "phase %d", phase)
	}
}
