package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/tlsfiles/tlstest"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// testTimeout bounds operations that must succeed.
const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func senderOf(id string) *bspb.Sender { return &bspb.Sender{Node: id, Boot: id + "-1", Zone: "zone-a"} }

func answerHeartbeat(_ context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
	return &bspb.HeartbeatResponse{Round: req.Round}, nil
}

// joinPair joins nodes a and b, and returns the module of a.
func joinPair(t *testing.T, h *harness, atB *core.Handlers) *Module {
	h.Join(t, senderOf("a"), &core.Handlers{})
	h.Join(t, senderOf("b"), atB)
	return h.nodes["a"].module
}

func (h *harness) relay(from, to topo.NodeID) *relay { return h.relays[[2]topo.NodeID{from, to}] }

func TestCallForPreviousNodeAtAddressIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	ran := atomic.Bool{}
	a := joinPair(t, h, &core.Handlers{Heartbeat: func(context.Context, *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
		ran.Store(true)
		return &bspb.HeartbeatResponse{}, nil
	}})
	h.nodes["a"].site.Apply("test@1", &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: "earlier", Boot: "1", PeerAddress: h.nodes["b"].module.Address(),
	}}})
	_, err := a.client.Heartbeat(testContext(t), "earlier", &bspb.HeartbeatRequest{})
	var wrong *core.WrongNodeError
	g.Expect(errors.As(err, &wrong)).To(gomega.BeTrue(), "%v", err)
	g.Expect(ran.Load()).To(gomega.BeFalse())
}

func TestSeedAddressResolvesToCurrentNode(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	h.Join(t, senderOf("b"), &core.Handlers{Heartbeat: answerHeartbeat})
	s := &settings.Settings{
		Node: "a", Peer: settings.Listener{Address: "127.0.0.1:0"}, Seeds: []string{h.nodes["b"].module.Address()},
	}
	a := start(t, s, senderOf("a"), &core.Handlers{}, sitefake.New())
	t.Cleanup(func() { kill(t, a) })
	g.Eventually(a.client.Known).WithTimeout(testTimeout).Should(gomega.ConsistOf(topo.NodeID("b")))
	_, err := a.client.Heartbeat(testContext(t), "b", &bspb.HeartbeatRequest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	a.client.directory.addSeed("c", s.Seeds[0])
	g.Expect(a.client.Known()).To(gomega.ConsistOf(topo.NodeID("c")), "an address belongs to a single node")
}

// TestTrafficCountsAgreeAtBothEnds compares the bytes counted at both ends with
// each other and with the limit for one heartbeat.
func TestTrafficCountsAgreeAtBothEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	a := joinPair(t, h, &core.Handlers{Heartbeat: answerHeartbeat})
	const heartbeats = 100
	for round := range uint64(heartbeats) {
		_, err := a.client.Heartbeat(testContext(t), "b", &bspb.HeartbeatRequest{
			Sender: senderOf("a"), Group: "zone-a/0", Round: round, Term: &bspb.Ordinal{Offset: 123456},
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	b := h.nodes["b"].module
	atA := func() bytesDump { return a.traffic.dump()[core.KindHeartbeat] }
	atB := func() bytesDump { return b.traffic.dump()[core.KindHeartbeat] }
	g.Eventually(func() int64 { return atB().Received - atA().Sent }).WithTimeout(testTimeout).Should(gomega.BeZero())
	g.Eventually(func() int64 { return atB().Sent - atA().Received }).WithTimeout(testTimeout).Should(gomega.BeZero())
	each := float64(atA().Sent+atA().Received) / heartbeats
	t.Logf("bytes for one heartbeat, both ways: %.0f", each)
	g.Expect(each).To(gomega.BeNumerically("<", 450))
	g.Expect(a.traffic.dump()).NotTo(gomega.HaveKey(core.KindMove))
}

func TestLongPollIsNotTreatedAsStalled(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	a := joinPair(t, h, &core.Handlers{ReadLog: func(context.Context, *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error) {
		close(entered)
		<-release
		return &bspb.ReadLogResponse{}, nil
	}})
	began := time.Now()
	poll := make(chan error, 1)
	go func() {
		_, err := a.client.ReadLog(testContext(t), "b", &bspb.ReadLogRequest{WaitMs: 60_000})
		poll <- err
	}()
	<-entered
	l := a.client.link(h.relay("a", "b").address(), core.KindReadLog)
	g.Expect(l.current.stalled(began.Add(59*time.Second), l.timing.stallTimeout)).To(gomega.BeFalse())
	g.Expect(l.current.stalled(began.Add(2*time.Minute), l.timing.stallTimeout)).To(gomega.BeTrue())
	close(release)
	g.Expect(<-poll).NotTo(gomega.HaveOccurred())
}

// TestCallsOnStalledConnectionDoNotDelayLaterCalls starts a call on a stalled
// connection, and another while the first still waits.
func TestCallsOnStalledConnectionDoNotDelayLaterCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	a := joinPair(t, h, &core.Handlers{Heartbeat: answerHeartbeat})
	heartbeat := func() error {
		_, err := a.client.Heartbeat(testContext(t), "b", &bspb.HeartbeatRequest{})
		return err
	}
	g.Expect(heartbeat()).To(gomega.Succeed())
	h.Stall(t, "a", "b")
	first := make(chan error, 1)
	go func() { first <- heartbeat() }()
	l := a.client.link(h.relay("a", "b").address(), core.KindHeartbeat)
	g.Eventually(func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.current.stalled(time.Now(), l.timing.stallTimeout)
	}).WithTimeout(testTimeout).Should(gomega.BeTrue())
	g.Expect(heartbeat()).To(gomega.Succeed())
	g.Expect(first).NotTo(gomega.Receive())
	g.Expect(h.relay("a", "b").opened.Load()).To(gomega.BeEquivalentTo(2))
}

func TestMessageAboveLimitIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	a := joinPair(t, h, &core.Handlers{Announce: func(context.Context, *bspb.AnnounceRequest) error { return nil }})
	err := a.client.Announce(testContext(t), "b", &bspb.AnnounceRequest{Group: string(make([]byte, maxMessageBytes+1))})
	var tooLarge *core.TooLargeError
	g.Expect(errors.As(err, &tooLarge)).To(gomega.BeTrue(), "%v", err)
}

func TestPlainHandlersAreServedBesideCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	hello := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
	joinPair(t, h, &core.Handlers{HTTP: map[string]http.Handler{"/forward/": hello}})
	b := h.nodes["b"].module
	response, err := http.Get("http://" + b.Address() + "/forward/x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("hello"))
	g.Expect(b.traffic.dump()).To(gomega.HaveKey(kindForward))
}

func TestStopWaitsForCallsInFlight(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	a := joinPair(t, h, &core.Handlers{Heartbeat: func(ctx context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
		close(entered)
		<-release
		return answerHeartbeat(ctx, req)
	}})
	answered := make(chan error, 1)
	go func() {
		_, err := a.client.Heartbeat(testContext(t), "b", &bspb.HeartbeatRequest{})
		answered <- err
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- h.nodes["b"].module.Stop(testContext(t)) }()
	g.Consistently(stopped, "100ms").ShouldNot(gomega.Receive())
	close(release)
	g.Expect(<-answered).NotTo(gomega.HaveOccurred())
	g.Expect(<-stopped).To(gomega.Succeed())
}

func TestNodeOfAnotherAuthorityIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	site, other := tlstest.NewAuthority(t, "site"), tlstest.NewAuthority(t, "other")
	h := newHarness(t, site)
	h.Join(t, senderOf("a"), &core.Handlers{Heartbeat: answerHeartbeat})
	h.authority = other
	h.Join(t, senderOf("b"), &core.Handlers{Heartbeat: answerHeartbeat})
	for from, to := range map[topo.NodeID]topo.NodeID{"a": "b", "b": "a"} {
		_, err := h.nodes[from].module.client.Heartbeat(testContext(t), to, &bspb.HeartbeatRequest{})
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeFalse(), "%v", err)
	}
}

// TestCertificatesAreReplacedUnderTraffic moves a site from one authority to
// the next in steps without a failed call. Afterwards a node that kept its old
// certificate must be refused.
func TestCertificatesAreReplacedUnderTraffic(t *testing.T) {
	g := gomega.NewWithT(t)
	old, next := tlstest.NewAuthority(t, "old"), tlstest.NewAuthority(t, "next")
	h := newHarness(t, old)
	a := joinPair(t, h, &core.Handlers{Heartbeat: answerHeartbeat})
	b := h.nodes["b"].module
	h.Join(t, senderOf("c"), &core.Handlers{})
	heartbeat := func(m *Module) error {
		_, err := m.client.Heartbeat(testContext(t), "b", &bspb.HeartbeatRequest{})
		return err
	}
	c := h.nodes["c"].module
	g.Expect(heartbeat(c)).To(gomega.Succeed())

	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		defer close(failed)
		for ctx.Err() == nil {
			if err := heartbeat(a); err != nil {
				failed <- err
				return
			}
		}
	}()
	write := func(by *tlstest.Authority, trusted ...*tlstest.Authority) {
		for id, m := range map[string]*Module{"a": a, "b": b} {
			before := m.files.Generation()
			by.Write(t, h.dir, id, trusted...)
			g.Eventually(m.files.Generation).WithTimeout(testTimeout).Should(gomega.BeNumerically(">", before))
		}
	}
	write(old, old, next)
	write(next, old, next)
	write(next, next)
	g.Expect(heartbeat(a)).To(gomega.Succeed())
	cancel()
	g.Expect(<-failed).NotTo(gomega.HaveOccurred())

	g.Expect(heartbeat(c)).NotTo(gomega.Succeed(), "the open connection was made with a certificate that is no longer trusted")
}

func TestIdleLinksAreRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHarness(t, nil)
	entered, release := make(chan struct{}), make(chan struct{})
	a := joinPair(t, h, &core.Handlers{
		Announce: func(context.Context, *bspb.AnnounceRequest) error {
			close(entered)
			<-release
			return nil
		},
	})
	_, err := a.client.Status(testContext(t), "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	announced := make(chan error, 1)
	go func() { announced <- a.client.Announce(testContext(t), "b", &bspb.AnnounceRequest{}) }()
	<-entered
	sweep := func(at time.Time) []linkDump {
		a.client.mu.Lock()
		a.client.sweep(at)
		a.client.mu.Unlock()
		return a.client.dump()
	}
	g.Expect(sweep(time.Now())).To(gomega.HaveLen(2))
	left := sweep(time.Now().Add(2 * linkIdleTimeout))
	g.Expect(left).To(gomega.HaveLen(1), "the call in flight keeps its link")
	g.Expect(left[0].Kind).To(gomega.Equal(core.KindAnnounce))
	close(release)
	g.Expect(<-announced).NotTo(gomega.HaveOccurred())
	_, err = a.client.Status(testContext(t), "b")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a removed link is made again")
}
