package lessor

import (
	"cmp"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// standbyTimeoutFactor is how many times SuspectAfter a standby lessor may be
// unresponsive before its lessor names another one.
const standbyTimeoutFactor = 5

// maxTimeoutDoublings bounds how often the timeout doubles while each newly
// named standby lessor remains unresponsive.
const maxTimeoutDoublings = 5

// claimDue reports whether this member should claim the group's next term now.
func (m *Member) claimDue(now time.Duration) bool {
	if m.claim.inFlight || (m.claim.retryAt.set && now < m.claim.retryAt.at) {
		return false
	}
	if !m.observed || !m.contact.fresher(now, m.cfg.Lease.TTL) {
		return false
	}
	switch m.role {
	case RoleLessor:
		return m.reclaimDue(now)
	case RoleStandby:
		return !m.draining && m.takeoverDue(now)
	}
	return !m.draining && m.standInDue(now)
}

// reclaimDue reports whether the lessor should claim its own group again: to
// record a takeover without the log, or to name another standby lessor.
func (m *Member) reclaimDue(now time.Duration) bool {
	if m.offLog {
		return true
	}
	elapsed := m.sinceStandbyPromise(now)
	if m.right.mode == ModeDisconnected {
		return elapsed >= m.cfg.SuspectAfter
	}
	timeout := standbyTimeoutFactor * m.cfg.SuspectAfter << min(m.claim.standbyChanges, maxTimeoutDoublings)
	lost := m.standbyIncarnation().Node == "" || m.facts.StandbyGone || elapsed >= timeout
	return (lost || m.returnDue(now)) && m.chooseStandby().Node != ""
}

// sinceStandbyPromise returns the time since the standby lessor's latest promise.
func (m *Member) sinceStandbyPromise(now time.Duration) time.Duration {
	return now - max(m.termSeen.at, m.heartbeats.answered.at)
}

// takeoverDue reports whether the standby lessor should take over: because the
// lessor asked for it, or because the lessor's incarnation has ended or is
// unresponsive, also over a new connection.
func (m *Member) takeoverDue(now time.Duration) bool {
	if m.standbyState.lessorResigning || m.facts.LessorGone {
		return true
	}
	elapsed := now - m.standbyState.lastHeartbeat.at
	if elapsed < m.suspectAfter(now) {
		return false
	}
	return m.watch.failed(m.facts.Group.Lessor) || elapsed >= standbyTimeoutFactor*m.cfg.SuspectAfter
}

// offLogTakeoverDue reports whether the standby lessor should take over without the log.
func (m *Member) offLogTakeoverDue(now time.Duration) bool {
	if m.draining || !m.mayTakeOverOffLog() || m.contact.fresher(now, m.cfg.Lease.TTL) {
		return false
	}
	return m.takeoverDue(now)
}

// mayTakeOverOffLog reports whether this standby lessor may take over without the log:
// the lessor's right depends on this standby's promise alone, and the lessor was
// settled.
func (m *Member) mayTakeOverOffLog() bool {
	if m.role != RoleStandby || !m.standbyState.settled {
		return false
	}
	return m.standbyState.mode == ModeDisconnected || m.rules.noModes
}

// BeginTakeOverOffLog makes the standby lessor the lessor, under the term that
// the group's record allocated for this. From then on it gives no promise.
func (m *Member) BeginTakeOverOffLog(now time.Duration) bool {
	if !m.mayTakeOverOffLog() {
		return false
	}
	next := m.offLogTakeover(now)
	pending := m.claim
	m.resetLessor()
	m.takeover = next
	m.claim = pending
	m.role = RoleLessor
	m.offLog = true
	m.term = m.facts.Group.Term.Standby()
	m.standbyState = standbyState{}
	m.settling = true
	m.advance(now)
	return true
}

// standInDue reports whether a node that is neither lessor nor standby lessor
// should claim the group.
func (m *Member) standInDue(now time.Duration) bool {
	since, needed := m.leaderlessSince(now)
	if !needed {
		return false
	}
	if m.turnIndex < 0 {
		return false
	}
	if m.isOutsider() && m.watch.notBefore.set && now < m.watch.notBefore.at {
		return false
	}
	return now-since >= time.Duration(m.turnIndex)*m.cfg.StandInAfter
}

// leaderlessSince returns the time from which the group has had neither a
// lessor nor a standby lessor, as far as this node knows.
func (m *Member) leaderlessSince(now time.Duration) (time.Duration, bool) {
	group := m.facts.Group
	if group.Term.IsZero() {
		return m.termSeen.at, true
	}
	lessor, lessorEnded := m.endedSince(now, group.Lessor, m.lessorGone)
	standby, standbyEnded := m.endedSince(now, group.Standby, m.standbyGone)
	return max(lessor, standby), lessorEnded && standbyEnded
}

// endedSince returns the time from which a node named by the group is treated
// as unresponsive, or is known to have ended.
func (m *Member) endedSince(now time.Duration, id topo.NodeID, gone moment) (time.Duration, bool) {
	if id == "" {
		return m.termSeen.at, true
	}
	if gone.set {
		return gone.at, true
	}
	since, unresponsive := m.watch.unresponsiveSince(id, m.cfg.HeartbeatEvery)
	suspectAfter := m.suspectAfter(now)
	if !unresponsive || now-since < suspectAfter {
		return 0, false
	}
	return since + suspectAfter, true
}

// BeginClaim returns the claim to write to the log and the number by which its
// outcome is reported. Until the outcome is known, a standby lessor gives no
// promise.
func (m *Member) BeginClaim(now time.Duration) (Claim, uint64, bool) {
	if m.claim.inFlight || !m.observed {
		return Claim{}, 0, false
	}
	m.claim.number++
	m.claim.inFlight = true
	m.claim.expected = m.facts.Group.Term
	if m.returnDue(now) {
		m.claim.returnedAt = momentAt(now)
	}
	if m.role == RoleLessor && !m.offLog {
		m.claim.standbyChanges++
		if m.sinceStandbyPromise(now) >= m.cfg.SuspectAfter {
			m.recordUnresponsive(m.facts.Group.Standby)
		}
	}
	claim := Claim{Expected: m.facts.Group.Term, Standby: m.chooseStandby()}
	if m.offLog {
		claim.Continued = m.term
	} else {
		claim.Settled = m.role == RoleLessor && m.termSettled()
	}
	return claim, m.claim.number, true
}

// ClaimDone reports that the claim's outcome is known: it has been applied,
// accepted or not, and the next observed state shows the result.
func (m *Member) ClaimDone(now time.Duration, number uint64, accepted bool) {
	if !m.claim.inFlight || m.claim.number != number {
		return // the observed state has already shown the outcome
	}
	m.claim.inFlight = false
	m.claim.maybeWritten = m.claim.maybeWritten || accepted
	m.claim.retryAt = momentAt(now + m.cfg.RetryAfter)
}

// ClaimFailed reports that the claim was not appended or, if unknown is set,
// that it may have been or may still be appended.
func (m *Member) ClaimFailed(now time.Duration, number uint64, unknown bool) {
	if !m.claim.inFlight || m.claim.number != number {
		return
	}
	m.claim.inFlight = false
	m.claim.maybeWritten = m.claim.maybeWritten || unknown
	m.claim.retryAt = momentAt(now + m.cfg.RetryAfter)
}

// chooseStandby returns the standby lessor to name: the next in turn among those
// that were not found unresponsive, else the one that was found unresponsive first.
// Its node is empty if there is no candidate.
func (m *Member) chooseStandby() Incarnation {
	nodes := m.facts.Nodes
	group := m.facts.Group
	var list []state.Node
	for _, n := range nodes {
		ended := n.ID == group.Standby && m.role == RoleLessor && !m.offLog
		replaced := n.ID == group.Standby && n.Boot != group.StandbyBoot
		failed := n.ID == group.Lessor && n.Boot == group.LessorBoot && m.role != RoleLessor
		if n.ID == m.cfg.Node || (ended && !replaced) || failed {
			continue
		}
		list = append(list, n)
	}
	if len(list) == 0 {
		return Incarnation{}
	}
	m.order(list)
	rank := func(n state.Node) int { return m.unresponsive.rank(nodeIncarnation(n)) }
	best := slices.MinFunc(list, func(a, b state.Node) int { return cmp.Compare(rank(a), rank(b)) })
	return Incarnation{Node: best.ID, Boot: best.Boot}
}

// cutOff reports whether every server of the group has stopped answering this
// lessor in its term, which suggests that the lessor itself is partitioned. Its
// standby lessor then probes the servers and takes over if one answers.
func (m *Member) cutOff(now time.Duration) bool {
	suspected := 0
	for id, facts := range m.facts.Servers {
		if facts.Lost {
			continue
		}
		s, known := m.servers[id]
		if !known || !s.suspected() || !s.lastReply.set {
			return false
		}
		suspected++
	}
	return suspected > 1 && m.right.promise.fresher(now, m.cfg.Lease.TTL)
}
