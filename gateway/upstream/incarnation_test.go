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

// trackedServer is a server that tells when a connection of it was ended by the client.
type trackedServer struct {
	site.Server
	accepted chan struct{}
	ended    chan struct{}
	proceed  chan struct{} // answers wait for it; nil: they don't
}

func newTrackedServer(t *testing.T, proceed chan struct{}) *trackedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	w := &trackedServer{accepted: make(chan struct{}, 10), ended: make(chan struct{}, 10), proceed: proceed}
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

func (w *trackedServer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			w.ended <- struct{}{}
			return
		}
		if w.proceed != nil {
			<-w.proceed
		}
		_, _ = conn.Write([]byte(ok(r.Header.Get("Request-Id"), "x"))) // a client that left needs none
	}
}

// nextIncarnation returns the next run of a server, at the same address.
func (w *trackedServer) nextIncarnation() site.Server {
	next := w.Server
	next.ID = site.RunID("s", time.UnixMilli(2))
	return next
}

func registered(servers ...site.Server) map[site.ServerID]site.Server {
	byID := map[site.ServerID]site.Server{}
	for _, s := range servers {
		byID[s.ID] = s
	}
	return byID
}

// A kept connection of an ended run may be half open, or belong to whoever has the
// address now.
func TestConnectionsOfAPreviousIncarnationAreClosedAtOnce(t *testing.T) {
	for name, next := range map[string]func(w *trackedServer) map[site.ServerID]site.Server{
		"a new run": func(w *trackedServer) map[site.ServerID]site.Server { return registered(w.nextIncarnation()) },
		"gone":      func(*trackedServer) map[site.ServerID]site.Server { return registered() },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newTrackedServer(t, nil)
			client := upstream.NewClient(headers, "a")
			client.KeepOnly(registered(w.Server))
			_, err := send(t, client, w.Server, "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err = client.Control(ctx, w.Server, upstream.ControlCall{Path: "/open"}, upstream.ControlCall{Path: "/x"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(client.Probe(ctx, w.Server)).To(gomega.Succeed())
			client.KeepOnly(registered(w.Server))
			g.Consistently(w.ended, 50*time.Millisecond).ShouldNot(gomega.Receive(), "of the present run")
			client.KeepOnly(next(w))
			for range 3 {
				g.Eventually(w.ended, 10*time.Second).Should(gomega.Receive())
			}
		})
	}
}

func TestConnectionInUseIsNotKeptForAPreviousIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTrackedServer(t, make(chan struct{}))
	client := upstream.NewClient(headers, "a")
	client.KeepOnly(registered(w.Server))
	answered := make(chan error, 1)
	go func() {
		_, err := client.Send(context.Background(), w.Server, get("1"))
		answered <- err
	}()
	g.Eventually(w.accepted, 10*time.Second).Should(gomega.Receive())
	client.KeepOnly(registered(w.nextIncarnation()))
	close(w.proceed)
	g.Expect(<-answered).To(gomega.Succeed(), "an answer of the earlier run is an answer")
	g.Eventually(w.ended, 10*time.Second).Should(gomega.Receive())
}

func TestNewIncarnationGetsItsOwnConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newTrackedServer(t, nil)
	client := upstream.NewClient(headers, "a")
	_, err := send(t, client, w.Server, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = send(t, client, w.nextIncarnation(), "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(w.accepted).To(gomega.HaveLen(2))
}
