package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
)

// watched is a server that tells when a connection of it was ended by the client.
type watched struct {
	site.Server
	accepted chan struct{}
	ended    chan struct{}
	hold     chan struct{} // answers wait for it; nil: they don't
}

func watch(t *testing.T, hold chan struct{}) *watched {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	w := &watched{accepted: make(chan struct{}, 10), ended: make(chan struct{}, 10), hold: hold}
	w.Server = site.Server{ID: site.RunID("s", time.UnixMilli(1)), Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.accepted <- struct{}{}
			go w.answer(conn)
		}
	}()
	return w
}

func (w *watched) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			w.ended <- struct{}{}
			return
		}
		if w.hold != nil {
			<-w.hold
		}
		_, _ = conn.Write([]byte(ok(r.Header.Get("Request-Id"), "x"))) // a client that left needs none
	}
}

// later returns the next run of a server, at the same address.
func (w *watched) later() site.Server {
	next := w.Server
	next.ID = site.RunID("s", time.UnixMilli(2))
	return next
}

func registerOf(servers ...site.Server) map[site.ServerID]site.Server {
	register := map[site.ServerID]site.Server{}
	for _, s := range servers {
		register[s.ID] = s
	}
	return register
}

// A kept connection of an ended run may be half open, or belong to whoever has the
// address now.
func TestConnectionsOfAnEarlierRunAreClosedAtOnce(t *testing.T) {
	for name, next := range map[string]func(w *watched) map[site.ServerID]site.Server{
		"a new run": func(w *watched) map[site.ServerID]site.Server { return registerOf(w.later()) },
		"gone":      func(*watched) map[site.ServerID]site.Server { return registerOf() },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := watch(t, nil)
			client := upstream.NewClient(headers, "a")
			client.KeepOnly(registerOf(w.Server))
			_, err := send(t, client, w.Server, "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err = client.Control(ctx, w.Server, upstream.ControlCall{Path: "/open"}, upstream.ControlCall{Path: "/x"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(client.Probe(ctx, w.Server)).To(gomega.Succeed())
			client.KeepOnly(registerOf(w.Server))
			g.Consistently(w.ended, 50*time.Millisecond).ShouldNot(gomega.Receive(), "of the present run")
			client.KeepOnly(next(w))
			for range 3 {
				g.Eventually(w.ended, 10*time.Second).Should(gomega.Receive())
			}
		})
	}
}

func TestAConnectionThatWasInUseIsNotKeptForAnEarlierRun(t *testing.T) {
	g := gomega.NewWithT(t)
	w := watch(t, make(chan struct{}))
	client := upstream.NewClient(headers, "a")
	client.KeepOnly(registerOf(w.Server))
	answered := make(chan error, 1)
	go func() {
		_, err := client.Send(context.Background(), w.Server, get("1"))
		answered <- err
	}()
	g.Eventually(w.accepted, 10*time.Second).Should(gomega.Receive())
	client.KeepOnly(registerOf(w.later()))
	close(w.hold)
	g.Expect(<-answered).To(gomega.Succeed(), "an answer of the earlier run is an answer")
	g.Eventually(w.ended, 10*time.Second).Should(gomega.Receive())
}

func TestANewRunGetsAConnectionOfItsOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	w := watch(t, nil)
	client := upstream.NewClient(headers, "a")
	_, err := send(t, client, w.Server, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = send(t, client, w.later(), "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(w.accepted).To(gomega.HaveLen(2))
}
