package lessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// activation is a standby server that was, or is about to be, made the owner of
// a shard off the log.
type activation struct {
	fence  topo.Fence // of the assignment in force; the standby serves under fence.Standby()
	server topo.ServerID
	boot   topo.BootID // the only run that may be granted it
	// reportedRound is the first heartbeat round that told the standby lessor.
	reportedRound uint64
	granted       bool // the standby lessor knows, so it may be granted
}

// activatedOn lists the activations on a server in a fixed order.
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

// mayActivate reports whether the standby server of a shard may be made its
// owner off the log. Only a lessor whose standby lessor has acknowledged
// disconnected mode may do so. The standby server must have been running since
// before the latest log contact: had it acknowledged a claim that this lessor
// has not seen, an earlier run of it may have, and a restart forgets that.
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

// knownSinceContact reports whether the server's present run was heard before
// the latest log contact began.
func (m *Member) knownSinceContact(s *server) bool {
	if s.boot() == "" {
		return false
	}
	return m.rules.noKnownBoot || (m.contact.set && s.bootSeenAt <= m.contact.at)
}

// BeginActivate begins the activation of a shard's standby server. It takes
// effect once the standby lessor has been told.
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

// grantReported lets activations be granted that the standby lessor was told of in
// a round that it has answered with its promise.
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

// Activations lists the standby servers that serve off the log, in a fixed
// order.
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

// BeginAnnounce returns what the zone's nodes must know although the log does
// not say it; false if there is nothing.
func (m *Member) BeginAnnounce(now time.Duration) (Announcement, bool) {
	list := m.Activations()
	if m.role != RoleLessor || (len(list) == 0 && !m.offLog) {
		return Announcement{}, false
	}
	m.announced = momentAt(now)
	return Announcement{Term: m.term, Activations: list}, true
}
