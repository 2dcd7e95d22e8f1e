package lessor

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// maxHeartbeats bounds the unanswered heartbeats that are remembered.
const maxHeartbeats = 16

// heartbeats is the state of a lessor's heartbeats to the standby lessor.
type heartbeats struct {
	round    uint64
	sent     map[uint64]time.Duration // unanswered heartbeats, by round
	last     moment                   // latest send time
	answered moment                   // latest reply with a promise
	peerAt   topo.Offset              // offset applied by the standby lessor
	highest  topo.Term                // reported by the standby lessor
	reaches  bool                     // the standby lessor reaches servers
}

// standbyIncarnation returns the standby lessor; its node is empty if there is none.
func (m *Member) standbyIncarnation() Incarnation {
	return Incarnation{Node: m.facts.Group.Standby, Boot: m.facts.Group.StandbyBoot}
}

// BeginHeartbeat returns the heartbeat to send now.
func (m *Member) BeginHeartbeat(now time.Duration) (Heartbeat, bool) {
	if m.role != RoleLessor || m.offLog || m.standbyIncarnation().Node == "" {
		return Heartbeat{}, false
	}
	m.heartbeats.last = momentAt(now)
	return m.nextHeartbeat(now), true
}

// BeginAsk returns the message by which previous lessors are asked whether they
// have stopped. It is a heartbeat of the new term, so that a reply shows that
// the previous lessor has seen that term.
func (m *Member) BeginAsk(now time.Duration) (Heartbeat, bool) {
	if m.role != RoleLessor || m.offLog {
		return Heartbeat{}, false
	}
	m.takeover.former.askedAt = momentAt(now)
	return m.nextHeartbeat(now), true
}

func (m *Member) nextHeartbeat(now time.Duration) Heartbeat {
	m.advance(now)
	m.heartbeats.round++
	m.heartbeats.sent[m.heartbeats.round] = now
	delete(m.heartbeats.sent, m.heartbeats.round-maxHeartbeats)
	return Heartbeat{
		From:      m.self(),
		Term:      m.term,
		Round:     m.heartbeats.round,
		Mode:      m.right.asked,
		ModeRound: m.right.round,
		Applied:   m.facts.Applied,
		Settled:   m.termSettled(),
		Resigning: m.draining || m.shouldReturnGroup(now) || (m.cutOff(now) && m.heartbeats.reaches),
		Activated: slices.SortedFunc(maps.Keys(m.activated), compareShards),
		Undecided: m.undecided(),
		CutOff:    m.cutOff(now),
	}
}

// HeartbeatAnswered processes the standby lessor's reply.
func (m *Member) HeartbeatAnswered(now time.Duration, reply HeartbeatReply) {
	sent, known := m.heartbeats.sent[reply.Round]
	if m.role != RoleLessor || !known || reply.Term != m.term {
		return
	}
	delete(m.heartbeats.sent, reply.Round)
	m.unresponsive = m.unresponsive.without(reply.From)
	m.recordFormerReply(now, reply)
	m.advance(now)
	if reply.From != m.standbyIncarnation() {
		return
	}
	m.heartbeats.reaches = reply.ReachesServers
	m.heartbeats.peerAt = max(m.heartbeats.peerAt, reply.Applied)
	if m.heartbeats.highest.Less(reply.HighestTerm) {
		m.heartbeats.highest = reply.HighestTerm
	}
	if !reply.Promised {
		return
	}
	m.heartbeats.answered = m.heartbeats.answered.later(momentAt(now))
	m.claim.standbyChanges = 0
	m.right.answered(reply, sent)
	if m.right.acked && m.right.mode == ModeConnected {
		m.askedStandbys = m.askedStandbys.without(reply.From)
	}
	m.grantReported(reply.Round)
	m.advance(now)
}

// BeginChangeMode requests another mode from the standby lessor with the next
// heartbeats.
func (m *Member) BeginChangeMode(to Mode) bool {
	if m.role != RoleLessor || m.offLog || m.right.asked == to {
		return false
	}
	m.right.ask(to)
	if to == ModeDisconnected {
		m.disconnectedTerm = m.term
		m.askedStandbys = m.askedStandbys.with(AskedStandby{Run: m.standbyIncarnation(), Term: m.term}, m.settledTerm)
	}
	if to == ModeConnected && m.rules.noLeaveAck {
		m.askedStandbys = m.askedStandbys.without(m.standbyIncarnation())
	}
	return true
}
