package router_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	rt "github.com/burdockspindle/burdockspindle/modules/router/routertest"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/tlsfiles/tlstest"
	"github.com/burdockspindle/burdockspindle/topo"
)

// TestForwardingOverMutualTLS: nodes of one authority forward to each other; one
// whose certificate another authority signed is not served. Certificates have real dates, so the clock is real here.
func TestForwardingOverMutualTLS(t *testing.T) {
	g := gomega.NewWithT(t)
	site, stranger := tlstest.NewAuthority(t, "site"), tlstest.NewAuthority(t, "stranger")
	dir := t.TempDir()
	w := newWorld(both()...)
	w.Network = rt.Loopback{}
	w.TLS = func(id topo.NodeID) settings.TLS {
		own := filepath.Join(dir, string(id))
		g.Expect(os.MkdirAll(own, 0o700)).To(gomega.Succeed())
		by := site
		if id == "entry-stranger" {
			by = stranger
		}
		return by.Write(t, own, string(id), site)
	}
	w.Start(t, "lessor")
	entry, other := w.Start(t, "entry"), w.Start(t, "entry-stranger")
	w.lead("lessor")
	patient := request("POST", "k")
	patient.Deadline = time.Now().Add(10 * time.Minute)
	g.Expect(text(g, entry.Handler.Serve(context.Background(), patient))).To(gomega.Equal("answer of s1"))
	g.Expect(w.driver.Attempts()[0].Req.RequestID).To(gomega.Equal("req.1.1"), "through the lessor's node")

	uninvited := request("POST", "k")
	uninvited.ID = "uninvited"
	other.Handler.Serve(context.Background(), uninvited)
	for _, attempt := range w.driver.Attempts() {
		g.Expect(attempt.Req.RequestID).NotTo(gomega.HavePrefix("uninvited.1."), "not through the lessor's node")
	}
}
