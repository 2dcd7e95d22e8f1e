package view_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Guards against requests to a draining server after the store has come back from a copy that is older than the
// server's report.
func TestDrainingServerStaysSoWhenTheStoreReturnsFromACopy(t *testing.T) {
	g := gomega.NewWithT(t)
	first, next := site.IncarnationID("s1", time.UnixMilli(1)), site.IncarnationID("s1", time.UnixMilli(2))
	s := view.NewState()
	register := func(offset store.Offset, server site.Server) site.Server {
		server.Service = "s"
		registry := map[site.ServerID]site.Server{server.ID: server}
		g.Expect(s.MergeServers(view.Servers{Offset: offset, Servers: registry})).To(gomega.BeTrue())
		g.Expect(registry[server.ID]).To(gomega.Equal(server), "the caller's registry is its own")
		return s.Now().Registered()[server.ID]
	}
	register(5, site.Server{ID: first})
	g.Expect(register(6, site.Server{ID: first, Draining: true}).Draining).To(gomega.BeTrue())
	g.Expect(register(store.At(1, 4), site.Server{ID: first}).Draining).To(gomega.BeTrue(), "the copy lacks its report")
	g.Expect(register(store.At(1, 5), site.Server{ID: first, Slots: 4}).Draining).To(gomega.BeTrue())
	g.Expect(s.Now().ServersOf("s")[0].IsLeaving()).To(gomega.BeTrue())
	g.Expect(register(store.At(1, 6), site.Server{ID: next}).Draining).To(gomega.BeFalse(), "it has started again")
}
