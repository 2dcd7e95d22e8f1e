package lessor

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// server is a lessor's record of one backend server of its group.
type server struct {
	granter lease.Granter
	// bootSeenAt is when the server's current incarnation was first observed.
	bootSeenAt time.Duration
	// earlierLeasesEnd is when the leases of the server's earlier incarnations end.
	// An earlier incarnation may only be paused, so its leases are waited for.
	earlierLeasesEnd time.Duration

	// One lease or acknowledgement call is in flight at a time; replies to
	// earlier calls are dropped.
	attempt   uint64
	inFlight  bool
	sentAt    time.Duration
	notBefore time.Duration // earliest time of the next call
	failures  int           // consecutive attempts without a reply
	lastReply moment        // latest reply
	// refused is the reason why the latest reply was a refusal; highest is the
	// highest term that it reported.
	refused string
	highest topo.Term

	// generation numbers list; reported is the latest generation that the
	// server reported to have under the lessor's term.
	generation uint64
	reported   uint64
	list       []Grant
	standby    []Grant
	// revoked holds the shards dropped from the list, with the first generation
	// that does not contain them.
	revoked map[topo.ShardID]uint64

	acked    bool // reported to reject every term below the current one
	active   map[topo.ShardID]topo.Fence
	busy     map[topo.ShardID]bool
	draining bool
}

func newServer(timing lease.Timing) *server {
	return &server{
		granter: *lease.NewGranter(timing),
		revoked: map[topo.ShardID]uint64{},
		active:  map[topo.ShardID]topo.Fence{},
		busy:    map[topo.ShardID]bool{},
	}
}

// newTerm resets what is valid only within one term of the same lessor. The
// generation numbers of lists continue.
func (s *server) newTerm() { s.reported = 0 }

// boot returns the incarnation of the server that was observed last.
func (s *server) boot() topo.BootID { return s.granter.Boot() }

// expired reports whether every lease that this lessor renewed, or that the
// server reported, has expired.
func (s *server) expired(now time.Duration) bool { return s.granter.Expired(wall(now)) }

// suspected reports whether suspectFailures consecutive attempts got no reply.
func (s *server) suspected() bool { return s.failures >= suspectFailures }

// setList sets the list that the next renewal carries, as a new generation if
// it differs from the previous one.
func (s *server) setList(grants, standby []Grant) {
	if s.generation > 0 && equalGrants(s.list, grants) && equalGrants(s.standby, standby) {
		return
	}
	before := s.list
	s.generation++
	s.list, s.standby = grants, standby
	for _, g := range grants {
		delete(s.revoked, g.Shard)
		for _, key := range g.Except {
			s.revoke(splitOf(g.Shard, key))
		}
	}
	for _, g := range before {
		s.revoke(g.Shard)
	}
}

// revoke records the first generation without a shard, if the list no longer
// contains it.
func (s *server) revoke(id topo.ShardID) {
	if _, already := s.revoked[id]; !already && !s.lists(id) {
		s.revoked[id] = s.generation
	}
}

func equalGrants(a, b []Grant) bool {
	return slices.EqualFunc(a, b, func(x, y Grant) bool {
		return x.Shard == y.Shard && x.Fence == y.Fence && slices.Equal(x.Except, y.Except)
	})
}

// splitOf returns the shard of a key that is split out of a hash range.
func splitOf(id topo.ShardID, key string) topo.ShardID {
	id.Key = key
	return id
}

// released reports whether the server has reported that it no longer serves a
// shard that is not on its list, and that it has no request for it in flight.
func (s *server) released(id topo.ShardID) bool {
	first := max(s.revoked[id], s.revoked[rangeOf(id)], 1)
	return s.reported >= first && !s.busy[id] && !s.lists(id)
}

// lists reports whether the list covers a shard.
func (s *server) lists(id topo.ShardID) bool {
	return slices.ContainsFunc(s.list, func(g Grant) bool {
		if g.Shard == id {
			return true
		}
		return id.Key != "" && g.Shard == rangeOf(id) && !slices.Contains(g.Except, id.Key)
	})
}

