// Package peer defines the interface through which entry nodes call each other.
// modules/peer implements it with connect-go; package peermem implements it in
// memory, with faults on each link. peer/peertest tests the contract that both
// must meet.
package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Caller calls other nodes. It takes addresses from the nodes in the state, or
// from the seeds in the settings if the process has no state yet. Each kind of
// call uses a separate connection to each node; a call that starts while that
// connection is stalled opens a new one. Calls never resend. Errors are
// *CallError.
type Caller interface {
	Heartbeat(ctx context.Context, to topo.NodeID, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error)
	ReadLog(ctx context.Context, to topo.NodeID, req *bspb.ReadLogRequest) (*bspb.ReadLogResponse, error)
	FetchSnapshot(ctx context.Context, to topo.NodeID, beyond topo.Offset) ([]*bspb.CheckpointChunk, error)
	Announce(ctx context.Context, to topo.NodeID, req *bspb.AnnounceRequest) error
	ReportLoad(ctx context.Context, to topo.NodeID, req *bspb.ReportLoadRequest) error
	Move(ctx context.Context, to topo.NodeID, req *bspb.MoveRequest) (*bspb.MoveResponse, error)
	Status(ctx context.Context, to topo.NodeID) (*bspb.StatusResponse, error)
	// Known returns the nodes that can currently be called, those of this node's
	// zone first, without this node.
	Known() []topo.NodeID
	// Sender identifies this process in every message.
	Sender() *bspb.Sender
}

// Dial opens a connection to another node. A demo or test can provide its own
// Dial to the process in order to partition nodes from each other.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Handlers holds the modules' handlers of calls from peers. Modules set their
// fields during Provision; a call to a nil handler fails as "unimplemented". The
// listener sets the Sender of each response. HTTP mounts plain HTTP handlers
// (request forwarding) on the peer listener.
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

// Kind is a kind of call, as used in metrics, dumps and CallError.Op.
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

// Kinds returns every kind of call.
func Kinds() []Kind {
	return []Kind{KindHeartbeat, KindReadLog, KindSnapshot, KindAnnounce, KindReportLoad, KindMove, KindStatus}
}

// Listener reports the address of this process's peer listener. The peer module
// provides it.
type Listener interface {
	// Address returns the bound address, host:port, once the module has started.
	Address() string
}
