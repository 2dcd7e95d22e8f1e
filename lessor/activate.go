package lessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// activation is a standby server that has become, or is about to become, the
// owner of a shard without the log.
type activation struct {
	fence  topo.Fence // of the current assignment; the standby serves under fence.Standby()
	server topo.ServerID
	boot   topo.BootID // the only incarnation that may be granted the shard
	// reportedRound is the first heartbeat round that reports the activation to
	// the standby lessor.
	reportedRound uint64
	granted       bool // the standby lessor knows of the activation, so the shard may be granted
}

// activatedOn returns the activated shards on a server in a fixed order.
func (m *Member) activatedOn(id topo.ServerID) []topo.ShardID {
	var shards []topo.ShardID
	for shardID, a := range m.activated {
		if a.server == id {
			shards = append(shards, shardID)
		}
	}
	slices.SortFunc(shards, compareShards)
	return shards
}

func compareShards(a, b topo.ShardID) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Index, b.Index),
		cmp.Compare(a.Key, b.Key),
	)
}

// mayActivate reports whether the standby server of a shard may become its
// owner without the log. Only a lessor whose standby lessor has acknowledged
// disconnected mode may activate it. The standby server must have been running
// since before the latest log contact: an earlier incarnation may have
// acknowledged a claim that this lessor has not seen, and a restart loses that
// acknowledgement.
func (m *Member) mayActivate(now time.Duration, shard Shard) bool {
	if m.role != RoleLessor || m.offLog || !m.right.disconnected() {
		return false
	}
	if _, already := m.activated[shard.Shard]; already || m.isUndecided(shard.Shard) {
		return false
	}
	if !shard.StandbyHere || shard.StandbyLost || shard.OwnerBoot == "" || shard.Policy.Retiring {
		return false
	}
	if _, needed := m.needs[shard.Shard]; needed || !m.isSettled(shard) {
		return false
	}
	if !m.covers(now, shard.Policy) || !m.mayReplace(shard) || !m.free(now, shard) {
		return false
	}
	standby, exists := m.servers[shard.Standby]
	return exists && m.knownSinceContact(standby)
}

// knownSinceContact reports whether the server's current incarnation was first
// observed before the latest log contact began.
func (m *Member) knownSinceContact(s *server) bool {
	if s.boot() == "" {
		return false
	}
	return m.rules.noKnownBoot || (m.contact.set && s.bootSeenAt <= m.contact.at)
}

// BeginActivate begins the activation of a shard's standby server. It takes
// effect once the standby lessor has confirmed the heartbeat that reports it.
func (m *Member) BeginActivate(now time.Duration, id topo.ShardID) bool {
	shard, exists := m.facts.Shards[id]
	if !exists || !m.mayActivate(now, shard) {
		return false
	}
	m.activated[id] = &activation{
		fence:         shard.Fence,
		server:        shard.Standby,
		boot:          m.servers[shard.Standby].boot(),
		reportedRound: m.heartbeats.round + 1,
	}
	delete(m.moves, id)
	return true
}

// grantReported allows grants of the activations that were reported to the standby
// lessor up to a round that it has answered with its promise.
func (m *Member) grantReported(round uint64) {
	if !m.right.disconnected() {
		return
	}
	for _, a := range m.activated {
		if a.reportedRound > 0 && a.reportedRound <= round && !a.granted {
			a.granted = true
			m.server(a.server).notBefore = 0
		}
	}
}

// Activations returns the standby servers that serve without the log, in a
// fixed order.
func (m *Member) Activations() []Activation {
	var list []Activation
	for id, a := range m.activated {
		if a.granted {
			list = append(list, Activation{Shard: id, Fence: a.fence.Standby(), Server: a.server})
		}
	}
	slices.SortFunc(list, func(a, b Activation) int { return compareShards(a.Shard, b.Shard) })
	return list
}

// BeginAnnounce returns the decisions that the zone's nodes must know but
// cannot read from the log; false if there are none.
func (m *Member) BeginAnnounce(now time.Duration) (Announcement, bool) {
	list := m.Activations()
	if m.role != RoleLessor || (len(list) == 0 && !m.offLog) {
		return Announcement{}, false
	}
	m.announced = momentAt(now)
	return Announcement{Term: m.term, Activations: list}, true
}
