package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	core "github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1/bspbconnect"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// service serves calls of peers with the handlers that modules set.
type service struct {
	sender   *bspb.Sender
	handlers *core.Handlers
	logger   hclog.Logger
}

var _ bspbconnect.PeerServiceHandler = (*service)(nil)

// admit refuses a call addressed to another node before its message is read.
func (s *service) admit(ctx context.Context, _ connect.Spec, from connect.Peer, header http.Header) (context.Context, error) {
	to := header.Get(headerTo)
	if to == "" || to == s.sender.Node {
		return ctx, nil
	}
	eventMisdirected.Log(s.logger, "to", to, "from", from.Addr)
	wrong := &core.WrongNodeError{Want: topo.NodeID(to), Got: topo.NodeID(s.sender.Node)}
	return nil, connect.NewError(connect.CodeFailedPrecondition, wrong)
}

// refuse converts an error of a handler to an error of the protocol.
func (s *service) refuse(kind core.Kind, err error) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	}
	eventHandlerFailed.Log(s.logger, "kind", kind, "error", err)
	return connect.NewError(connect.CodeInternal, err)
}

func unimplemented(kind core.Kind) error {
	return connect.NewError(connect.CodeUnimplemented, &core.UnimplementedError{Kind: kind})
}

// Heartbeat implements the generated handler.
func (s *service) Heartbeat(ctx context.Context, req *connect.Request[bspb.HeartbeatRequest]) (*connect.Response[bspb.HeartbeatResponse], error) {
	metricServed.Add(string(core.KindHeartbeat), 1)
	if s.handlers.Heartbeat == nil {
		return nil, unimplemented(core.KindHeartbeat)
	}
	answer, err := s.handlers.Heartbeat(ctx, req.Msg)
	if err != nil {
		return nil, s.refuse(core.KindHeartbeat, err)
	}
	answer.Sender = s.sender
	return connect.NewResponse(answer), nil
}

// ReadLog implements the generated handler.
func (s *service) ReadLog(ctx context.Context, req *connect.Request[bspb.ReadLogRequest]) (*connect.Response[bspb.ReadLogResponse], error) {
	metricServed.Add(string(core.KindReadLog), 1)
	if s.handlers.ReadLog == nil {
		return nil, unimplemented(core.KindReadLog)
	}
	answer, err := s.handlers.ReadLog(ctx, req.Msg)
	if err != nil {
		return nil, s.refuse(core.KindReadLog, err)
	}
	answer.Sender = s.sender
	return connect.NewResponse(answer), nil
}

// FetchSnapshot implements the generated handler.
func (s *service) FetchSnapshot(ctx context.Context, req *connect.Request[bspb.FetchSnapshotRequest], stream *connect.ServerStream[bspb.FetchSnapshotResponse]) error {
	metricServed.Add(string(core.KindSnapshot), 1)
	if s.handlers.Snapshot == nil {
		return unimplemented(core.KindSnapshot)
	}
	chunks, err := s.handlers.Snapshot(ctx, topo.Offset(req.Msg.Beyond))
	if err != nil {
		return s.refuse(core.KindSnapshot, err)
	}
	for _, chunk := range chunks {
		if err := stream.Send(&bspb.FetchSnapshotResponse{Chunk: chunk}); err != nil {
			return err
		}
	}
	return nil
}

// Announce implements the generated handler.
func (s *service) Announce(ctx context.Context, req *connect.Request[bspb.AnnounceRequest]) (*connect.Response[bspb.AnnounceResponse], error) {
	metricServed.Add(string(core.KindAnnounce), 1)
	if s.handlers.Announce == nil {
		return nil, unimplemented(core.KindAnnounce)
	}
	if err := s.handlers.Announce(ctx, req.Msg); err != nil {
		return nil, s.refuse(core.KindAnnounce, err)
	}
	return connect.NewResponse(&bspb.AnnounceResponse{Sender: s.sender}), nil
}

// ReportLoad implements the generated handler.
func (s *service) ReportLoad(ctx context.Context, req *connect.Request[bspb.ReportLoadRequest]) (*connect.Response[bspb.ReportLoadResponse], error) {
	metricServed.Add(string(core.KindReportLoad), 1)
	if s.handlers.ReportLoad == nil {
		return nil, unimplemented(core.KindReportLoad)
	}
	if err := s.handlers.ReportLoad(ctx, req.Msg); err != nil {
		return nil, s.refuse(core.KindReportLoad, err)
	}
	return connect.NewResponse(&bspb.ReportLoadResponse{Sender: s.sender}), nil
}

// Move implements the generated handler.
func (s *service) Move(ctx context.Context, req *connect.Request[bspb.MoveRequest]) (*connect.Response[bspb.MoveResponse], error) {
	metricServed.Add(string(core.KindMove), 1)
	if s.handlers.Move == nil {
		return nil, unimplemented(core.KindMove)
	}
	answer, err := s.handlers.Move(ctx, req.Msg)
	if err != nil {
		return nil, s.refuse(core.KindMove, err)
	}
	answer.Sender = s.sender
	return connect.NewResponse(answer), nil
}

// Status implements the generated handler. It also responds without a handler,
// because any response proves liveness.
func (s *service) Status(ctx context.Context, _ *connect.Request[bspb.StatusRequest]) (*connect.Response[bspb.StatusResponse], error) {
	metricServed.Add(string(core.KindStatus), 1)
	answer := &bspb.StatusResponse{}
	if s.handlers.Status != nil {
		var err error
		if answer, err = s.handlers.Status(ctx); err != nil {
			return nil, s.refuse(core.KindStatus, err)
		}
	}
	answer.Sender = s.sender
	return connect.NewResponse(answer), nil
}
