// Package callerapi defines the published HTTP interface between callers and entry
// nodes: its paths, headers and JSON bodies, with builders for callers written in
// Go and the parsers of the front end. docs/CALLERS.md describes the interface.
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

// Headers of callers' requests. Every other header whose name starts with
// HeaderPrefix is removed before a request is forwarded.
const (
	HeaderPrefix = "Burdockspindle-"
	// HeaderDeadlineMs is the caller's timeout in milliseconds, measured from the
	// arrival of the request.
	HeaderDeadlineMs = serverapi.HeaderDeadlineMs
	// HeaderIdempotencyKey carries a ticket.
	HeaderIdempotencyKey = serverapi.HeaderIdempotencyKey
	// HeaderCaller names the caller, so that a busy server's capacity is shared
	// fairly among callers.
	HeaderCaller = "Burdockspindle-Caller"
	// HeaderHop is the number of services that the request has passed through. A
	// backend server that calls another service copies it from the request that it
	// serves.
	HeaderHop = serverapi.HeaderHop
)

// Headers of responses.
const (
	HeaderOutcome    = serverapi.HeaderOutcome
	HeaderReason     = serverapi.HeaderReason
	HeaderRequestID  = serverapi.HeaderRequestID
	HeaderReplayed   = serverapi.HeaderReplayed
	HeaderRetryAfter = "Retry-After" // whole seconds, at least 1
)

// Limits of callers' requests.
const (
	MaxKeyBytes    = 1024
	MaxCallerBytes = 128
	MaxTicketBytes = 512
	MaxHops        = 8
	MaxDeadline    = 24 * time.Hour
)

// Ticket is the body of the response to a request for an idempotency ticket.
type Ticket struct {
	// Ticket is the value for the Idempotency-Key header.
	Ticket string `json:"ticket"`
	// ExpiresWith is the fence or term in force. Once it is replaced, a request
	// with a ticket that was never used is answered "unknown" and not run.
	ExpiresWith string `json:"expiresWith"`
}

// Failure is the body of every response that an entry node generates itself.
type Failure struct {
	Outcome   serverapi.Outcome `json:"outcome"`
	Reason    serverapi.Reason  `json:"reason"`
	RequestID string            `json:"requestId"`
	// RetryAfterMs is the delay before a retry; 0 if a retry does not help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}
