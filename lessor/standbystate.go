package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// standbyState is what a standby lessor remembers of the term in which it is the
// standby. A process that restarts is another incarnation and no longer the
// standby lessor, so it has no such state.
type standbyState struct {
	promisedUntil   moment // it may not take over before
	mode            Mode   // latest acknowledged mode
	modeRound       uint64 // of that mode
	settled         bool   // the lessor reported that no earlier lease remains
	lastHeartbeat   moment // latest heartbeat
	lessorResigning bool   // the lessor asked to be replaced
	probeServers    bool   // the lessor asked whether servers answer this node
	lastServerReply moment // latest reply of a server
	// activated and undecided hold the shards that the lessor reported, with
	// the offset up to which it had then applied the log: a fence above that
	// offset is newer than the report.
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

// HeartbeatReceived processes a heartbeat of the lessor and returns the reply.
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
		ReportsMode:      true,
		AskedStandbys:    m.askedStandbys.list,
		ReportsStandbys:  !m.askedStandbys.isPartial,
	}
	if !m.isFromLessor(req) {
		return reply
	}
	s := &m.standbyState
	s.lastHeartbeat = momentAt(now)
	s.lessorResigning = req.Resigning
	s.probeServers = req.CutOff
	reply.ReachesServers = s.probeServers && s.lastServerReply.fresher(now, m.cfg.Lease.TTL)
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

// isFromLessor reports whether the heartbeat is from the lessor whose standby
// lessor is this incarnation.
func (m *Member) isFromLessor(req Heartbeat) bool {
	group := m.facts.Group
	lessor := Incarnation{Node: group.Lessor, Boot: group.LessorBoot}
	return req.Term == group.Term && req.From == lessor && m.isStandby()
}

// mayPromise reports whether this standby lessor has neither claimed nor taken
// over, and is not about to.
func (m *Member) mayPromise() bool {
	return m.role == RoleStandby && !m.claim.pending()
}

// acknowledgeMode adopts the lessor's latest round. Disconnected mode is
// acknowledged only by a standby whose state contains everything that the
// lessor wrote, because it may take over without the log.
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
// of a shard under the current fence.
func (s *standbyState) mayBeActive(id topo.ShardID, fence topo.Fence) bool {
	applied, reported := s.activated[id]
	return reported && fence.Offset <= applied
}

// mayChange reports whether a record of the lessor may still replace the
// shard's current fence.
func (s *standbyState) mayChange(id topo.ShardID, fence topo.Fence) bool {
	applied, reported := s.undecided[id]
	return reported && fence.Offset <= applied
}
