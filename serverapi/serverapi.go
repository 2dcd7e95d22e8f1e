// Package serverapi defines the published HTTP protocol between entry nodes and
// backend servers: the paths, headers and JSON bodies with which an entry node
// grants a server ownership under a lease, has it acknowledge a term, and sends it
// requests. It contains only types and codecs. modules/server* are the drivers of
// the protocol, lease.Holder implements a server's rules, and standin/server is a
// server that uses them.
package serverapi

import "github.com/burdockspindle/burdockspindle/topo"

// Paths on a server's address.
const (
	PathLease       = "/ownership/lease"       // POST LeaseRequest → LeaseReply
	PathAcknowledge = "/ownership/acknowledge" // POST AcknowledgeRequest → LeaseReply
	PathRequest     = "/serve/"                // any method; the rest is the caller's path
)

// Headers of requests to a server.
const (
	// HeaderServer is the server that the sender addresses, also on a lessor's
	// calls. The address may have been reassigned to another server, which refuses
	// the request and changes nothing.
	HeaderServer     = "Burdockspindle-Server"
	HeaderService    = "Burdockspindle-Service"
	HeaderKey        = "Burdockspindle-Key"         // as written by EncodeValue
	HeaderShard      = "Burdockspindle-Shard"       // topo.ShardID.String, as written by EncodeValue
	HeaderFence      = "Burdockspindle-Fence"       // topo.Fence.String
	HeaderTerm       = "Burdockspindle-Term"        // topo.Term.String of the sender, for unfenced services
	HeaderDeadlineMs = "Burdockspindle-Deadline-Ms" // milliseconds that remained when the request was sent
	HeaderRequestID  = "Burdockspindle-Request-Id"  // echoed by the server in its response
	// HeaderIdempotencyKey is the published Idempotency-Key header. Its value is
	// a ticket issued by an entry node; see package ticket.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderHop is the number of services that the request has passed through,
	// including this one. A server that calls another service copies it.
	HeaderHop = "Burdockspindle-Hop"
	// HeaderProgressMs is an interval in milliseconds. The server sends a 102
	// (Processing) response at this interval until its response begins, so that the
	// sender can distinguish a slow request from a stalled connection.
	HeaderProgressMs = "Burdockspindle-Progress-Ms"
)

// Headers of a server's responses, and of responses to callers.
const (
	// HeaderOutcome is one of the Outcome values below. A server's response
	// without it means OutcomeAnswered.
	HeaderOutcome = "Burdockspindle-Outcome"
	// HeaderReason is the reason why a request was not run or its outcome is
	// unknown.
	HeaderReason = "Burdockspindle-Reason"
	// HeaderReplayed is "true" on the stored response to a repeated ticket.
	HeaderReplayed = "Burdockspindle-Replayed"
)

// Outcome is the known outcome of a request.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswered: the owner ran it and this is its complete response.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: it is proven that the request did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: it may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason refines an outcome.
type Reason string

// Reasons given by servers.
const (
	ReasonNotOwner    Reason = "not-owner"    // 421: no valid grant and lease for the shard and fence
	ReasonOverloaded  Reason = "overloaded"   // 503: concurrency limit reached
	ReasonDraining    Reason = "draining"     // 503: accepts no new work
	ReasonStaleTicket Reason = "stale-ticket" // 409, unknown: ticket of an earlier ownership, record gone
	ReasonDuplicate   Reason = "duplicate"    // 409, unknown: a request with the same ticket is in progress
	ReasonDeadline    Reason = "deadline"     // 504: deadline passed before it was run (not run), or while it ran (unknown)
	ReasonBadTicket   Reason = "bad-ticket"   // 422: not a ticket, or a ticket of another key (not run)
	ReasonBadRequest  Reason = "bad-request"  // 400: malformed protocol headers (not run)
	// ReasonAnswerGone: 409, unknown: the ticket was run, but its response was
	// lost, too long to store, or has been dropped.
	ReasonAnswerGone Reason = "answer-gone"
	// ReasonOwnershipLost: 409, unknown: the lease ended while the request ran.
	ReasonOwnershipLost Reason = "ownership-lost"
)

