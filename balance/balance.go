// Package balance decides which shards of a service should change their owner.
// A decision is a pure function of what was observed: it reads no clock, sends
// no message and keeps no state between calls, so the planner, the tests and
// the experiment tool all run the same code.
//
// Loads are counted in units of concurrency: a load of 2.5 keeps two and a half
// requests in service at a time. Dividing by a server's capacity in the same
// unit gives its utilization.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// NoOwner is the Owner of a shard that nobody owns.
const NoOwner = -1

// Server is one server of the service.
type Server struct {
	ID    topo.ServerID
	Zone  topo.Zone
	Phase state.Phase
	// Capacity is the load that the server can carry now: its concurrency limit,
	// reduced while it is cold, slow or returning. 0 gets nothing new.
	Capacity float64
	// Background is load on the server that no listed shard explains.
	Background float64
}

// Shard is a hash range of the service or a key that was split out of one.
type Shard struct {
	ID    topo.ShardID
	Owner int     // index into Input.Servers, or NoOwner
	Rate  float64 // requests per second
	Load  float64 // units of concurrency that it would use on a healthy server
	// Changed is when the owner last changed; the zero time if long ago.
	Changed time.Time
	// Moving is true while an earlier move of the shard is under way.
	Moving bool
}

// HotKey is a key that the sketch found and that has no entry of its own yet.
type HotKey struct {
	Shard int // index into Input.Shards of the hash range that contains it
	Key   string
	Rate  float64 // requests per second, without the part that may be error
	Load  float64 // units of concurrency
}

// Budget limits one decision. A zero field allows nothing.
type Budget struct {
	// Moves is the most hash ranges that may leave live servers.
	Moves int
	// Keys is the most single keys that may be split out, merged back or moved
	// from live servers.
	Keys int
	// Evacuations is the most shards that may leave draining servers.
	Evacuations int
	// Probes is the most servers that a probe-limited policy may look at.
	Probes int
}

// Input is everything that a decision depends on. Decide reads all of it and
// writes only Probed.
type Input struct {
	Service   topo.Service
	Now       time.Time
	Weighting siteconfig.Weighting
	// MoveCost is how long a shard is unavailable while it moves.
	MoveCost time.Duration
	Servers  []Server
	Shards   []Shard
	HotKeys  []HotKey
	Budget   Budget
	Rand     *rand.Rand // seeded by the caller
	// Probed is set by Decide to the number of servers that it looked at to find
	// a partner for a move.
	Probed int
}

// Kind says what a move does.
type Kind int

// Kinds of moves.
const (
	MoveShard Kind = iota + 1 // give a shard, or a key split out earlier, to another server
	SplitKey                  // give a key an entry of its own, at another server
	MergeKey                  // return a split key to its hash range, at the same owner
)

// String returns the kind's name as used in logs.
func (k Kind) String() string {
	switch k {
	case MoveShard:
		return "move"
	case SplitKey:
		return "split"
	case MergeKey:
		return "merge"
	}
	return "none"
}

// Move is one change of ownership.
type Move struct {
	Kind Kind
	// Shard is what moves. For SplitKey and MergeKey it carries the key.
	Shard topo.ShardID
	From  topo.ServerID // empty if nobody owned it
	To    topo.ServerID
	// Cause is why, for logs and figures.
	Cause Cause
}

// Cause says why a move was decided.
type Cause int

// Causes of moves.
const (
	CauseUnowned  Cause = iota + 1 // nobody owns the shard
	CauseDraining                  // its owner is leaving
	CauseLoad                      // its owner carries too much
	CauseCooled                    // the split key is no longer hot
	CausePlace                     // a fixed placement differs from the owner
)

// String returns the cause's name as used in logs.
func (c Cause) String() string {
	switch c {
	case CauseUnowned:
		return "unowned"
	case CauseDraining:
		return "draining"
	case CauseLoad:
		return "load"
	case CauseCooled:
		return "cooled"
	case CausePlace:
		return "placement"
	}
	return "none"
}

// Policy decides moves. It must give the same moves for the same input and must
// be safe for concurrent use.
type Policy interface {
	// Name is the policy's name without its namespace, for example "greedy".
	Name() string
	// Decide returns moves in the order in which they should be made, at most as
	// many as the budget allows. Shards without an owner are outside the budget,
	// since they are unavailable already.
	Decide(in *Input) []Move
}
