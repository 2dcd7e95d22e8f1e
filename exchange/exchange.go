// Package exchange holds a caller's request and its answer in the form in which
// they pass between the front end, the router and other entry nodes.
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

// Request is one request of a caller, validated as far as that needs no state.
type Request struct {
	ID       string // given by the first entry node, kept when forwarded
	Service  topo.Service
	Keyed    bool
	Key      string
	Method   string
	Path     string // escaped path at the server, from its slash on, with query
	Header   http.Header
	Body     *Body     // nil for none
	Deadline time.Time // zero when the caller named none
	Caller   string
	Ticket   string // value of Idempotency-Key; may be empty
	Hop      int    // services through which the request came
	// From is the entry node that forwarded the request; empty when it came
	// from the caller.
	From topo.NodeID
	// MinApplied is how far the forwarding node's state had been applied when
	// it chose this node.
	MinApplied topo.Offset
	// Chosen is the server that the forwarding node preferred; only a hint.
	Chosen topo.ServerID
	// Past is the lessor that the forwarding node could not reach, so that this
	// node is to serve the request as a deputy; empty for none.
	Past topo.NodeID
}

// Answer is what the caller is told. Body is nil on answers that an entry node
// gives itself; otherwise it must be closed, and a read error from it means
// that the answer is not whole.
type Answer struct {
	Status     int
	Outcome    serverapi.Outcome
	Reason     serverapi.Reason
	RetryAfter time.Duration // 0 when coming back does not help
	Header     http.Header   // of the server's answer; nil with a nil Body
	Body       io.ReadCloser
}

// Handler answers callers' requests. The router implements it.
type Handler interface {
	// Serve returns once the answer is decided and, for an answer with a body,
	// its first part has arrived. It never returns nil. When ctx ends, the
	// server's request is canceled.
	Serve(ctx context.Context, req *Request) *Answer
	// IssueTicket returns an idempotency ticket for a key, or for a service
	// that is not divided by key when keyed is false. The answer is nil on
	// success and a refusal otherwise.
	IssueTicket(ctx context.Context, service topo.Service, keyed bool, key string) (callerapi.Ticket, *Answer)
	// BodyLimit returns the most bytes that a body of the service may have. It
	// is false for a service that does not exist.
	BodyLimit(service topo.Service) (int64, bool)
}
