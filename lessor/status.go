package lessor

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Status is what the driver of a member compares before and after each step,
// to log and count what changed.
type Status struct {
	Role      Role
	Term      topo.Term
	OffLog    bool
	Mode      Mode
	Settled   bool
	Basis     string // of a lessor: what it knew of the term before
	MayRenew  bool
	Suspected int // servers that do not answer
	Activated int // shards served by standby servers off the log
	Unserved  int // shards of the group without a confirmed, unexpired lease
}

// Status returns the member's status as of now.
func (m *Member) Status(now time.Duration) Status {
	status := Status{
		Role:     m.role,
		Term:     m.term,
		OffLog:   m.offLog,
		Mode:     m.right.mode,
		Settled:  m.role == RoleLessor && m.termSettled(),
		MayRenew: m.MayRenew(now),
	}
	if m.role != RoleLessor {
		return status
	}
	status.Basis = m.takeover.basis.String()
	served := 0
	for _, s := range m.servers {
		if s.suspected() {
			status.Suspected++
		}
		if s.reported > 0 && s.reported == s.generation && !s.expired(now) {
			served += len(s.list)
		}
	}
	for _, a := range m.activated {
		if a.granted {
			status.Activated++
		}
	}
	status.Unserved = len(m.facts.Shards) - served
	return status
}

// Servers lists the group's servers with what the lessor last heard of them,
// in order; nil unless this member is the lessor.
func (m *Member) Servers() []ServerStatus {
	if m.role != RoleLessor {
		return nil
	}
	var list []ServerStatus
	for _, id := range slices.Sorted(maps.Keys(m.facts.Servers)) {
		s, known := m.servers[id]
		if known {
			list = append(list, ServerStatus{
				ID:        id,
				Suspected: s.suspected(),
				Draining:  s.draining,
				Heard:     s.lastReply.set,
				HeardAt:   s.lastReply.at,
			})
		}
	}
	return list
}

// ServerStatus is what a lessor last heard of a server.
type ServerStatus struct {
	ID        topo.ServerID
	Suspected bool
	Draining  bool
	Heard     bool          // it answered this lessor
	HeardAt   time.Duration // latest answer
}

// Granted returns the shards that this lessor has on servers' lists now, with
// owner and fence.
func (m *Member) Granted() map[topo.ShardID]Holding {
	granted := map[topo.ShardID]Holding{}
	if m.role != RoleLessor {
		return granted
	}
	for id, s := range m.servers {
		for _, g := range s.list {
			granted[g.Shard] = Holding{Server: id, Fence: g.Fence}
		}
	}
	return granted
}

// Holding is the server that a shard is granted to.
type Holding struct {
	Server topo.ServerID
	Fence  topo.Fence
}

// ListsVersion changes whenever Granted does.
func (m *Member) ListsVersion() uint64 {
	var version uint64
	if m.role != RoleLessor {
		return version
	}
	for _, s := range m.servers {
		version += s.generation
	}
	return version + 1
}

// ServiceUntil returns, for each service of the group, the moment until which
// this lessor may act for it, as far as it knows now.
func (m *Member) ServiceUntil() map[topo.Service]time.Duration {
	ends := map[topo.Service]time.Duration{}
	if m.role != RoleLessor {
		return ends
	}
	for _, shard := range m.facts.Shards {
		service := shard.Shard.Service
		if _, done := ends[service]; done {
			continue
		}
		if end, has := m.rightUntil(shard.Policy.MaxDisconnected); has {
			ends[service] = end
		}
	}
	return ends
}
