package peertest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// longTimeout is for calls that must succeed; shortTimeout is for calls that must
// exceed their deadline.
const (
	longTimeout  = 20 * time.Second
	shortTimeout = 300 * time.Millisecond
)

func sender(id string) *bspb.Sender {
	return &bspb.Sender{Node: id, Boot: id + "-boot-1", Zone: "zone-a"}
}

// within returns a context for one call with a timeout.
func within(t testing.TB, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}

// joinPair joins nodes "a" and "b" and returns the caller of "a".
func joinPair(t testing.TB, h Harness, atB *peer.Handlers) peer.Caller {
	caller := h.Join(t, sender("a"), &peer.Handlers{})
	h.Join(t, sender("b"), atB)
	eventuallyKnown(t, caller, "b")
	return caller
}

func eventuallyKnown(t testing.TB, caller peer.Caller, ids ...topo.NodeID) {
	g := gomega.NewWithT(t)
	g.Eventually(caller.Known).WithTimeout(longTimeout).Should(gomega.ContainElements(ids))
}

// callError checks that a failure is a *peer.CallError and returns it.
func callError(t testing.TB, err error) *peer.CallError {
	t.Helper()
	var failed *peer.CallError
	if !errors.As(err, &failed) {
		t.Fatalf("error is %T (%v), not *peer.CallError", err, err)
	}
	return failed
}

func sendHeartbeat(ctx context.Context, c peer.Caller, round uint64) (*bspb.HeartbeatResponse, error) {
	return c.Heartbeat(ctx, "b", &bspb.HeartbeatRequest{Group: "g", Round: round})
}

// echoRound responds to a heartbeat with the round of the request.
func echoRound(_ context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
	return &bspb.HeartbeatResponse{Round: req.Round}, nil
}

func everyKindIsAnswered(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	senders := map[peer.Kind]string{}
	recordSender := func(kind peer.Kind, s *bspb.Sender) {
		mu.Lock()
		defer mu.Unlock()
		senders[kind] = s.GetNode() + "/" + s.GetBoot()
	}
	chunk := &bspb.CheckpointChunk{Applied: 9, Data: make([]byte, 1000)}
	a := joinPair(t, h, &peer.Handlers{
		Heartbeat: func(ctx context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
			recordSender(peer.KindHeartbeat, req.Sender)
			return echoRound(ctx, req)
		},
		ReadLog: func(_ context.Context, req *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error) {
			recordSender(peer.KindReadLog, req.Sender)
			return &bspb.ReadLogResponse{Entries: []*bspb.LogEntry{{Offset: req.From, Data: []byte("x")}}}, nil
		},
		Snapshot: func(_ context.Context, beyond topo.Offset) ([]*bspb.CheckpointChunk, error) {
			if beyond >= 9 {
				return nil, nil
			}
			return []*bspb.CheckpointChunk{chunk, chunk, chunk}, nil
		},
		Announce: func(_ context.Context, req *bspb.AnnounceRequest) error {
			recordSender(peer.KindAnnounce, req.Sender)
			return nil
		},
		ReportLoad: func(_ context.Context, req *bspb.ReportLoadRequest) error {
			recordSender(peer.KindReportLoad, req.Sender)
			return nil
		},
		Move: func(_ context.Context, req *bspb.MoveRequest) (*bspb.MoveResponse, error) {
			recordSender(peer.KindMove, req.Sender)
			return &bspb.MoveResponse{Accepted: uint32(len(req.Moves))}, nil
		},
		Status: func(context.Context) (*bspb.StatusResponse, error) {
			return &bspb.StatusResponse{Applied: 7}, nil
		},
	})
	ctx := within(t, longTimeout)

	heartbeat, err := sendHeartbeat(ctx, a, 3)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(heartbeat.Round).To(gomega.BeEquivalentTo(3))
	g.Expect(proto.Equal(heartbeat.Sender, sender("b"))).To(gomega.BeTrue())

	read, err := a.ReadLog(ctx, "b", &bspb.ReadLogRequest{From: 5})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read.Entries[0].Offset).To(gomega.BeEquivalentTo(5))

	chunks, err := a.FetchSnapshot(ctx, "b", 8)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(chunks).To(gomega.HaveLen(3))
	g.Expect(proto.Equal(chunks[2], chunk)).To(gomega.BeTrue())
	chunks, err = a.FetchSnapshot(ctx, "b", 9)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(chunks).To(gomega.BeEmpty())

	g.Expect(a.Announce(ctx, "b", &bspb.AnnounceRequest{})).To(gomega.Succeed())
	g.Expect(a.ReportLoad(ctx, "b", &bspb.ReportLoadRequest{})).To(gomega.Succeed())

	moved, err := a.Move(ctx, "b", &bspb.MoveRequest{Moves: []*bspb.ShardMove{{}, {}}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(moved.Accepted).To(gomega.BeEquivalentTo(2))

	status, err := a.Status(ctx, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status.Applied).To(gomega.BeEquivalentTo(7))
	g.Expect(status.Sender.Boot).To(gomega.Equal("b-boot-1"))

	mu.Lock()
	defer mu.Unlock()
	for _, kind := range []peer.Kind{peer.KindHeartbeat, peer.KindReadLog, peer.KindAnnounce, peer.KindReportLoad, peer.KindMove} {
		g.Expect(senders).To(gomega.HaveKeyWithValue(kind, "a/a-boot-1"))
	}
}

func requestIsNotChanged(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{Announce: func(context.Context, *bspb.AnnounceRequest) error { return nil }})
	req := &bspb.AnnounceRequest{Group: "g"}
	before := proto.CloneOf(req)
	g.Expect(a.Announce(within(t, longTimeout), "b", req)).To(gomega.Succeed())
	g.Expect(proto.Equal(req, before)).To(gomega.BeTrue())
}

