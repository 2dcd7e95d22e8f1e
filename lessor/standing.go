package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// standing is what a standby lessor remembers of the term by which it stands
// by. A process that restarts is another run and so is not the standby lessor
// any longer: it has no standing.
type standing struct {
	promised moment // until when it may not go on
	mode     Mode   // acknowledged last
	round    uint64 // of that mode
	settled  bool   // the lessor said that no earlier lease is left
	heard    moment // latest heartbeat
	resigns  bool   // the lessor asked to be replaced
	tries    bool   // the lessor asked whether servers answer this node
	reached  moment // latest answer of a server
	// activated and undecided hold what the lessor told, with the offset up to
	// which it had applied the log then: a fence above it is newer than what
	// was told.
	activated map[topo.ShardID]topo.Offset
	undecided map[topo.ShardID]topo.Offset
}

func newStanding(now time.Duration) standing {
	return standing{
		heard:     momentAt(now),
		activated: map[topo.ShardID]topo.Offset{},
		undecided: map[topo.ShardID]topo.Offset{},
	}
}

// HeartbeatReceived takes a heartbeat of the lessor and returns the answer.
func (m *Member) HeartbeatReceived(now time.Duration, req Heartbeat) HeartbeatReply {
	m.silentRuns = m.silentRuns.without(req.From)
	reply := HeartbeatReply{
		From:        m.self(),
		Term:        req.Term,
		Round:       req.Round,
		Applied:     m.facts.Applied,
		HighestTerm: m.highestTerm(),
		SettledTerm: m.settledTerm,

		DisconnectedTerm: m.disconnectedTerm,
		TellsMode:        true,
		AskedStandbys:    m.asked.list,
		TellsStandbys:    !m.asked.isPartial,
	}
	if !m.standsBy(req) {
		return reply
	}
	s := &m.standing
	s.heard = momentAt(now)
	s.resigns = req.Resigning
	s.tries = req.CutOff
	reply.Reaches = s.tries && s.reached.fresher(now, m.cfg.Lease.TTL)
	if !m.mayPromise() {
		return reply
	}
	if req.Settled {
		s.settled = true
		m.settledTerm = req.Term
	}
	m.noteOffLog(req)
	m.acknowledgeMode(req)
	s.promised = s.promised.later(momentAt(now + m.cfg.lapse(m.cfg.Lease.TTL)))
	reply.Promised = true
	reply.Mode, reply.ModeRound = s.mode, s.round
	return reply
}

// standsBy reports whether the heartbeat is by the lessor for whom this very
// run is the standby lessor.
func (m *Member) standsBy(req Heartbeat) bool {
	group := m.facts.Group
	lessor := Run{Node: group.Lessor, Boot: group.LessorBoot}
	return req.Term == group.Term && req.From == lessor && m.isStandby()
}

// mayPromise reports whether this standby lessor has neither claimed nor gone
// on, and is not about to.
func (m *Member) mayPromise() bool {
	return m.role == RoleStandby && !m.claim.pending()
}

// acknowledgeMode follows the lessor's latest round. Disconnected mode is
// acknowledged only by a standby whose state has everything that the lessor
// wrote, since it may go on without the log.
func (m *Member) acknowledgeMode(req Heartbeat) {
	s := &m.standing
	if req.ModeRound <= s.round {
		return
	}
	if req.Mode == ModeDisconnected && m.facts.Applied < req.Applied {
		return
	}
	s.mode, s.round = req.Mode, req.ModeRound
}

func (m *Member) noteOffLog(req Heartbeat) {
	for _, id := range req.Activated {
		m.standing.activated[id] = max(m.standing.activated[id], req.Applied)
	}
	for _, id := range req.Undecided {
		m.standing.undecided[id] = max(m.standing.undecided[id], req.Applied)
	}
}

// mayBeActive reports whether the lessor may have activated the standby server
// of a shard under the fence in force.
func (s *standing) mayBeActive(id topo.ShardID, fence topo.Fence) bool {
	applied, told := s.activated[id]
	return told && fence.Offset <= applied
}

// mayChange reports whether a record of the lessor may still change the shard
// from the fence in force.
func (s *standing) mayChange(id topo.ShardID, fence topo.Fence) bool {
	applied, told := s.undecided[id]
	return told && fence.Offset <= applied
}
