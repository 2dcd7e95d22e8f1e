// Package adminapi defines the administration API between operators and entry
// nodes: its paths, headers, JSON bodies and failure codes, and a client.
// modules/admin implements the server; docs/ADMIN.md describes the API.
package adminapi

import (
	"time"

	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Paths.
const (
	PathStatus  = "/v1/status"
	PathDump    = "/v1/dump"
	PathSite    = "/v1/site"
	PathDrain   = "/v1/drain"
	PathServers = "/v1/servers"
	PathShards  = "/v1/shards"
	PathGroups  = "/v1/groups"
	PathNodes   = "/v1/nodes"
	PathLoss    = "/v1/loss"
	PathMoves   = "/v1/moves"
	PathMetrics = "/debug/vars"
	PathProfile = "/debug/pprof"
)

// Query parameters.
const (
	QueryBase    = "base"    // site: version that the text replaces
	QueryRetry   = "retry"   // site: "1" if the same text was sent before
	QueryService = "service" // shards
	QueryKey     = "key"     // shards: selects the shard of this key
	QueryFrom    = "from"    // shards: position of the first entry
	QueryMax     = "max"     // shards: maximum number of entries
)

// HeaderOperator names the operator who sends a request, for the log of changes.
const HeaderOperator = "Burdockspindle-Operator"

// Limits of requests.
const (
	MaxBodyBytes     = jsonc.MaxTextBytes + 1 // one byte more, to detect a text that is too long
	MaxOperatorBytes = 64
	MaxShardsListed  = 1000
)

// Code is the kind of failure that a response reports.
type Code string

// Codes.
const (
	CodeUnauthorized   Code = "unauthorized"   // 401: no token or a wrong one
	CodeNotFound       Code = "not-found"      // 404: no such path, service, key
	CodeMethod         Code = "method"         // 405
	CodeTooLarge       Code = "too-large"      // 413
	CodeMalformed      Code = "malformed"      // 400: parameter or body
	CodeInvalid        Code = "invalid"        // 422: see Problems
	CodeConflict       Code = "conflict"       // 409: the base is not the version in force
	CodeRejected       Code = "rejected"       // 409: the record had no effect for a different reason
	CodeNotAppended    Code = "not-appended"   // 503: nothing has changed or will change; send the request again
	CodeOutcomeUnknown Code = "fate-unknown"   // 503: may have taken effect; send the request again as a retry
	CodeNotReady       Code = "not-ready"      // 503: this node has not caught up
	CodeNoLessor       Code = "no-lessor"      // 503: the group's lessor could not be called; nothing moved
	CodeMoveUnknown    Code = "move-unknown"   // 503: the lessor was called and its response was lost
	CodeInternal       Code = "internal-error" // 500
)

// Failure is the body of every response that is not 2xx.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// RetryAfterMs is the delay before a retry, in milliseconds; the Retry-After
	// header has it in seconds.
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
	Problems     []jsonc.Problem `json:"problems,omitempty"`
	Conflict     *Conflict       `json:"conflict,omitempty"`
}

// Conflict describes the version that precedes a conflicting publication.
type Conflict struct {
	Base    uint64 `json:"base"`    // version that the publisher replaces
	InForce uint64 `json:"inForce"` // version in force
	// Known is false if this node has not observed version base+1, so that it
	// cannot determine whether a retried text was that version.
	Known bool `json:"known"`
}

// Published is the response to an accepted publication.
type Published struct {
	Version uint64 `json:"version"` // version of the published text
	InForce uint64 `json:"inForce"` // higher if another text was published since
	// Repeated is true if the text was already accepted before this request.
	Repeated bool `json:"repeated,omitempty"`
}

// Site is the site configuration in force.
type Site struct {
	Version uint64 `json:"version"` // 0 before the first publication
	Text    string `json:"text"`
}

