package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Heartbeat implements peer.Caller.
func (c *client) Heartbeat(ctx context.Context, to topo.NodeID, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
	at, err := c.target(to, core.KindHeartbeat)
	if err != nil {
		return nil, err
	}
	if req.Sender == nil {
		req = proto.CloneOf(req)
		req.Sender = c.sender
	}
	return unary(ctx, c, at, req, bspbconnect.PeerServiceClient.Heartbeat)
}

// ReadLog implements peer.Caller.
func (c *client) ReadLog(ctx context.Context, to topo.NodeID, req *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error) {
	at, err := c.target(to, core.KindReadLog)
	if err != nil {
		return nil, err
	}
	at.allowance = time.Duration(req.WaitMs) * time.Millisecond
	if req.Sender == nil {
		req = proto.CloneOf(req)
		req.Sender = c.sender
	}
	return unary(ctx, c, at, req, bspbconnect.PeerServiceClient.ReadLog)
}

// Announce implements peer.Caller.
func (c *client) Announce(ctx context.Context, to topo.NodeID, req *bspb.AnnounceRequest) error {
	at, err := c.target(to, core.KindAnnounce)
	if err != nil {
		return err
	}
	if req.Sender == nil {
		req = proto.CloneOf(req)
		req.Sender = c.sender
	}
	_, err = unary(ctx, c, at, req, bspbconnect.PeerServiceClient.Announce)
	return err
}

// ReportLoad implements peer.Caller.
func (c *client) ReportLoad(ctx context.Context, to topo.NodeID, req *bspb.ReportLoadRequest) error {
	at, err := c.target(to, core.KindReportLoad)
	if err != nil {
		return err
	}
	if req.Sender == nil {
		req = proto.CloneOf(req)
		req.Sender = c.sender
	}
	_, err = unary(ctx, c, at, req, bspbconnect.PeerServiceClient.ReportLoad)
	return err
}

// Move implements peer.Caller.
func (c *client) Move(ctx context.Context, to topo.NodeID, req *bspb.MoveRequest) (*bspb.MoveResponse, error) {
	at, err := c.target(to, core.KindMove)
	if err != nil {
		return nil, err
	}
	if req.Sender == nil {
		req = proto.CloneOf(req)
		req.Sender = c.sender
	}
	return unary(ctx, c, at, req, bspbconnect.PeerServiceClient.Move)
}

// Status implements peer.Caller.
func (c *client) Status(ctx context.Context, to topo.NodeID) (*bspb.StatusResponse, error) {
	at, err := c.target(to, core.KindStatus)
	if err != nil {
		return nil, err
	}
	return c.status(ctx, at)
}

func (c *client) status(ctx context.Context, at target) (*bspb.StatusResponse, error) {
	return unary(ctx, c, at, &bspb.StatusRequest{Sender: c.sender}, bspbconnect.PeerServiceClient.Status)
}

// FetchSnapshot implements peer.Caller. If ctx has no deadline, the default
// timeout applies to each chunk rather than to the whole snapshot.
func (c *client) FetchSnapshot(ctx context.Context, to topo.NodeID, beyond topo.Offset) ([]*bspb.CheckpointChunk, error) {
	at, err := c.target(to, core.KindSnapshot)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progress := time.AfterFunc(c.timeout, func() { cancel(context.DeadlineExceeded) })
	defer progress.Stop()
	var chunks []*bspb.CheckpointChunk
	err = c.attempt(ctx, at, func(ctx context.Context, conn *peerConn) error {
		chunks, err = c.receiveChunks(ctx, conn, at, beyond, func() { progress.Reset(c.timeout) })
		if cause := context.Cause(ctx); err != nil && cause != nil {
			return cause
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return chunks, nil
}

func (c *client) receiveChunks(ctx context.Context, conn *peerConn, at target, beyond topo.Offset, progressed func()) ([]*bspb.CheckpointChunk, error) {
	outgoing := connect.NewRequest(&bspb.FetchSnapshotRequest{Sender: c.sender, Beyond: uint64(beyond)})
	outgoing.Header().Set(headerTo, string(at.node))
	stream, err := conn.client.FetchSnapshot(ctx, outgoing)
	if err != nil {
		return nil, err
	}
	var chunks []*bspb.CheckpointChunk
	for stream.Receive() {
		progressed()
		chunks = append(chunks, stream.Msg().Chunk)
	}
	if err := stream.Err(); err != nil && !errors.Is(err, io.EOF) {
		_ = stream.Close()
		return nil, err
	}
	return chunks, stream.Close()
}
