package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// standbyState is what a standby lessor remembers of the term by which it stands
// by. A process that restarts is another run and so is not the standby lessor
// any longer: it has no standing.
type standbyState struct {
	promisedUntil   moment // until when it may not go on
	mode            Mode   // acknowledged last
	modeRound       uint64 // of that mode
	settled         bool   // the lessor said that no earlier lease is left
	lastHeartbeat   moment // latest heartbeat
	lessorResigning bool   // the lessor asked to be replaced
	probeServers    bool   // the lessor asked whether servers answer this node
	lastServerReply moment // latest answer of a server
	// activated and undecided hold what the lessor told, with the offset up to
	// which it had applied the log then: a fence above it is newer than what
	// was told.
	activated map[topo.ShardID]topo.Offset
	undecided map[topo.ShardID]topo.Offset
}

func newStandbyState(now time.Duration) standbyState {
	return standbyState{
		lastHeartbeat: momentAt(now),
		activated:     map[topo.ShardID]topo.Offset{},
		undecided:     map[topo.ShardID]topo.Offset{},
	}
}

// HeartbeatReceived takes a heartbeat of the lessor and returns the answer.
func (m *Member) HeartbeatReceived(now time.Duration, req Heartbeat) HeartbeatReply {
	m.unresponsive = m.unresponsive.without(req.From)
	reply := HeartbeatReply{
		From:        m.self(),
		Term:        req.Term,
		Round:       req.Round,
		Applied:     m.facts.Applied,
		HighestTerm: m.highestTerm(),
		SettledTerm: m.settledTerm,

		DisconnectedTerm: m.disconnectedTerm,
		TellsMode:        true,
		AskedStandbys:    m.askedStandbys.list,
		TellsStandbys:    !m.askedStandbys.isPartial,
	}
	if !m.isFromLessor(req) {
		return reply
	}
	s := &m.standbyState
	s.lastHeartbeat = momentAt(now)
	s.lessorResigning = req.Resigning
	s.probeServers = req.CutOff
	reply.Reaches = s.probeServers && s.lastServerReply.fresher(now, m.cfg.Lease.TTL)
	if !m.mayPromise() {
		return reply
	}
	if req.Settled {
		s.settled = true
		m.settledTerm = req.Term
	}
	m.recordOffLog(req)
	m.acknowledgeMode(req)
	s.promisedUntil = s.promisedUntil.later(momentAt(now + m.cfg.expiryWait(m.cfg.Lease.TTL)))
	reply.Promised = true
	reply.Mode, reply.ModeRound = s.mode, s.modeRound
	return reply
}

// isFromLessor reports whether the heartbeat is by the lessor for whom this very
// run is the standby lessor.
func (m *Member) isFromLessor(req Heartbeat) bool {
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
	s := &m.standbyState
	if req.ModeRound <= s.modeRound {
		return
	}
	if req.Mode == ModeDisconnected && m.facts.Applied < req.Applied {
		return
	}
	s.mode, s.modeRound = req.Mode, req.ModeRound
}

func (m *Member) recordOffLog(req Heartbeat) {
	for _, id := range req.Activated {
		m.standbyState.activated[id] = max(m.standbyState.activated[id], req.Applied)
	}
	for _, id := range req.Undecided {
		m.standbyState.undecided[id] = max(m.standbyState.undecided[id], req.Applied)
	}
}

// mayBeActive reports whether the lessor may have activated the standby server
// of a shard under the fence in force.
func (s *standbyState) mayBeActive(id topo.ShardID, fence topo.Fence) bool {
	applied, reported := s.activated[id]
	return reported && fence.Offset <= applied
}

// mayChange reports whether a record of the lessor may still change the shard
// from the fence in force.
func (s *standbyState) mayChange(id topo.ShardID, fence topo.Fence) bool {
	applied, reported := s.undecided[id]
	return reported && fence.Offset <= applied
}