// Status is a summary of one node.
type Status struct {
	Node     topo.NodeID `json:"node"`
	Boot     topo.BootID `json:"boot"`
	Zone     topo.Zone   `json:"zone"`
	Region   topo.Region `json:"region,omitempty"`
	UptimeMs int64       `json:"uptimeMs"`
	Applied  topo.Offset `json:"applied"` // last record applied
	// LogContactAgeMs is the time since the node last read the log to its end, in
	// milliseconds; -1 if it never has.
	LogContactAgeMs int64          `json:"logContactAgeMs"`
	SiteVersion     uint64         `json:"siteVersion"`
	Services        []topo.Service `json:"services"` // in start order
	Nodes           int            `json:"nodes"`
	Servers         ServerCounts   `json:"servers"`
	Groups          int            `json:"groups"`
	Leads           []topo.GroupID `json:"leads"`    // groups whose lessor is this incarnation
	StandbyFor      []topo.GroupID `json:"standsBy"` // groups whose standby lessor is this incarnation
	Unowned         map[string]int `json:"unowned"`  // number of hash ranges without an owner, by service
	Draining        bool           `json:"draining"`
	Lineage         topo.Offset    `json:"lineage,omitempty"`
	Retiring        []topo.Service `json:"retiring,omitempty"`
}

// ServerCounts counts backend servers by phase.
type ServerCounts struct {
	Live     int `json:"live"`
	Draining int `json:"draining"`
	Gone     int `json:"gone"`
	Lost     int `json:"lost"` // confirmed by an operator or the platform
}

// Server is one backend server.
type Server struct {
	ID      topo.ServerID `json:"id"`
	Service topo.Service  `json:"service"`
	Zone    topo.Zone     `json:"zone"`
	Address string        `json:"address"`
	Group   topo.GroupID  `json:"group"`
	Phase   string        `json:"phase"` // live, draining or gone
	Lost    bool          `json:"lost,omitempty"`
	Owns    int           `json:"owns"`    // number of shards
	Standby int           `json:"standby"` // number of shards for which it is the standby
}

// Shard is the assignment of one shard.
type Shard struct {
	Shard     string        `json:"shard"`
	Owner     topo.ServerID `json:"owner,omitempty"`
	OwnerBoot topo.BootID   `json:"ownerBoot,omitempty"`
	Fence     string        `json:"fence,omitempty"`
	Standby   topo.ServerID `json:"standby,omitempty"`
}

// Shards is one part of a service's shards: hash ranges by index, then split
// keys by key.
type Shards struct {
	Shards []Shard `json:"shards"`
	Total  int     `json:"total"`
	Next   int     `json:"next,omitempty"` // position of the next part; 0 at the end
}

// Group is one lessor group.
type Group struct {
	ID          topo.GroupID `json:"id"`
	Term        string       `json:"term"`
	Lessor      topo.NodeID  `json:"lessor"`
	LessorBoot  topo.BootID  `json:"lessorBoot"`
	Standby     topo.NodeID  `json:"standby,omitempty"`
	StandbyBoot topo.BootID  `json:"standbyBoot,omitempty"`
}

// Node is one entry node.
type Node struct {
	ID          topo.NodeID `json:"id"`
	Boot        topo.BootID `json:"boot"`
	Zone        topo.Zone   `json:"zone"`
	Region      topo.Region `json:"region,omitempty"`
	PeerAddress string      `json:"peerAddress"`
	Lost        bool        `json:"lost,omitempty"`
}

// Loss is an operator's confirmation that machines have stopped permanently.
// Stopped must be true, because a shard may get two owners if one of the machines
// still runs.
type Loss struct {
	Servers []topo.ServerID `json:"servers,omitempty"`
	Nodes   []topo.NodeID   `json:"nodes,omitempty"`
	Stopped bool            `json:"stopped"`
}

// Moves requests planned moves of shards.
type Moves struct {
	Moves  []Move `json:"moves"`
	Reason string `json:"reason,omitempty"`
}

// Move is one planned move. The shard has the form "service/index" or, for a
// split key, "service/index/key".
type Move struct {
	Shard   string        `json:"shard"`
	To      topo.ServerID `json:"to"`
	Standby topo.ServerID `json:"standby,omitempty"`
}

// Accepted is the response to a request whose work continues after the response.
type Accepted struct {
	Accepted int `json:"accepted"`
	// Offset is the offset of the record, if the request appended one.
	Offset topo.Offset `json:"offset,omitempty"`
}

// RetryAfter returns the delay before a retry; 0 if there is none.
func (f *Failure) RetryAfter() time.Duration {
	return time.Duration(f.RetryAfterMs) * time.Millisecond
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }
