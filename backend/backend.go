// Package backend defines the interface through which entry nodes call backend
// servers. Drivers are in modules/server*; backend/backendtest tests the
// contract that every driver must meet.
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

// Target identifies a server and its address.
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
	// RequestID is unique for each attempt and cannot be guessed. The server
	// echoes it, so that the driver can match a response to its request.
	RequestID string
	// Idempotent requests may reuse a connection. Any other request gets a new
	// connection, so that a connection that stalled or was closed while idle
	// never makes its outcome unknown.
	Idempotent    bool
	Hop           int       // number of services that the request has passed through, including this one
	Deadline      time.Time // zero for none
	Header        http.Header
	Body          io.Reader // nil for none; may still be read briefly after Do returns
	ContentLength int64     // -1 if unknown
}

// Response is a server's response. The receiver must close Body; a read error
// from Body means that the response is incomplete.
type Response struct {
	Status  int
	Outcome serverapi.Outcome
	Reason  serverapi.Reason
	Header  http.Header
	Body    io.ReadCloser
}

// Driver calls backend servers. Its methods are safe for concurrent use. Lease
// and Acknowledge use separate connections, never those of Do. The driver
// closes a connection whose state is uncertain. Errors are *AttemptError or
// *ControlError.
type Driver interface {
	Lease(ctx context.Context, to Target, req serverapi.LeaseRequest) (serverapi.LeaseReply, error)
	Acknowledge(ctx context.Context, to Target, req serverapi.AcknowledgeRequest) (serverapi.LeaseReply, error)
	// Do makes one attempt and never resends the request.
	Do(ctx context.Context, to Target, req Request) (*Response, error)
	// Forget closes the idle connections to a server that was removed.
	Forget(id topo.ServerID)
}

// Dial opens a connection to a server. A demo or test can provide its own Dial
// to the process in order to partition nodes from servers.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// AttemptError reports an attempt without a response.
type AttemptError struct {
	Server topo.ServerID
	// Sent is false only if it is proven that no byte of the request was sent.
	Sent bool
	// Unresponsive is true when the connection made no progress for too long.
	Unresponsive bool
	Cause        error
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

// LocalError is implemented by causes within this process, such as an exhausted
// connection quota. They are no evidence of a fault of the server.
type LocalError interface {
	error
	// LocalLimit marks the error as local; it does nothing.
	LocalLimit()
}

// ControlError reports a Lease or Acknowledge call without a response.
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
