package lessor

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// maxHeartbeats bounds the heartbeats without an answer that are remembered.
const maxHeartbeats = 16

// heartbeats is what a lessor knows of its heartbeats to the standby lessor.
type heartbeats struct {
	round    uint64
	sent     map[uint64]time.Duration // not answered yet, by round
	last     moment                   // latest sending
	answered moment                   // latest answer with a promise
	peerAt   topo.Offset              // applied by the standby lessor
	highest  topo.Term                // told by the standby lessor
	reaches  bool                     // the standby lessor reaches servers
}

// standbyRun returns the standby lessor; the node is empty if there is none.
func (m *Member) standbyRun() Run {
	return Run{Node: m.facts.Group.Standby, Boot: m.facts.Group.StandbyBoot}
}

// BeginHeartbeat returns the heartbeat to send now.
func (m *Member) BeginHeartbeat(now time.Duration) (Heartbeat, bool) {
	if m.role != RoleLessor || m.offLog || m.standbyRun().Node == "" {
		return Heartbeat{}, false
	}
	m.beats.last = momentAt(now)
	return m.nextHeartbeat(now), true
}

// BeginAsk returns the message by which former lessors are asked whether they
// have stopped: a heartbeat of the new term, which their answer shows that they
// have seen.
func (m *Member) BeginAsk(now time.Duration) (Heartbeat, bool) {
	if m.role != RoleLessor || m.offLog {
		return Heartbeat{}, false
	}
	m.takeover.former.asked = momentAt(now)
	return m.nextHeartbeat(now), true
}

func (m *Member) nextHeartbeat(now time.Duration) Heartbeat {
	m.advance(now)
	m.beats.round++
	m.beats.sent[m.beats.round] = now
	delete(m.beats.sent, m.beats.round-maxHeartbeats)
	return Heartbeat{
		From:      m.self(),
		Term:      m.term,
		Round:     m.beats.round,
		Mode:      m.right.asked,
		ModeRound: m.right.round,
		Applied:   m.facts.Applied,
		Settled:   m.termSettled(),
		Resigning: m.draining || m.givesBack(now) || (m.cutOff(now) && m.beats.reaches),
		Activated: slices.SortedFunc(maps.Keys(m.activated), compareShards),
		Undecided: m.undecided(),
		CutOff:    m.cutOff(now),
	}
}

// HeartbeatAnswered takes the standby lessor's reply.
func (m *Member) HeartbeatAnswered(now time.Duration, reply HeartbeatReply) {
	sent, known := m.beats.sent[reply.Round]
	if m.role != RoleLessor || !known || reply.Term != m.term {
		return
	}
	delete(m.beats.sent, reply.Round)
	m.silentRuns = m.silentRuns.without(reply.From)
	m.formerSaid(now, reply)
	m.advance(now)
	if reply.From != m.standbyRun() {
		return
	}
	m.beats.reaches = reply.Reaches
	m.beats.peerAt = max(m.beats.peerAt, reply.Applied)
	if m.beats.highest.Less(reply.HighestTerm) {
		m.beats.highest = reply.HighestTerm
	}
	if !reply.Promised {
		return
	}
	m.beats.answered = m.beats.answered.later(momentAt(now))
	m.claim.repeated = 0
	m.right.answered(reply, sent)
	if m.right.acked && m.right.mode == ModeConnected {
		m.asked = m.asked.without(reply.From)
	}
	m.grantTold(reply.Round)
	m.advance(now)
}

// BeginChangeMode asks the standby lessor for another mode with the next
// heartbeats.
func (m *Member) BeginChangeMode(to Mode) bool {
	if m.role != RoleLessor || m.offLog || m.right.asked == to {
		return false
	}
	m.right.ask(to)
	if to == ModeDisconnected {
		m.disconnectedTerm = m.term
		m.asked = m.asked.with(AskedStandby{Run: m.standbyRun(), Term: m.term}, m.settledTerm)
	}
	if to == ModeConnected && m.rules.noLeft {
		m.asked = m.asked.without(m.standbyRun())
	}
	return true
}
