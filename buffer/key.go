package buffer

import (
	"time"

	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Cause is the reason why a shard cannot be served.
type Cause uint8

// Causes. initialEstimates contains the expected duration of each before an
// outage was observed.
const (
	// Moving: the server reported that it is not, or not yet, the owner.
	Moving Cause = iota
	// Unreachable: the owner cannot be reached.
	Unreachable
	// Unowned: the state names no owner.
	Unowned
	// NoLessor: the lessor, which is the only node that may send, is not known
	// or cannot be reached.
	NoLessor

	causeCount
)

var initialEstimates = [causeCount]time.Duration{
	Moving:      300 * time.Millisecond,
	Unreachable: 2500 * time.Millisecond,
	Unowned:     1 * time.Second,
	NoLessor:    1500 * time.Millisecond,
}

// String returns the cause's name for dumps and logs.
func (c Cause) String() string {
	return [...]string{"moving", "unreachable", "unowned", "unled"}[c]
}

// Key identifies what has an outage: one shard under one fence, a server, or a
// group's lessor under one term. A new owner, fence or term makes a new key, so
// a change of the state ends the outage for all requests.
type Key struct {
	Shard  topo.ShardID
	Fence  topo.Fence
	Server topo.ServerID
	Group  topo.GroupID
	Term   topo.Term
}

// ShardKey returns the key of a decision's shard at its server.
func ShardKey(d route.Decision) Key {
	return Key{Shard: d.Shard, Fence: d.Fence, Server: d.Server}
}

// ServerKey returns the key of a decision's server.
func ServerKey(d route.Decision) Key { return Key{Server: d.Server} }

// LessorKey returns the key of a decision's lessor.
func LessorKey(d route.Decision) Key { return Key{Group: d.Group, Term: d.Term} }
