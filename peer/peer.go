// Package peer is the interface through which entry nodes call each other. The
// connect-go implementation is modules/peer; tests use small in-memory ones.
package peer

import (
	"context"
	"net/http"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Caller calls other nodes. Addresses come from the state's nodes, or from the
// settings' seeds for a process that has no state yet. Each method opens a new
// connection when the existing one makes no progress. Errors are *CallError.
type Caller interface {
	Heartbeat(ctx context.Context, to topo.NodeID, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error)
	ReadLog(ctx context.Context, to topo.NodeID, req *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error)
	FetchSnapshot(ctx context.Context, to topo.NodeID, beyond topo.Offset) ([]*bspb.CheckpointChunk, error)
	Announce(ctx context.Context, to topo.NodeID, req *bspb.AnnounceRequest) error
	ReportLoad(ctx context.Context, to topo.NodeID, req *bspb.ReportLoadRequest) error
	Move(ctx context.Context, to topo.NodeID, req *bspb.MoveRequest) (*bspb.MoveResponse, error)
	Status(ctx context.Context, to topo.NodeID) (*bspb.StatusResponse, error)
	// Known lists the nodes that can be called now, own zone first.
	Known() []topo.NodeID
	// Sender is what this process says of itself in every message.
	Sender() *bspb.Sender
}

// Handlers is where modules put what they answer to peers' calls. Modules set
// their fields during Provision; calls to a nil handler are answered
// "unimplemented". HTTP mounts plain handlers (request forwarding) on the peer
// listener.
type Handlers struct {
	Heartbeat  func(ctx context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error)
	ReadLog    func(ctx context.Context, req *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error)
	Snapshot   func(ctx context.Context, beyond topo.Offset) ([]*bspb.CheckpointChunk, error)
	Announce   func(ctx context.Context, req *bspb.AnnounceRequest) error
	ReportLoad func(ctx context.Context, req *bspb.ReportLoadRequest) error
	Move       func(ctx context.Context, req *bspb.MoveRequest) (*bspb.MoveResponse, error)
	Status     func(ctx context.Context) (*bspb.StatusResponse, error)
	HTTP       map[string]http.Handler // path prefix → handler
}

// CallError reports a call without an answer.
type CallError struct {
	Node topo.NodeID
	Op   string
	// Sent is false only if it is proven that nothing was sent.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	return "node " + string(e.Node) + ": " + e.Op + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
