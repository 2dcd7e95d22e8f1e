// Package exchange defines a caller's request and its answer in the form in
// which they pass between the front end, the router and other entry nodes.
package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Request is one request of a caller. It is validated as far as possible without
// the replicated state.
type Request struct {
	ID       string // assigned by the first entry node, kept when forwarded
	Service  topo.Service
	Keyed    bool
	Key      string
	Method   string
	Path     string // escaped path at the server, with leading slash and query
	Header   http.Header
	Body     *Body     // nil for none
	Deadline time.Time // zero when the caller set none
	Caller   string
	Ticket   string // value of Idempotency-Key; may be empty
	Hop      int    // number of services that the request passed through
	// ForwardedBy is the entry node that forwarded the request; empty when it
	// came from the caller.
	ForwardedBy topo.NodeID
	// MinApplied is the offset up to which the forwarding node had applied the
	// log when it chose this node.
	MinApplied topo.Offset
	// PreferredServer is the server that the forwarding node preferred. It is
	// only a hint.
	PreferredServer topo.ServerID
	// UnreachableLessor is the lessor that the forwarding node could not reach,
	// so that this node serves the request as a deputy; empty for none.
	UnreachableLessor topo.NodeID
}

// Answer is the answer to the caller. Body is nil in answers that an entry node
// generates itself; otherwise it must be closed, and a read error from it means
// that the answer is incomplete.
type Answer struct {
	Status     int
	Outcome    serverapi.Outcome
	Reason     serverapi.Reason
	RetryAfter time.Duration // 0 when a retry does not help
	Header     http.Header   // of the server's answer; nil with a nil Body
	Body       io.ReadCloser
}

// Handler answers callers' requests. The router implements it.
type Handler interface {
	// Serve returns once the answer is decided and, for an answer with a body,
	// the first part of the body has arrived. It never returns nil. When ctx ends, the
	// server's request is canceled.
	Serve(ctx context.Context, req *Request) *Answer
	// IssueTicket returns an idempotency ticket for a key, or for a service
	// that is not keyed when keyed is false. The answer is nil on success and a
	// refusal otherwise.
	IssueTicket(ctx context.Context, service topo.Service, keyed bool, key string) (callerapi.Ticket, *Answer)
	// BodyLimit returns the maximum size of a request body of the service in
	// bytes. The second result is false if the service does not exist.
	BodyLimit(service topo.Service) (int64, bool)
}
