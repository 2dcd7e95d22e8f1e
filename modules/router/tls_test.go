package router_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/kernel"
	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/tlsfiles/tlstest"
	"github.com/burdockspindle/burdockspindle/topo"
)

// TestForwardingOverMutualTLS: nodes with certificates of the same authority
// forward to each other; a node with a certificate of another authority is not
// served. The test uses the real clock, because certificates have real dates.
func TestForwardingOverMutualTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	site, otherAuthority := tlstest.NewAuthority(t, "site"), tlstest.NewAuthority(t, "stranger")
	dir := t.TempDir()
	service := rt.Keyed()
	service.Deadline = 10 * time.Minute // not reached even on a slow machine
	w := newWorld(service, rt.Unkeyed())
	w.Network = rt.Loopback{}
	w.TLS = func(id topo.NodeID) settings.TLS {
		own := filepath.Join(dir, string(id))
		g.Expect(os.MkdirAll(own, 0o700)).To(gomega.Succeed())
		by := site
		if id == "entry-stranger" {
			by = otherAuthority
		}
		return by.Write(t, own, string(id), site)
	}
	longTimeouts := func(s *settings.Settings, _ *kernel.Context) {
		s.Timing.LeaseTTL = 10 * time.Minute
		s.Limits.ConnectTimeout = time.Minute
	}
	w.Start(t, "lessor", longTimeouts)
	entry, other := w.Start(t, "entry", longTimeouts), w.Start(t, "entry-stranger", longTimeouts)
	w.lead("lessor")
	g.Expect(text(g, entry.Handler.Serve(context.Background(), request("POST", "k")))).To(gomega.Equal("answer of s1"))
	g.Expect(w.driver.Attempts()[0].Req.RequestID).To(gomega.Equal("req.1.1"), "through the lessor's node")

	rejected := request("POST", "k")
	rejected.ID = "uninvited"
	other.Handler.Serve(context.Background(), rejected)
	for _, attempt := range w.driver.Attempts() {
		g.Expect(attempt.Req.RequestID).NotTo(gomega.HavePrefix("uninvited.1."), "not through the lessor's node")
	}
}