func nilHandler(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{})
	_, err := sendHeartbeat(within(t, longTimeout), a, 1)
	failed := callError(t, err)
	var unimplemented *peer.UnimplementedError
	g.Expect(errors.As(failed, &unimplemented)).To(gomega.BeTrue(), "%v", err)
	_, err = a.Status(within(t, longTimeout), "b")
	g.Expect(err).NotTo(gomega.HaveOccurred(), "status is answered without a handler")
	_, err = a.FetchSnapshot(within(t, longTimeout), "b", 0)
	g.Expect(errors.As(err, &unimplemented)).To(gomega.BeTrue(), "%v", err)
}

func handlerError(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{
		Heartbeat: func(context.Context, *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
			return nil, &peer.UnknownNodeError{Node: "planted"}
		},
	})
	_, err := sendHeartbeat(within(t, longTimeout), a, 1)
	failed := callError(t, err)
	var remote *peer.RemoteError
	g.Expect(errors.As(failed, &remote)).To(gomega.BeTrue(), "%v", err)
	g.Expect(failed.Sent).To(gomega.BeTrue())
}

func unknownNode(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{})
	_, err := a.Status(within(t, longTimeout), "nobody")
	failed := callError(t, err)
	var unknown *peer.UnknownNodeError
	g.Expect(errors.As(failed, &unknown)).To(gomega.BeTrue(), "%v", err)
	g.Expect(failed.Sent).To(gomega.BeFalse())
}

func nodeLeft(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{})
	_, err := a.Status(within(t, longTimeout), "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h.Leave(t, "b")
	g.Eventually(func() bool {
		_, err := a.Status(within(t, longTimeout), "b")
		return err != nil && !callError(t, err).Sent
	}).WithTimeout(longTimeout).Should(gomega.BeTrue())
}

func endedContext(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{Heartbeat: echoRound})
	ended := func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := sendHeartbeat(ctx, a, 1)
		g.Expect(callError(t, err).Sent).To(gomega.BeFalse())
		g.Expect(errors.Is(err, context.Canceled)).To(gomega.BeTrue(), "%v", err)
	}
	ended()
	_, err := sendHeartbeat(context.Background(), a, 2) // opens a connection
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ended()
}

func restartedNode(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{})
	h.Leave(t, "b")
	restarted := sender("b")
	restarted.Boot = "b-boot-2"
	h.Join(t, restarted, &peer.Handlers{})
	g.Eventually(func() string {
		status, err := a.Status(within(t, longTimeout), "b")
		if err != nil {
			return err.Error()
		}
		return status.Sender.Boot
	}).WithTimeout(longTimeout).Should(gomega.Equal("b-boot-2"))
}

