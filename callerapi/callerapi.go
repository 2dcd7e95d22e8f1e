// Package callerapi is the published HTTP interface between callers and entry
// nodes: its paths, headers and JSON bodies, with builders for callers written
// in Go and the parsers that the front end uses. docs/CALLERS.md explains it.
package callerapi

import (
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
)

// Paths outside the tree of services.
const (
	PathHealth   = "/healthz"
	PathServices = "/v1/services/"
)

// Headers on callers' requests. Every other header whose name starts with
// HeaderPrefix is removed before a request is passed on.
const (
	HeaderPrefix = "Burdockspindle-"
	// HeaderDeadlineMs is how many milliseconds the caller waits, counted from
	// the arrival of the request.
	HeaderDeadlineMs = serverapi.HeaderDeadlineMs
	// HeaderIdempotencyKey carries a ticket.
	HeaderIdempotencyKey = serverapi.HeaderIdempotencyKey
	// HeaderCaller names the caller for fair shares of a busy server.
	HeaderCaller = "Burdockspindle-Caller"
	// HeaderHop counts the services through which a request came. A backend
	// server that calls another service copies it from the request it serves.
	HeaderHop = serverapi.HeaderHop
)

// Headers on answers.
const (
	HeaderOutcome    = serverapi.HeaderOutcome
	HeaderReason     = serverapi.HeaderReason
	HeaderRequestID  = serverapi.HeaderRequestID
	HeaderReplayed   = serverapi.HeaderReplayed
	HeaderRetryAfter = "Retry-After" // whole seconds, at least 1
)

// Limits on what callers send.
const (
	MaxKeyBytes    = 1024
	MaxCallerBytes = 128
	MaxTicketBytes = 512
	MaxHops        = 8
	MaxDeadline    = 24 * time.Hour
)

// Ticket is the body of the answer to a request for an idempotency ticket.
type Ticket struct {
	// Ticket is the value for the Idempotency-Key header.
	Ticket string `json:"ticket"`
	// ExpiresWith is the fence or term in force; when it is replaced, a ticket
	// that was never used is answered "unknown" and not run.
	ExpiresWith string `json:"expiresWith"`
}

// Failure is the body of every answer that an entry node gives itself.
type Failure struct {
	Outcome   serverapi.Outcome `json:"outcome"`
	Reason    serverapi.Reason  `json:"reason"`
	RequestID string            `json:"requestId"`
	// RetryAfterMs is when to come back; 0 when coming back does not help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}