// Grant names one shard and the fence under which the server may serve it.
type Grant struct {
	Shard string `json:"shard"` // topo.ShardID.String
	Fence string `json:"fence"` // topo.Fence.String
	// Except lists keys of the hash range that were split out of it, or are about
	// to be. The server refuses them under this grant.
	Except []string `json:"except,omitempty"`
}

// LeaseRequest renews a server's single lease, which covers every shard granted
// to it. The lease is valid for TTLMs, measured from Echo on the server's clock.
type LeaseRequest struct {
	Term   string      `json:"term"`
	Group  string      `json:"group"`
	Lessor string      `json:"lessor"`
	Boot   topo.BootID `json:"boot"` // incarnation of the server to which Echo belongs; if empty, the call only requests a stamp
	// Echo is the Stamp of the latest reply that the lessor received from the server.
	Echo  int64 `json:"echo"`
	TTLMs int64 `json:"ttlMs"`
	// Generation numbers the grant lists within the term, from 1. With Full, the
	// lists below are that generation. Without Full, they are empty and the server
	// is known to have that generation. A server never returns to a lower
	// generation.
	Generation uint64  `json:"generation"`
	Full       bool    `json:"full"`
	Grants     []Grant `json:"grants,omitempty"`
	// Standby lists shards for which the server is the standby, with the
	// standby's fence, so that it can warm them up. It does not serve them.
	Standby []Grant `json:"standby,omitempty"`
	// WantActive requests the Active list in the reply. Replies to renewals without
	// Full otherwise omit it to keep them short.
	WantActive bool `json:"wantActive,omitempty"`
}

// AcknowledgeRequest makes a server refuse every term below Term permanently.
type AcknowledgeRequest struct {
	Term  string `json:"term"`
	Group string `json:"group"`
}

// Values of LeaseReply.Refused.
const (
	RefusedStaleTerm  = "stale-term"         // the server has observed a higher term
	RefusedBoot       = "boot-mismatch"      // Echo belongs to another incarnation of the server
	RefusedGeneration = "unknown-generation" // not Full, and the server has not this generation
	RefusedLessor     = "other-lessor"       // the term is in use by another lessor
	RefusedServer     = "other-server"       // the call names another server
	RefusedMalformed  = "malformed"          // status 400: a field cannot be parsed or is invalid
)

// LeaseReply is the response to both calls. The status is 200, 409 with Refused
// set, or 400 with RefusedMalformed.
type LeaseReply struct {
	Refused     string      `json:"refused,omitempty"`
	Boot        topo.BootID `json:"boot"`
	Stamp       int64       `json:"stamp"` // server's monotonic clock, nanoseconds since its start
	HighestTerm string      `json:"highestTerm"`
	// Generation is the generation of the server's grant list if the list belongs to
	// HighestTerm, otherwise 0.
	Generation uint64 `json:"generation"`
	// RemainingMs is the remaining time of the lease, rounded up; 0 if no lease is
	// valid.
	RemainingMs int64 `json:"remainingMs"`
	// Active lists the server's grants, whether or not the lease is valid. It
	// includes every standby grant that was ever activated (rank above 0), even
	// after its revocation, until this server is granted a higher fence of the
	// shard. The list is present in replies to Acknowledge and to requests with Full
	// or WantActive, and in refusals.
	Active []Grant `json:"active,omitempty"`
	// Digest is the GrantsDigest of Active. It is always present.
	Digest string `json:"digest"`
	// Busy lists revoked shards that still have requests in flight, and the keys of
	// those requests in the form of split keys' shards. If only a key was excepted
	// from its hash range, the range is not listed.
	Busy     []string `json:"busy,omitempty"`
	Draining bool     `json:"draining"`
	Load     Load     `json:"load"`
}

// Load is the load reported by a server. It may be outdated or wrong.
type Load struct {
	InFlight    int     `json:"inFlight"`
	Connections int     `json:"connections"`
	Shed        uint64  `json:"shed"`
	Utilization float64 `json:"utilization"`
}
