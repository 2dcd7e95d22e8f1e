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

// waitTimeout bounds each wait of these tests.
const waitTimeout = 30 * time.Second

// stallingListener is a listener whose open connections can be stalled permanently
// while new connections work.
type stallingListener struct {
	net.Listener
	mu          sync.Mutex
	stallSignal chan struct{} // closed to stall the connections accepted so far
}

// Accept implements net.Listener.
func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &stallableConn{Conn: conn, stalled: l.stallSignal}, nil
}

func (l *stallingListener) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.stallSignal)
	l.stallSignal = make(chan struct{})
}

type stallableConn struct {
	net.Conn
	stalled <-chan struct{}
}

// Read implements net.Conn. It drops data that arrives on a stalled connection.
func (c *stallableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		select {
		case <-c.stalled:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// Write implements net.Conn. It drops data that is sent on a stalled connection.
func (c *stallableConn) Write(p []byte) (int, error) {
	select {
	case <-c.stalled:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// A connection that stalls after a successful request must not be reused: the
// append in flight has an uncertain outcome, and the next append succeeds.
func TestStalledConnectionIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewUnstartedServer(platformlog.New(platformlog.Config{}))
	listener := &stallingListener{Listener: server.Listener, stallSignal: make(chan struct{})}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	client := loghttp.NewClient(base, "s", waitTimeout)
	t.Cleanup(client.Close)

	_, err = client.Append(t.Context(), []byte("before"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	listener.stall()
	limited, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = client.Append(limited, []byte("on the stalled connection"))
	var uncertain *platlog.UncertainError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(uncertain))
	offset, err := client.Append(t.Context(), []byte("after"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(offset).To(gomega.BeEquivalentTo(2))
}

// Each record that a follower submits over HTTP is applied exactly once under each
// injected fault of the log service.
func TestFollowerOverHTTP(t *testing.T) {
	cases := []struct {
		name   string
		faults platformlog.Faults
	}{
		{"healthy", platformlog.Faults{}},
		{"slow", platformlog.Faults{SlowMs: 100}},
		{"response lost", platformlog.Faults{LoseAnswers: 1}},
		{"request lost", platformlog.Faults{LoseRequests: 1}},
		{"records delivered again", platformlog.Faults{Repeat: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			service := platformlog.New(platformlog.Config{})
			a, b := follow(t, "a", service), follow(t, "b", service)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			for base := range uint64(3) {
				service.SetFaults(c.faults)
				outcome, err := a.Submit(ctx, publishOn(base))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(outcome.Accepted).To(gomega.BeTrue(), outcome.Conflict)
				g.Expect(b.WaitApplied(ctx, outcome.Offset)).To(gomega.Succeed())
			}
			g.Expect(b.View().SiteVersion()).To(gomega.Equal(uint64(3)))
		})
	}
}

func TestFollowerOverHTTPOutages(t *testing.T) {
	for _, outage := range []platformlog.Outage{
		platformlog.OutageRefuse, platformlog.OutageCut, platformlog.OutageHang,
	} {
		t.Run(string(outage), func(t *testing.T) {
			g := gomega.NewWithT(t)
			service := platformlog.New(platformlog.Config{})
			a := follow(t, "a", service)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
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
				outcome, err := a.Submit(ctx, publishOn(a.View().SiteVersion()))
				return err == nil && outcome.Accepted
			}).WithTimeout(waitTimeout).WithPolling(10 * time.Millisecond).Should(gomega.BeTrue())
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
