package peermem

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Node is one incarnation of a node on the network. It implements peer.Caller.
type Node struct {
	network  *Network
	id       topo.NodeID
	zone     topo.Zone
	sender   *bspb.Sender
	handlers *peer.Handlers
	left     chan struct{} // closed when the node has left

	// Guarded by the network's mutex.
	paused  bool
	running chan struct{} // closed unless the node is paused
}

var _ peer.Caller = (*Node)(nil)

// Sender implements peer.Caller.
func (n *Node) Sender() *bspb.Sender { return n.sender }

// Known implements peer.Caller.
func (n *Node) Known() []topo.NodeID { return n.network.others(n) }

// Heartbeat implements peer.Caller.
func (n *Node) Heartbeat(ctx context.Context, to topo.NodeID, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
	req = proto.CloneOf(req)
	req.Sender = n.sender
	return call(ctx, n, to, peer.KindHeartbeat, req, func(ctx context.Context, at *Node) (*bspb.HeartbeatResponse, error) {
		if at.handlers.Heartbeat == nil {
			return nil, &peer.UnimplementedError{Kind: peer.KindHeartbeat}
		}
		answer, err := at.handlers.Heartbeat(ctx, proto.CloneOf(req))
		return signed(answer, err, func(m *bspb.HeartbeatResponse) { m.Sender = at.sender })
	})
}

// ReadLog implements peer.Caller.
func (n *Node) ReadLog(ctx context.Context, to topo.NodeID, req *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error) {
	req = proto.CloneOf(req)
	req.Sender = n.sender
	return call(ctx, n, to, peer.KindReadLog, req, func(ctx context.Context, at *Node) (*bspb.ReadLogResponse, error) {
		if at.handlers.ReadLog == nil {
			return nil, &peer.UnimplementedError{Kind: peer.KindReadLog}
		}
		answer, err := at.handlers.ReadLog(ctx, proto.CloneOf(req))
		return signed(answer, err, func(m *bspb.ReadLogResponse) { m.Sender = at.sender })
	})
}

// Announce implements peer.Caller.
func (n *Node) Announce(ctx context.Context, to topo.NodeID, req *bspb.AnnounceRequest) error {
	req = proto.CloneOf(req)
	req.Sender = n.sender
	_, err := call(ctx, n, to, peer.KindAnnounce, req, func(ctx context.Context, at *Node) (*bspb.AnnounceResponse, error) {
		if at.handlers.Announce == nil {
			return nil, &peer.UnimplementedError{Kind: peer.KindAnnounce}
		}
		err := at.handlers.Announce(ctx, proto.CloneOf(req))
		return &bspb.AnnounceResponse{Sender: at.sender}, err
	})
	return err
}

// ReportLoad implements peer.Caller.
func (n *Node) ReportLoad(ctx context.Context, to topo.NodeID, req *bspb.ReportLoadRequest) error {
	req = proto.CloneOf(req)
	req.Sender = n.sender
	_, err := call(ctx, n, to, peer.KindReportLoad, req, func(ctx context.Context, at *Node) (*bspb.ReportLoadResponse, error) {
		if at.handlers.ReportLoad == nil {
			return nil, &peer.UnimplementedError{Kind: peer.KindReportLoad}
		}
		err := at.handlers.ReportLoad(ctx, proto.CloneOf(req))
		return &bspb.ReportLoadResponse{Sender: at.sender}, err
	})
	return err
}

// Move implements peer.Caller.
func (n *Node) Move(ctx context.Context, to topo.NodeID, req *bspb.MoveRequest) (*bspb.MoveResponse, error) {
	req = proto.CloneOf(req)
	req.Sender = n.sender
	return call(ctx, n, to, peer.KindMove, req, func(ctx context.Context, at *Node) (*bspb.MoveResponse, error) {
		if at.handlers.Move == nil {
			return nil, &peer.UnimplementedError{Kind: peer.KindMove}
		}
		answer, err := at.handlers.Move(ctx, proto.CloneOf(req))
		return signed(answer, err, func(m *bspb.MoveResponse) { m.Sender = at.sender })
	})
}

// Status implements peer.Caller.
func (n *Node) Status(ctx context.Context, to topo.NodeID) (*bspb.StatusResponse, error) {
	req := &bspb.StatusRequest{Sender: n.sender}
	return call(ctx, n, to, peer.KindStatus, req, func(ctx context.Context, at *Node) (*bspb.StatusResponse, error) {
		if at.handlers.Status == nil {
			return &bspb.StatusResponse{Sender: at.sender}, nil
		}
		answer, err := at.handlers.Status(ctx)
		return signed(answer, err, func(m *bspb.StatusResponse) { m.Sender = at.sender })
	})
}

// FetchSnapshot implements peer.Caller.
func (n *Node) FetchSnapshot(ctx context.Context, to topo.NodeID, beyond topo.Offset) ([]*bspb.CheckpointChunk, error) {
	req := &bspb.FetchSnapshotRequest{Sender: n.sender, Beyond: uint64(beyond)}
	answer, err := call(ctx, n, to, peer.KindSnapshot, req, func(ctx context.Context, at *Node) (*chunks, error) {
		if at.handlers.Snapshot == nil {
			return nil, &peer.UnimplementedError{Kind: peer.KindSnapshot}
		}
		list, err := at.handlers.Snapshot(ctx, beyond)
		return cloneChunks(list), err
	})
	if err != nil {
		return nil, err
	}
	return answer.list, nil
}

// chunks is the response to a snapshot call, which consists of several messages.
type chunks struct{ list []*bspb.CheckpointChunk }

func cloneChunks(list []*bspb.CheckpointChunk) *chunks {
	cloned := &chunks{}
	for _, chunk := range list {
		cloned.list = append(cloned.list, proto.CloneOf(chunk))
	}
	return cloned
}

// signed returns a copy of a handler's response with its sender set.
func signed[M proto.Message](answer M, err error, sign func(M)) (M, error) {
	if err != nil {
		return answer, err
	}
	answer = proto.CloneOf(answer)
	sign(answer)
	return answer, nil
}
