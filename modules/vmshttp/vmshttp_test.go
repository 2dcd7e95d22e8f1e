package vmshttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/spectest"
	"github.com/burdockspindle/burdockspindle/standin/vms"
	"github.com/burdockspindle/burdockspindle/vmlist"
	"github.com/burdockspindle/burdockspindle/vmlist/vmlisttest"
)

var _ = ginkgo.Describe("vms.http", func() {
	ginkgo.It("an unchanged list is not transferred again", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		p := vms.New()
		var bytes atomic.Int64
		counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			vms.Handler(p).ServeHTTP(&countingWriter{w, &bytes}, r)
		})
		server := httptest.NewServer(counted)
		t.Cleanup(server.Close)
		m := newModule(t, server.URL+vms.PathVMs)
		p.Put(vmlist.VM{ID: "a", Role: vmlist.RoleEntry, Zone: "z", Phase: vmlist.PhaseLive})
		for range 10 {
			list, err := m.VMs(context.Background())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(list).To(gomega.HaveLen(1))
		}
		once := bytes.Load()
		g.Expect(once).To(gomega.BeNumerically("<", 100), "the list of one row is transferred once")
		p.SetPhase("a", vmlist.PhaseLeaving)
		_, err := m.VMs(context.Background())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(bytes.Load()).To(gomega.BeNumerically(">", once))
	})

	ginkgo.DescribeTable("responses that are not a VM list",
		func(status int, body string, isMalformed bool) {
			t := ginkgo.GinkgoTB()
			g := gomega.NewWithT(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				if status != http.StatusNotModified {
					_, _ = w.Write([]byte(body))
				}
			}))
			t.Cleanup(server.Close)
			_, err := newModule(t, server.URL).VMs(context.Background())
			var malformed *vmlist.MalformedError
			var away *vmlist.UnavailableError
			g.Expect(errors.As(err, &malformed)).To(gomega.Equal(isMalformed), "%v", err)
			g.Expect(errors.As(err, &away)).To(gomega.Equal(!isMalformed), "%v", err)
		},
		ginkgo.Entry("other status", http.StatusTeapot, `{"vms":[]}`, false),
		ginkgo.Entry("not JSON", http.StatusOK, `<html>`, true),
		ginkgo.Entry("truncated list", http.StatusOK, `{"vms":[{"id":"a"`, true),
		ginkgo.Entry("another document", http.StatusOK, `{"servers":[]}`, true),
		ginkgo.Entry("not modified without an earlier list", http.StatusNotModified, ``, false),
	)

	// The first connection stalls after one response. The read on it times out, and
	// the next read must open a new connection.
	ginkgo.It("a stalled connection is replaced", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		p := vms.New()
		var connections atomic.Int64
		silent := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Context().Value(firstConnectionKey{}) == true && connections.Load() == 1 && r.Header.Get("If-None-Match") != "" {
				<-r.Context().Done()
				return
			}
			vms.Handler(p).ServeHTTP(w, r)
		})
		server := httptest.NewUnstartedServer(silent)
		server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, firstConnectionKey{}, connections.Add(1) == 1)
		}
		server.Start()
		t.Cleanup(server.Close)
		m := newModule(t, server.URL+vms.PathVMs)
		_, err := m.VMs(context.Background())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), 1e8)
		defer cancel()
		_, err = m.VMs(ctx)
		g.Expect(err).To(gomega.HaveOccurred())
		_, err = m.VMs(context.Background())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(connections.Load()).To(gomega.BeEquivalentTo(2))
	})

	ginkgo.It("invalid options are rejected", func() {
		t := ginkgo.GinkgoTB()
		g := gomega.NewWithT(t)
		for _, options := range []map[string]any{
			{},
			{"url": "127.0.0.1:1"},
			{"url": "ftp://127.0.0.1"},
			{"url": 5.0},
			{"url": "http://127.0.0.1:1/", "timeoutMs": "1"},
			{"url": "http://127.0.0.1:1/", "timeoutMs": 0.0},
			{"url": "http://127.0.0.1:1/", "timeout": 1.0},
		} {
			_, err := provision(options)
			var wrong *OptionError
			g.Expect(errors.As(err, &wrong)).To(gomega.BeTrue(), "%v", options)
		}
	})
})

func provision(options map[string]any) (*Module, error) {
	ctx := kernel.NewContext(kernel.Identity{}, hclog.NewNullLogger())
	if err := kernel.Provide(ctx, &settings.Settings{VMs: settings.Driver{Options: options}}); err != nil {
		return nil, err
	}
	m := new(Module)
	return m, m.Provision(ctx)
}

func newModule(t testing.TB, url string) *Module {
	m, err := provision(map[string]any{"url": url, "timeoutMs": 20000.0})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
	return m
}

func TestSpecs(t *testing.T) { spectest.Run(t, "modules/vmshttp") }

var _ = vmlisttest.Describe("vms.http", func(t testing.TB, p *vms.Platform) vmlist.List {
	server := httptest.NewServer(vms.Handler(p))
	t.Cleanup(server.Close)
	return newModule(t, server.URL+vms.PathVMs)
})

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

type firstConnectionKey struct{}
