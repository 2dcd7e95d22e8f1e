package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Facts is the part of the state that a Member needs, as of one applied offset.
// It must not be modified once a Member has it.
type Facts struct {
	Applied topo.Offset
	// Group is the current group; its Term is zero if it was never claimed.
	Group state.Group
	// LessorGone and StandbyGone report that the incarnation named by Group has
	// been replaced, removed, or confirmed as lost. They are hints for which
	// node claims when; no wait depends on them.
	LessorGone  bool
	StandbyGone bool
	Nodes       []state.Node // see NodesOf
	Servers     map[topo.ServerID]Server
	Shards      map[topo.ShardID]Shard // owned by one of Servers
	// ShardsOf lists the shards of each owner in a fixed order.
	ShardsOf map[topo.ServerID][]topo.ShardID
	// StandbyOf lists the shards that each of Servers is the standby server of,
	// in a fixed order.
	StandbyOf map[topo.ServerID][]Grant
	// LongestDisconnected is the longest MaxDisconnected of any server's service.
	LongestDisconnected time.Duration
	// Targets lists the live servers of each service in every zone.
	Targets map[topo.Service][]Target
}

// Server is a backend server of the group.
type Server struct {
	state.Server
	Lost bool // confirmed as stopped
}

// Shard is a shard that a server of the group owns.
type Shard struct {
	state.Assignment
	// StandbyHere is true if the standby server belongs to this group too, so
	// that this group's lessor may activate it.
	StandbyHere bool
	StandbyLost bool     // confirmed as stopped
	Except      []string // keys split out of the hash range, sorted
	Policy      *Policy
}

// Policy is the ownership part of a service's configuration.
type Policy struct {
	ChecksFencing  bool
	AcceptUnfenced bool // replace unresponsive servers that do not check fencing
	// MaxDisconnected is how long after its last log contact a lessor may
	// continue; siteconfig.Forever for no limit.
	MaxDisconnected time.Duration
	// TakeoverLimit is the longest MaxDisconnected that a lessor of the group
	// may still apply.
	TakeoverLimit time.Duration
	Retiring      bool // the service was removed from the configuration: its shards may be released
}

// Target is a server that may be assigned shards.
type Target struct {
	ID       topo.ServerID
	Zone     topo.Zone
	Group    topo.GroupID
	Owned    int // shards it owns
	StandsBy int // shards it is the standby server of
}

// Grant is one shard that a server may serve, or should warm up.
type Grant struct {
	Shard  topo.ShardID
	Fence  topo.Fence
	Except []string // sorted
}
