package peer

import (
	"context"
	"syscall"
	"testing"
	"time"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/sitefake"
	"github.com/burdockspindle/burdockspindle/tlsfiles/tlstest"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// BenchmarkCall measures one call of each frequent kind over loopback TCP: its
// latency, the CPU time of both sides, and the bytes at the caller's socket in both directions, without TCP headers.
func BenchmarkCall(b *testing.B) {
	from := &bspb.Sender{Node: "entry-b-017", Boot: "3f9a0c55d2e14b07", Zone: "windhoek-b"}
	at := &bspb.Sender{Node: "entry-b-018", Boot: "91c2e07a4b5d6f30", Zone: "windhoek-b"}
	calls := []struct {
		kind core.Kind
		call func(ctx context.Context, c *client, to topo.NodeID) error
	}{
		{core.KindHeartbeat, func(ctx context.Context, c *client, to topo.NodeID) error {
			_, err := c.Heartbeat(ctx, to, &bspb.HeartbeatRequest{
				Sender: from, Group: "windhoek-b/0", Term: &bspb.Ordinal{Offset: 1_234_567}, Round: 98_765,
				Mode: bspb.LessorMode_LESSOR_MODE_CONNECTED, ModeRound: 3, Applied: 2_345_678,
			})
			return err
		}},
		{core.KindStatus, func(ctx context.Context, c *client, to topo.NodeID) error {
			_, err := c.Status(ctx, to)
			return err
		}},
		{core.KindReportLoad, func(ctx context.Context, c *client, to topo.NodeID) error {
			return c.ReportLoad(ctx, to, &bspb.ReportLoadRequest{Sender: from, Shards: []*bspb.ShardLoad{
				{Shard: &bspb.ShardRef{Service: "well-logs", Index: 4711}, PerSecond: 12.5, Busy: 0.4},
			}})
		}},
	}
	for _, security := range []string{"plain", "tls"} {
		for _, c := range calls {
			b.Run(security+"/"+string(c.kind), func(b *testing.B) { benchCall(b, security, from, at, c.kind, c.call) })
		}
	}
}

func benchCall(b *testing.B, security string, from, at *bspb.Sender, kind core.Kind,
	call func(context.Context, *client, topo.NodeID) error,
) {
	handlers := &core.Handlers{
		Heartbeat: func(_ context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
			return &bspb.HeartbeatResponse{
				Term: req.Term, Round: req.Round, Promised: true, Mode: req.Mode, ModeRound: req.ModeRound,
				Applied: req.Applied, HighestTerm: req.Term,
			}, nil
		},
		Status: func(context.Context) (*bspb.StatusResponse, error) {
			return &bspb.StatusResponse{Applied: 2_345_678}, nil
		},
		ReportLoad: func(context.Context, *bspb.ReportLoadRequest) error { return nil },
	}
	authority := tlstest.NewAuthority(b, "site")
	dir := b.TempDir()
	node := func(sender *bspb.Sender, h *core.Handlers) (*Module, *sitefake.Site) {
		s := &settings.Settings{Node: topo.NodeID(sender.Node), Peer: settings.Listener{Address: "127.0.0.1:0"}}
		if security == "tls" {
			files := authority.Write(b, dir, sender.Node, authority)
			s.Peer.TLS = &files
		}
		site := sitefake.New()
		m := start(b, s, sender, h, site)
		b.Cleanup(func() { kill(b, m) })
		return m, site
	}
	server, _ := node(at, handlers)
	caller, site := node(from, &core.Handlers{})
	site.Apply("test@1", &bspb.Record{Body: &bspb.Record_JoinNode{JoinNode: &bspb.JoinNode{
		Node: at.Node, Boot: at.Boot, Zone: at.Zone, PeerAddress: server.Address(),
	}}})
	ctx := context.Background()
	counted := caller.traffic.of(kind)
	if err := call(ctx, caller.client, topo.NodeID(at.Node)); err != nil {
		b.Fatal(err)
	}
	before, busyBefore := counted.sent.Load()+counted.received.Load(), processorTime(b)
	for b.Loop() {
		if err := call(ctx, caller.client, topo.NodeID(at.Node)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(counted.sent.Load()+counted.received.Load()-before)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(processorTime(b)-busyBefore)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the CPU time of the whole process, caller and server.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
