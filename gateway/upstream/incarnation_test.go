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

// trackedServer is a server that reports accepted connections and those that the client
// closed.
type trackedServer struct {
	site.Server
	accepted chan struct{}
	ended    chan struct{}
	proceed  chan struct{} // answers wait for it unless nil
}

func newTrackedServer(t *testing.T, proceed chan struct{}) *trackedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	s := &trackedServer{accepted: make(chan struct{}, 10), ended: make(chan struct{}, 10), proceed: proceed}
	s.Server = site.Server{ID: site.IncarnationID("s", time.UnixMilli(1)), Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go s.answer(conn)
		}
	}()
	return s
}

func (s *trackedServer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			s.ended <- struct{}{}
			return
		}
		if s.proceed != nil {
			<-s.proceed
		}
		_, _ = conn.Write([]byte(ok(r.Header.Get("Request-Id"), "x"))) // fails only if the client has disconnected
	}
}

// nextIncarnation returns the next incarnation of the server, at the same address.
func (s *trackedServer) nextIncarnation() site.Server {
	next := s.Server
	next.ID = site.IncarnationID("s", time.UnixMilli(2))
	return next
}

func registered(servers ...site.Server) map[site.ServerID]site.Server {
	byID := map[site.ServerID]site.Server{}
	for _, s := range servers {
		byID[s.ID] = s
	}
	return byID
}

// A kept connection to a terminated incarnation may be half open, or belong to the server
// that now has the address.
func TestConnectionsOfAPreviousIncarnationAreClosedAtOnce(t *testing.T) {
	for name, next := range map[string]func(s *trackedServer) map[site.ServerID]site.Server{
		"new incarnation": func(s *trackedServer) map[site.ServerID]site.Server { return registered(s.nextIncarnation()) },
		"gone":            func(*trackedServer) map[site.ServerID]site.Server { return registered() },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTrackedServer(t, nil)
			client := upstream.NewClient(headers, "a")
			client.RetainServers(registered(s.Server))
			_, err := send(t, client, s.Server, "1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err = client.Control(ctx, s.Server, upstream.ControlCall{Path: "/open"}, upstream.ControlCall{Path: "/x"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(client.Probe(ctx, s.Server)).To(gomega.Succeed())
			client.RetainServers(registered(s.Server))
			g.Consistently(s.ended, 50*time.Millisecond).ShouldNot(gomega.Receive(), "of the current incarnation")
			client.RetainServers(next(s))
			for range 3 {
				g.Eventually(s.ended, 10*time.Second).Should(gomega.Receive())
			}
		})
	}
}

func TestConnectionInUseIsNotKeptForAPreviousIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTrackedServer(t, make(chan struct{}))
	client := upstream.NewClient(headers, "a")
	client.RetainServers(registered(s.Server))
	answered := make(chan error, 1)
	go func() {
		_, err := client.Send(context.Background(), s.Server, get("1"))
		answered <- err
	}()
	g.Eventually(s.accepted, 10*time.Second).Should(gomega.Receive())
	client.RetainServers(registered(s.nextIncarnation()))
	close(s.proceed)
	g.Expect(<-answered).To(gomega.Succeed(), "an answer of the previous incarnation is valid")
	g.Eventually(s.ended, 10*time.Second).Should(gomega.Receive())
}

func TestNewIncarnationGetsItsOwnConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTrackedServer(t, nil)
	client := upstream.NewClient(headers, "a")
	_, err := send(t, client, s.Server, "1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = send(t, client, s.nextIncarnation(), "2")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.accepted).To(gomega.HaveLen(2))
}