// LeaseReplied processes a server's reply to the attempt, which was begun by
// BeginRenew or BeginAcknowledge.
func (m *Member) LeaseReplied(now time.Duration, id topo.ServerID, attempt uint64, report LeaseReport) {
	s, exists := m.servers[id]
	if !exists || !s.inFlight || s.attempt != attempt {
		return
	}
	s.inFlight = false
	s.failures = 0
	s.lastReply = momentAt(now)
	if m.role == RoleStandby {
		m.standbyState.lastServerReply = momentAt(now)
		s.notBefore = now + m.cfg.SuspectAfter
		return
	}
	before := s.boot()
	s.granter.Replied(replyOf(report), wall(s.sentAt), wall(now))
	if s.boot() != before {
		s.bootSeenAt = now
		s.reported = 0
		if before != "" {
			s.earlierLeasesEnd = fromWall(s.granter.Until())
		}
	}
	s.draining = report.Draining
	s.refused, s.highest = report.Refused, report.HighestTerm
	s.applyReport(report, m.term)
	s.notBefore = s.sentAt + m.pauseAfter(report, s)
	m.advance(now)
}

// pauseAfter returns the delay between an attempt that got a reply and the next
// one. It is short when the server does not have the latest list yet and the
// reason for that is now known.
func (m *Member) pauseAfter(report LeaseReport, s *server) time.Duration {
	switch report.Refused {
	case "", serverapi.RefusedBoot, serverapi.RefusedGeneration:
	default:
		return m.cfg.RetryAfter
	}
	if s.generation == 0 || s.reported < s.generation {
		return m.cfg.RenewEvery / promptRenewalsPerInterval
	}
	return m.cfg.RenewEvery
}

// applyReport records the grants that a reply reports.
func (s *server) applyReport(report LeaseReport, term topo.Term) {
	if report.HasActive {
		s.active = make(map[topo.ShardID]topo.Fence, len(report.Active))
		for _, g := range report.Active {
			s.active[g.Shard] = g.Fence
		}
	}
	s.busy = make(map[topo.ShardID]bool, len(report.Busy))
	for _, id := range report.Busy {
		s.busy[id] = true
	}
	if report.HighestTerm != term {
		return
	}
	s.acked = s.acked || report.HasActive
	if report.Boot == s.boot() {
		s.reported = report.Generation
	}
}

// expediteNewFences makes the next renewal of servers that own new fences due at once.
func (m *Member) expediteNewFences(before *Facts) {
	for id, shards := range m.facts.ShardsOf {
		for _, shard := range shards {
			if m.facts.Shards[shard].Fence != before.Shards[shard].Fence {
				m.server(id).notBefore = 0
				break
			}
		}
	}
}

// replyOf converts a report to the fields that package lease needs.
func replyOf(report LeaseReport) serverapi.LeaseReply {
	remaining := (report.Remaining + time.Millisecond - 1) / time.Millisecond
	return serverapi.LeaseReply{
		Boot:        report.Boot,
		Stamp:       report.Stamp,
		RemainingMs: int64(remaining),
	}
}

// LeaseFailed reports that an attempt got no reply. Attempts after a failure
// use new connections, so two consecutive failures are not the fault of one
// connection.
func (m *Member) LeaseFailed(now time.Duration, id topo.ServerID, attempt uint64) {
	s, exists := m.servers[id]
	if !exists || !s.inFlight || s.attempt != attempt {
		return
	}
	s.inFlight = false
	s.failures++
	s.notBefore = now
	if s.suspected() {
		s.notBefore = max(now, s.sentAt+m.cfg.RenewEvery)
	}
	m.advance(now)
}

// server returns the record of a server of the group, and creates it if there
// is none.
func (m *Member) server(id topo.ServerID) *server {
	s, exists := m.servers[id]
	if !exists {
		s = newServer(m.cfg.Lease)
		m.servers[id] = s
	}
	return s
}

// serverDown reports whether a server is confirmed as lost, or does not answer
// and can hold no lease.
func (m *Member) serverDown(now time.Duration, id topo.ServerID) bool {
	if m.confirmedLost(id) {
		return true
	}
	s, exists := m.servers[id]
	return exists && (s.suspected() || m.rules.eager) && s.expired(now)
}

// confirmedLost reports whether a server is known to have stopped. A server
// that still answers has not.
func (m *Member) confirmedLost(id topo.ServerID) bool {
	facts, exists := m.facts.Servers[id]
	if !exists || !facts.Lost {
		return false
	}
	s, known := m.servers[id]
	return !known || s.boot() == "" || s.failures > 0
}
