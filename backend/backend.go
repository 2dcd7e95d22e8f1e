// Package backend is the interface through which entry nodes reach backend
// servers. Drivers live in modules/server*; the contract that every driver must
// meet is tested by backend/backendtest.
package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Target is a server at an address.
type Target struct {
	ID      topo.ServerID
	Address string // host:port
}

// Request is one attempt of a caller's request at one server.
type Request struct {
	Method         string
	Path           string // caller's path with query, without serverapi.PathRequest; the leading slash may be left out
	Service        topo.Service
	Key            string // empty for services not divided by key
	Shard          topo.ShardID
	Fence          topo.Fence
	Term           topo.Term // sender's term, for services that do not check fences
	IdempotencyKey string
	// RequestID is unique for each attempt, cannot be guessed, and is echoed by
	// the server; it is what ties an answer to its request.
	RequestID string
	// Idempotent requests may use a connection that has carried others. The
	// rest each get a new one, so that a connection that went silent or was
	// closed while idle never makes their outcome unknown.
	Idempotent    bool
	Hop           int       // services through which the request came, this one included
	Deadline      time.Time // zero for none
	Header        http.Header
	Body          io.Reader // nil for none; may be read for a moment after Do returned
	ContentLength int64     // -1 when not known
}

// Response is a server's answer. Body must be closed by the receiver; a read
// error from Body means that the answer is not whole.
type Response struct {
	Status  int
	Outcome serverapi.Outcome
	Reason  serverapi.Reason
	Header  http.Header
	Body    io.ReadCloser
}

// Driver speaks to backend servers. Methods may be called concurrently. Lease
// and Acknowledge use connections of their own, never those of Do. On any doubt
// about a connection the driver throws it away. Errors are *AttemptError or
// *ControlError.
type Driver interface {
	Lease(ctx context.Context, to Target, req serverapi.LeaseRequest) (serverapi.LeaseReply, error)
	Acknowledge(ctx context.Context, to Target, req serverapi.AcknowledgeRequest) (serverapi.LeaseReply, error)
	// Do makes one attempt and never resends.
	Do(ctx context.Context, to Target, req Request) (*Response, error)
	// Forget closes the idle connections to a server that is gone.
	Forget(id topo.ServerID)
}

// Dial opens a connection to a server. The process uses the one that was
// provided to it, if any: a demo or test can cut nodes off from servers.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// AttemptError reports an attempt without an answer.
type AttemptError struct {
	Server topo.ServerID
	// Sent is false only if it is proven that no byte of the request left.
	Sent bool
	// Silent is true when the connection made no progress for too long.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *AttemptError) Error() string {
	if e.Sent {
		return "server " + string(e.Server) + ": no answer, may have run: " + e.Cause.Error()
	}
	return "server " + string(e.Server) + ": not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// LocalError is implemented by causes that lie with this process, such as a
// used-up share of connections: they say nothing of the server.
type LocalError interface {
	error
	// LocalLimit marks the error.
	LocalLimit()
}

// ControlError reports a lease or acknowledge call without an answer.
type ControlError struct {
	Server topo.ServerID
	Op     string
	Cause  error
}

// Error implements error.
func (e *ControlError) Error() string {
	return "server " + string(e.Server) + ": " + e.Op + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ControlError) Unwrap() error { return e.Cause }