// answersMatch finishes concurrent requests in reverse order.
func answersMatch(t testing.TB, h Harness) {
	const calls = 20
	g := gomega.NewWithT(t)
	var done [calls + 1]chan struct{}
	for i := range done {
		done[i] = make(chan struct{})
	}
	close(done[calls])
	a := joinPair(t, h, &peer.Handlers{
		Heartbeat: func(ctx context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
			select {
			case <-done[req.Round+1]:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			defer close(done[req.Round])
			return echoRound(ctx, req)
		},
	})
	var wg sync.WaitGroup
	failures := make(chan string, calls)
	for round := range uint64(calls) {
		wg.Go(func() {
			got, err := sendHeartbeat(within(t, longTimeout), a, round)
			if err != nil || got.Round != round {
				failures <- fmt.Sprintf("round %d: got %v, %v", round, got, err)
			}
		})
	}
	wg.Wait()
	close(failures)
	g.Expect(failures).To(gomega.BeClosed())
	for failure := range failures {
		t.Error(failure)
	}
}

func handlerTooSlow(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	a := joinPair(t, h, &peer.Handlers{
		Heartbeat: func(context.Context, *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
			<-release
			return &bspb.HeartbeatResponse{}, nil
		},
	})
	_, err := sendHeartbeat(within(t, shortTimeout), a, 1)
	g.Expect(callError(t, err).Sent).To(gomega.BeTrue())
	g.Expect(errors.Is(err, context.DeadlineExceeded)).To(gomega.BeTrue(), "%v", err)
}

func slowHandlerAlone(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	a := joinPair(t, h, &peer.Handlers{
		Heartbeat: func(ctx context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
			if req.Round == 0 {
				<-release
			}
			return echoRound(ctx, req)
		},
		Move: func(context.Context, *bspb.MoveRequest) (*bspb.MoveResponse, error) { return &bspb.MoveResponse{}, nil },
	})
	slow := make(chan error, 1)
	go func() {
		_, err := sendHeartbeat(within(t, longTimeout), a, 0)
		slow <- err
	}()
	_, err := sendHeartbeat(within(t, longTimeout), a, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = a.Move(within(t, longTimeout), "b", &bspb.MoveRequest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	close(release)
	g.Expect(<-slow).NotTo(gomega.HaveOccurred())
}

func stalledConnection(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{Heartbeat: echoRound})
	for round := range uint64(3) { // from the second round on, the replaced connection stalls
		_, err := sendHeartbeat(within(t, longTimeout), a, round)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		h.Stall(t, "a", "b")
		_, err = sendHeartbeat(within(t, shortTimeout), a, round)
		g.Expect(callError(t, err).Sent).To(gomega.BeTrue())
	}
	_, err := sendHeartbeat(within(t, longTimeout), a, 9)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

func cutLink(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := joinPair(t, h, &peer.Handlers{Heartbeat: echoRound})
	_, err := sendHeartbeat(within(t, longTimeout), a, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h.Cut(t, "a", "b")
	for range 3 {
		_, err = sendHeartbeat(within(t, shortTimeout), a, 2)
		g.Expect(errors.Is(callError(t, err), context.DeadlineExceeded)).To(gomega.BeTrue(), "%v", err)
	}
	h.Heal(t)
	g.Eventually(func() error {
		_, err := sendHeartbeat(within(t, longTimeout), a, 3)
		return err
	}).WithTimeout(longTimeout).Should(gomega.Succeed())
}

func knownOrder(t testing.TB, h Harness) {
	g := gomega.NewWithT(t)
	a := h.Join(t, sender("a"), &peer.Handlers{})
	for _, id := range []string{"c", "d"} {
		otherZone := sender(id)
		otherZone.Zone = "zone-b"
		h.Join(t, otherZone, &peer.Handlers{})
	}
	h.Join(t, sender("b"), &peer.Handlers{})
	eventuallyKnown(t, a, "b", "c", "d")
	known := a.Known()
	g.Expect(known).To(gomega.HaveLen(3))
	g.Expect(known[0]).To(gomega.BeEquivalentTo("b"))
}
