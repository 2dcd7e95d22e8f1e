package loghttp_test

import (
	"context"
	"net"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/modules/loghttp"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/standin/platformlog"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// patience bounds what is expected to happen soon.
const patience = 30 * time.Second

// silencer is a listener whose open connections can be made silent for good,
// while new ones work.
type silencer struct {
	net.Listener
	mu   sync.Mutex
	open chan struct{} // closed when the connections accepted so far go silent
}

// Accept implements net.Listener.
func (l *silencer) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &silentConn{Conn: conn, silent: l.open}, nil
}

func (l *silencer) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
	l.open = make(chan struct{})
}

type silentConn struct {
	net.Conn
	silent <-chan struct{}
}

// Read implements net.Conn; what arrives on a silent connection is lost.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		select {
		case <-c.silent:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// Write implements net.Conn; what is sent on a silent connection is lost.
func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewUnstartedServer(platformlog.New(platformlog.Config{}))
	listener := &silencer{Listener: server.Listener, open: make(chan struct{})}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client := loghttp.NewClient(base, "s", patience)
	t.Cleanup(client.Close)

	_, err = client.Append(t.Context(), []byte("before"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	listener.silence()
	limited, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = client.Append(limited, []byte("into the silence"))
	var uncertain *platlog.UncertainError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(uncertain))
	offset, err := client.Append(t.Context(), []byte("after"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(offset).To(gomega.BeEquivalentTo(2))
}

// A follower over real connections gets its records in once under each fault of
// the service.
func TestFollowerOverHTTP(t *testing.T) {
	cases := []struct {
		name   string
		faults platformlog.Faults
	}{
		{"healthy", platformlog.Faults{}},
		{"slow", platformlog.Faults{SlowMs: 100}},
		{"answer lost", platformlog.Faults{LoseAnswers: 1}},
		{"request lost", platformlog.Faults{LoseRequests: 1}},
		{"read again", platformlog.Faults{Repeat: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			service := platformlog.New(platformlog.Config{})
			a, b := follow(t, "a", service), follow(t, "b", service)
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			for base := range uint64(3) {
				service.SetFaults(c.faults)
				fate, err := a.Submit(ctx, publishOn(base))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(fate.Accepted).To(gomega.BeTrue(), fate.Conflict)
				g.Expect(b.WaitApplied(ctx, fate.Offset)).To(gomega.Succeed())
			}
			g.Expect(b.View().SiteVersion()).To(gomega.Equal(uint64(3)))
		})
	}
}

func TestFollowerOverHTTPOutages(t *testing.T) {
	for _, outage := range []platformlog.Outage{
		platformlog.OutageRefuse, platformlog.OutageCut, platformlog.OutageSilent,
	} {
		t.Run(string(outage), func(t *testing.T) {
			g := gomega.NewWithT(t)
			service := platformlog.New(platformlog.Config{})
			a := follow(t, "a", service)
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			_, err := a.Submit(ctx, publishOn(0))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			service.SetFaults(platformlog.Faults{Reads: outage, Appends: outage})
			short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
			defer stop()
			_, err = a.Submit(short, publishOn(1))
			g.Expect(err).To(gomega.HaveOccurred())
			service.SetFaults(platformlog.Faults{})
			g.Eventually(func() bool {
				fate, err := a.Submit(ctx, publishOn(a.View().SiteVersion()))
				return err == nil && fate.Accepted
			}).WithTimeout(patience).WithPolling(10 * time.Millisecond).Should(gomega.BeTrue())
		})
	}
}

func follow(t *testing.T, name string, service *platformlog.Service) *follower.Follower {
	t.Helper()
	client, _ := connect(t, service)
	f := follower.New(follower.Config{Node: topo.NodeID(name), Boot: "b1", Log: client})
	f.Start()
	t.Cleanup(f.Stop)
	return f
}

func publishOn(base uint64) *bspb.Record {
	return &bspb.Record{Body: &bspb.Record_PublishSite{PublishSite: &bspb.PublishSite{
		Base: base, Compiled: &bspb.SiteConfig{},
	}}}
}
