// Package serverapi is the published HTTP protocol between entry nodes and
// backend servers: the paths, headers and JSON bodies by which a server is
// granted ownership under a lease, asked to acknowledge a term, and handed
// requests. It holds types only; modules/server* are the drivers that speak
// it, lease.Holder is the rule a server follows, and standin/server is a server
// that follows it.
package serverapi

import "github.com/burdockspindle/burdockspindle/topo"

// Paths on a server's address.
const (
	PathLease       = "/ownership/lease"       // POST LeaseRequest → LeaseReply
	PathAcknowledge = "/ownership/acknowledge" // POST AcknowledgeRequest → LeaseReply
	PathRequest     = "/serve/"                // any method; the rest is the caller's path
)

// Headers on requests to a server.
const (
	// HeaderServer is the server that the sender means, also on a lessor's calls. An
	// address may have gone to another one, which refuses and changes nothing.
	HeaderServer     = "Burdockspindle-Server"
	HeaderService    = "Burdockspindle-Service"
	HeaderKey        = "Burdockspindle-Key"         // as written by EncodeValue
	HeaderShard      = "Burdockspindle-Shard"       // topo.ShardID.String, as written by EncodeValue
	HeaderFence      = "Burdockspindle-Fence"       // topo.Fence.String
	HeaderTerm       = "Burdockspindle-Term"        // topo.Term.String of the sender, unfenced services
	HeaderDeadlineMs = "Burdockspindle-Deadline-Ms" // milliseconds left when sent
	HeaderRequestID  = "Burdockspindle-Request-Id"  // echoed by the server in its answer
	// HeaderIdempotencyKey is the published Idempotency-Key header. Its value is
	// a ticket issued by an entry node; see package ticket.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderHop counts the services through which a request came, this one
	// included. A server that calls another service copies it.
	HeaderHop = "Burdockspindle-Hop"
	// HeaderProgressMs asks the server to send a 102 (Processing) response each
	// time that many milliseconds pass before its answer begins, so that a slow
	// run can be told from a connection that has gone silent.
	HeaderProgressMs = "Burdockspindle-Progress-Ms"
)

// Headers on a server's answers, and on answers to callers.
const (
	// HeaderOutcome is one of the Outcome values below. A server's answer
	// without it means OutcomeAnswered.
	HeaderOutcome = "Burdockspindle-Outcome"
	// HeaderReason tells why a request was not run or is unknown.
	HeaderReason = "Burdockspindle-Reason"
	// HeaderReplayed is "true" on the stored answer to a repeated ticket.
	HeaderReplayed = "Burdockspindle-Replayed"
)

// Outcome says what is known of a request.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswered: the owner ran it and this is its whole answer.
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
	ReasonDraining    Reason = "draining"     // 503: takes no new work
	ReasonStaleTicket Reason = "stale-ticket" // 409, unknown: ticket of an earlier ownership, record gone
	ReasonDuplicate   Reason = "duplicate"    // 409, unknown: the same ticket is being run now
	ReasonDeadline    Reason = "deadline"     // 504: deadline passed before it was run (not run), or under way (unknown)
	ReasonBadTicket   Reason = "bad-ticket"   // 422: not a ticket, or of another key (not run)
	ReasonBadRequest  Reason = "bad-request"  // 400: malformed protocol headers (not run)
	// ReasonAnswerGone: 409, unknown: the ticket was run, and its answer was
	// lost, too long to keep, or dropped since.
	ReasonAnswerGone Reason = "answer-gone"
	// ReasonOwnershipLost: 409, unknown: the lease ended while the request was
	// being run.
	ReasonOwnershipLost Reason = "ownership-lost"
)

// Grant names one shard and the fence under which the server may serve it.
type Grant struct {
	Shard string `json:"shard"` // topo.ShardID.String
	Fence string `json:"fence"` // topo.Fence.String
	// Except lists keys of the hash range that were split out of it, or are
	// about to be: the server refuses them under this grant.
	Except []string `json:"except,omitempty"`
}

// LeaseRequest renews a server's one lease, which covers every shard granted
// to it. The lease runs for TTLMs from Echo on the server's own clock.
type LeaseRequest struct {
	Term   string      `json:"term"`
	Group  string      `json:"group"`
	Lessor string      `json:"lessor"`
	Boot   topo.BootID `json:"boot"` // run of the server to which Echo belongs; empty asks for a stamp only
	// Echo is the Stamp of the server's latest reply that the lessor has.
	Echo  int64 `json:"echo"`
	TTLMs int64 `json:"ttlMs"`
	// Generation numbers the grant list within the term, from 1. With Full the
	// lists below are that generation; without, they are empty and the server
	// is known to have it. A server never goes back to a lower generation.
	Generation uint64  `json:"generation"`
	Full       bool    `json:"full"`
	Grants     []Grant `json:"grants,omitempty"`
	// Standby lists shards for which the server is the standby, with the
	// standby's own fence, so that it can warm them. They are not served.
	Standby []Grant `json:"standby,omitempty"`
	// WantActive asks for the Active list in the reply, which is otherwise left
	// out of renewals without Full to keep them short.
	WantActive bool `json:"wantActive,omitempty"`
}

// AcknowledgeRequest asks a server to refuse every term below Term from now on.
type AcknowledgeRequest struct {
	Term  string `json:"term"`
	Group string `json:"group"`
}

// Refusals in LeaseReply.
const (
	RefusedStaleTerm  = "stale-term"         // a higher term was seen
	RefusedBoot       = "boot-mismatch"      // Echo belongs to another run of the server
	RefusedGeneration = "unknown-generation" // not Full, and the server has not this generation
	RefusedLessor     = "other-lessor"       // the term is in use by another lessor
	RefusedServer     = "other-server"       // the call names another server
	RefusedMalformed  = "malformed"          // status 400: a field cannot be read or makes no sense
)

// LeaseReply answers both calls. Status 200, 409 with Refused set, or 400 with
// RefusedMalformed.
type LeaseReply struct {
	Refused     string      `json:"refused,omitempty"`
	Boot        topo.BootID `json:"boot"`
	Stamp       int64       `json:"stamp"` // server's monotonic clock, nanoseconds since its start
	HighestTerm string      `json:"highestTerm"`
	// Generation of the grant list held, if it is HighestTerm's; otherwise 0.
	Generation uint64 `json:"generation"`
	// RemainingMs of the lease now, rounded up; 0 when none is valid.
	RemainingMs int64 `json:"remainingMs"`
	// Active lists the grants held, whether or not the lease is valid. A
	// standby grant that was ever activated (rank above 0) is among them, also
	// after it was revoked, until a higher fence of its shard is granted to
	// this server. The list is present in answers to Acknowledge, to requests
	// with Full or WantActive, and in refusals.
	Active []Grant `json:"active,omitempty"`
	// Digest is GrantsDigest of Active, and is always present.
	Digest string `json:"digest"`
	// Busy lists revoked shards that still have requests in flight, and the keys
	// of those requests as split keys' shards. When only a key was excepted from
	// its hash range, the range is not listed.
	Busy     []string `json:"busy,omitempty"`
	Draining bool     `json:"draining"`
	Load     Load     `json:"load"`
}

// Load is a server's own report; it may lag or mislead.
type Load struct {
	InFlight    int     `json:"inFlight"`
	Connections int     `json:"connections"`
	Shed        uint64  `json:"shed"`
	Utilization float64 `json:"utilization"`
}
