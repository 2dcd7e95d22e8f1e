package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/isolation"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// newFrontWithPeer returns a node of zone a that has the view of the site, with one other
// node at the given address and zone, and the given age of the latest contact with the store.
func newFrontWithPeer(t *testing.T, address, zone string, contactAge time.Duration) *Front {
	t.Helper()
	g := gomega.NewWithT(t)
	state := view.NewState()
	g.Expect(state.MergeConfig(&site.Config{Version: 1})).To(gomega.BeTrue())
	g.Expect(state.MergeServers(view.Servers{Offset: 1})).To(gomega.BeTrue())
	self := view.Member{Node: "n1", Boot: "b1", Zone: "a", Address: "127.0.0.1:1"}
	state.SetMembers([]view.Member{self, {Node: "n2", Boot: "b2", Zone: zone, Address: address}})
	contact := new(follow.Contact)
	contact.NotePeerReport(clock.Now().Add(-contactAge), 1)
	feed := follow.NewFeed(self, state, contact, func() bool { return false })
	return &Front{state: state, feed: feed, logger: hclog.NewNullLogger()}
}

func readinessStatus(m *Front) int {
	answer := httptest.NewRecorder()
	m.serveReady(answer, httptest.NewRequest(http.MethodGet, readyPath, nil))
	return answer.Code
}

func TestNodeInIsolatedZoneIsNotReady(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	const old = isolation.MaxContactAge + time.Second
	for name, row := range map[string]struct {
		address, zone string
		contact       time.Duration
		want          int
	}{
		"neither the store nor the other zone is reached": {closed.Addr().String(), "b", old, http.StatusServiceUnavailable},
		"the other zone is reached":                       {listener.Addr().String(), "b", old, http.StatusOK},
		"the store was reached just now":                  {closed.Addr().String(), "b", 0, http.StatusOK},
		"all nodes are in the node's own zone":            {closed.Addr().String(), "a", old, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := newFrontWithPeer(t, row.address, row.zone, row.contact)
			m.isIsolated.Store(m.checkIsolation(t.Context()).IsIsolated())
			g.Expect(readinessStatus(m)).To(gomega.Equal(row.want))
		})
	}
}
