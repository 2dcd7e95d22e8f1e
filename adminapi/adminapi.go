// Package adminapi is the administration API between operators and entry nodes:
// its paths, headers, JSON bodies and failure codes, and a client. The server
// is modules/admin; docs/ADMIN.md explains it.
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
	QueryRetry   = "retry"   // site: "1" when the same text was sent before
	QueryService = "service" // shards
	QueryKey     = "key"     // shards: the one that covers this key
	QueryFrom    = "from"    // shards: position to list from
	QueryMax     = "max"     // shards: most entries
)

// HeaderOperator names who asks, for the log of changes.
const HeaderOperator = "Burdockspindle-Operator"

// Limits of requests.
const (
	MaxBodyBytes     = jsonc.MaxTextBytes + 1 // so that a text one byte too long is told apart
	MaxOperatorBytes = 64
	MaxShardsListed  = 1000
)

// Code says what kind of failure an answer reports.
type Code string

// Codes.
const (
	CodeUnauthorized Code = "unauthorized"   // 401: no token or a wrong one
	CodeNotFound     Code = "not-found"      // 404: no such path, service, key
	CodeMethod       Code = "method"         // 405
	CodeTooLarge     Code = "too-large"      // 413
	CodeMalformed    Code = "malformed"      // 400: parameter or body
	CodeInvalid      Code = "invalid"        // 422: see Problems
	CodeConflict     Code = "conflict"       // 409: the base is not the version in force
	CodeRejected     Code = "rejected"       // 409: the record had no effect for another reason
	CodeNotAppended  Code = "not-appended"   // 503: nothing changed and nothing will; ask again
	CodeFateUnknown  Code = "fate-unknown"   // 503: may have taken effect; ask again as a retry
	CodeNotReady     Code = "not-ready"      // 503: this node has not caught up
	CodeNoLessor     Code = "no-lessor"      // 503: the group's lessor could not be asked; nothing moved
	CodeMoveUnknown  Code = "move-unknown"   // 503: the lessor was asked and its answer was lost
	CodeInternal     Code = "internal-error" // 500
)

// Failure is the body of every answer that is not 2xx.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// RetryAfterMs is when to ask again; the Retry-After header has it in
	// seconds.
	RetryAfterMs int64           `json:"retryAfterMs,omitempty"`
	Problems     []jsonc.Problem `json:"problems,omitempty"`
	Conflict     *Conflict       `json:"conflict,omitempty"`
}

// Conflict tells a publisher what came first.
type Conflict struct {
	Base    uint64 `json:"base"`    // version that the publisher replaces
	InForce uint64 `json:"inForce"` // version in force
	// Known is false when this node did not see version base+1, so that it
	// cannot tell whether a retried text was that version.
	Known bool `json:"known"`
}

// Published is the answer to an accepted publication.
type Published struct {
	Version uint64 `json:"version"` // of the published text
	InForce uint64 `json:"inForce"` // higher when others published since
	// Repeated is true when the text had been accepted before this request.
	Repeated bool `json:"repeated,omitempty"`
}

// Site is the site configuration in force.
type Site struct {
	Version uint64 `json:"version"` // 0 before the first
	Text    string `json:"text"`
}

// Status is a short account of one node.
type Status struct {
	Node     topo.NodeID `json:"node"`
	Boot     topo.BootID `json:"boot"`
	Zone     topo.Zone   `json:"zone"`
	Region   topo.Region `json:"region,omitempty"`
	UptimeMs int64       `json:"uptimeMs"`
	Applied  topo.Offset `json:"applied"` // last record applied
	// LogContactAgeMs is how long ago the node last read the log to its end;
	// -1 when it never did.
	LogContactAgeMs int64          `json:"logContactAgeMs"`
	SiteVersion     uint64         `json:"siteVersion"`
	Services        []topo.Service `json:"services"` // in start order
	Nodes           int            `json:"nodes"`
	Servers         ServerCounts   `json:"servers"`
	Groups          int            `json:"groups"`
	Leads           []topo.GroupID `json:"leads"`    // groups whose lessor is this run
	StandsBy        []topo.GroupID `json:"standsBy"` // groups whose standby lessor is this run
	Unowned         map[string]int `json:"unowned"`  // hash ranges without an owner by service
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
	Owns    int           `json:"owns"`    // shards
	Standby int           `json:"standby"` // shards for which it is the standby
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

// Loss is an operator's word that machines have stopped for good. Stopped must
// be true: if one of them still runs, a shard may get two owners.
type Loss struct {
	Servers []topo.ServerID `json:"servers,omitempty"`
	Nodes   []topo.NodeID   `json:"nodes,omitempty"`
	Stopped bool            `json:"stopped"`
}

// Moves asks for planned moves of shards.
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

// Accepted answers a request whose work goes on after the answer.
type Accepted struct {
	Accepted int `json:"accepted"`
	// Offset of the record, where there is one.
	Offset topo.Offset `json:"offset,omitempty"`
}

// RetryAfter returns the failure's wait; 0 for none.
func (f *Failure) RetryAfter() time.Duration {
	return time.Duration(f.RetryAfterMs) * time.Millisecond
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }
