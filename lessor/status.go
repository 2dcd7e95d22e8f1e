package lessor

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Status is the part of a member's state that its driver compares before and
// after each step, to log and count changes.
type Status struct {
	Role      Role
	Term      topo.Term
	OffLog    bool
	Mode      Mode
	Settled   bool
	Basis     string // of a lessor: what it knew of the previous term
	MayRenew  bool
	Suspected int // servers that do not answer
	Activated int // shards served by standby servers without the log
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

// Servers returns the group's servers with the lessor's latest observation of
// each, in order; nil unless this member is the lessor.
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
				Replied:   s.lastReply.set,
				RepliedAt: s.lastReply.at,
			})
		}
	}
	return list
}

// ServerStatus is a lessor's latest observation of a server.
type ServerStatus struct {
	ID        topo.ServerID
	Suspected bool
	Draining  bool
	Replied   bool          // it replied to this lessor
	RepliedAt time.Duration // latest reply
}

// Granted returns the shards that this lessor currently has on servers' lists,
// with owner and fence.
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

// Holding is the server that a shard is granted to, and the fence of the grant.
type Holding struct {
	Server topo.ServerID
	Fence  topo.Fence
}

// ListsVersion returns a number that changes whenever the result of Granted
// does.
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

// ServiceUntil returns, for each service of the group, the time until which
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
