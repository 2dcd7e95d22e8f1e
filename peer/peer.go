// Package peer is the interface through which entry nodes call each other. The
// connect-go implementation is modules/peer; package peermem is the in-memory
// one with faults on each link. The contract that both meet is tested by
// peer/peertest.
package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Caller calls other nodes. Addresses come from the state's nodes, or from the
// settings' seeds for a process that has no state yet. Each kind of call has a
// connection of its own to each node; a call that starts while that connection
// is silent opens a new one. Calls never resend. Errors are *CallError.
type Caller interface {
	Heartbeat(ctx context.Context, to topo.NodeID, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error)
	ReadLog(ctx context.Context, to topo.NodeID, req *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error)
	FetchSnapshot(ctx context.Context, to topo.NodeID, beyond topo.Offset) ([]*bspb.CheckpointChunk, error)
	Announce(ctx context.Context, to topo.NodeID, req *bspb.AnnounceRequest) error
	ReportLoad(ctx context.Context, to topo.NodeID, req *bspb.ReportLoadRequest) error
	Move(ctx context.Context, to topo.NodeID, req *bspb.MoveRequest) (*bspb.MoveResponse, error)
	Status(ctx context.Context, to topo.NodeID) (*bspb.StatusResponse, error)
	// Known lists the nodes that can be called now, own zone first, without
	// this node.
	Known() []topo.NodeID
	// Sender is what this process says of itself in every message.
	Sender() *bspb.Sender
}

// Dial opens a connection to another node. The process uses the one that was
// provided to it, if any: a demo or test can cut nodes off from each other.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Handlers is where modules put what they answer to peers' calls. Modules set
// their fields during Provision; calls to a nil handler are answered
// "unimplemented". The listener fills in each answer's Sender. HTTP mounts
// plain handlers (request forwarding) on the peer listener.
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

// Kind names one kind of call, as used in metrics, dumps and CallError.Op.
type Kind string

// Kinds of calls.
const (
	KindHeartbeat  Kind = "heartbeat"
	KindReadLog    Kind = "read_log"
	KindSnapshot   Kind = "snapshot"
	KindAnnounce   Kind = "announce"
	KindReportLoad Kind = "report_load"
	KindMove       Kind = "move"
	KindStatus     Kind = "status"
)

// Kinds lists every kind of call.
func Kinds() []Kind {
	return []Kind{KindHeartbeat, KindReadLog, KindSnapshot, KindAnnounce, KindReportLoad, KindMove, KindStatus}
}

// Listener tells where this process's peer listener is. The peer module
// provides it.
type Listener interface {
	// Address returns the bound address, host:port, once the module has started.
	Address() string
}
