package buffer

import (
	"time"

	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Cause is why a shard cannot be served.
type Cause uint8

// Causes, and how long each usually lasts before anything was observed.
const (
	// Moving: the owner said that it is not the owner (any more, or yet).
	Moving Cause = iota
	// Unreachable: the owner cannot be reached.
	Unreachable
	// Unowned: the state names no owner.
	Unowned
	// Unled: the lessor, which alone may send, is not known or cannot be
	// reached.
	Unled

	causes
)

var firstGuess = [causes]time.Duration{
	Moving:      300 * time.Millisecond,
	Unreachable: 2500 * time.Millisecond,
	Unowned:     1 * time.Second,
	Unled:       1500 * time.Millisecond,
}

// String names the cause for dumps and logs.
func (c Cause) String() string {
	return [...]string{"moving", "unreachable", "unowned", "unled"}[c]
}

// Key names what is out: one shard under one fence, a server, or a group's
// lessor under one term. A new owner, fence or term is a new key, so an outage
// ends for everybody with the state's change.
type Key struct {
	Shard  topo.ShardID
	Fence  topo.Fence
	Server topo.ServerID
	Group  topo.GroupID
	Term   topo.Term
}

// ShardKey is the key of a decision's shard at its server.
func ShardKey(d route.Decision) Key {
	return Key{Shard: d.Shard, Fence: d.Fence, Server: d.Server}
}

// ServerKey is the key of a decision's server.
func ServerKey(d route.Decision) Key { return Key{Server: d.Server} }

// LessorKey is the key of a decision's lessor.
func LessorKey(d route.Decision) Key { return Key{Group: d.Group, Term: d.Term} }
