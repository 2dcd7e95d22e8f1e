// Package balance decides which shards of a service should change their owner.
// A decision is a pure function of the observed state: it reads no clock, sends
// no message and keeps no state between calls, so that the planner, the tests
// and the experiment tool all run the same code.
//
// Loads are measured in units of concurrency: a load of 2.5 keeps an average of
// 2.5 requests in service. A server's load divided by its capacity, which is in
// the same unit, is its utilization.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// NoOwner is the Owner of a shard without an owner.
const NoOwner = -1

// Server is one server of the service.
type Server struct {
	ID    topo.ServerID
	Zone  topo.Zone
	Phase state.Phase
	// Capacity is the load that the server can carry now: its concurrency limit,
	// reduced while it is cold, slow or returning. A server with capacity 0 is
	// assigned no further shards.
	Capacity float64
	// Background is load on the server that is not attributed to a listed shard.
	Background float64
}

// Shard is a hash range of the service or a key that was split out of one.
type Shard struct {
	ID    topo.ShardID
	Owner int     // index into Input.Servers, or NoOwner
	Rate  float64 // requests per second
	Load  float64 // units of concurrency that the shard would use on a healthy server
	// Changed is when the owner last changed. It is the zero time if the change is
	// older than the recorded history.
	Changed time.Time
	// Moving is true while an earlier move of the shard is in flight.
	Moving bool
}

// HotKey is a key that the sketch reports as hot and that is not split out yet.
type HotKey struct {
	Shard int // index into Input.Shards of the hash range that contains it
	Key   string
	Rate  float64 // requests per second, less the sketch's possible overestimate
	Load  float64 // units of concurrency
}

// Budget limits one decision. A zero field allows nothing.
type Budget struct {
	// Ranges is the maximum number of hash ranges that may leave live servers.
	Ranges int
	// Keys is the maximum number of single keys that may be split out, merged back
	// or moved from live servers.
	Keys int
	// Evacuations is the maximum number of shards that may leave draining servers.
	Evacuations int
	// Probes is the maximum number of servers that a probe-limited policy may
	// examine.
	Probes int
}

// Input contains all data that a decision depends on. Decide modifies no field
// but Probed.
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
	// Probed is set by Decide to the number of servers that it examined to find a
	// partner for a move.
	Probed int
}

// Kind is the type of a move.
type Kind int

// Kinds of moves.
const (
	MoveShard Kind = iota + 1 // give a shard, or a key split out earlier, to another server
	SplitKey                  // make a key a shard of its own, at another server
	MergeKey                  // return a split key to its hash range, at the same owner
)

// String returns the kind's name, which is used in logs.
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
	// Shard is the shard that moves. For SplitKey and MergeKey it contains the key.
	Shard topo.ShardID
	From  topo.ServerID // empty if the shard had no owner
	To    topo.ServerID
	// Cause is the reason of the move, for logs and statistics.
	Cause Cause
}

// Cause is the reason why a move was decided.
type Cause int

// Causes of moves.
const (
	CauseUnowned   Cause = iota + 1 // the shard has no owner
	CauseDraining                   // its owner is draining
	CauseLoad                       // its owner is overloaded
	CauseCooled                     // the split key is no longer hot
	CausePlacement                  // the static placement names another owner
)

// String returns the cause's name, which is used in logs.
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
	case CausePlacement:
		return "placement"
	}
	return "none"
}

// Policy decides moves. It must return the same moves for the same input and
// must be safe for concurrent use.
type Policy interface {
	// Name is the policy's name without its namespace, for example "greedy".
	Name() string
	// Decide returns moves in the order in which they should be made, at most as
	// many as the budget allows. The budget does not limit shards without an owner
	// because they are unavailable already.
	Decide(in *Input) []Move
}
