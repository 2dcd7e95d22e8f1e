package lessor

import (
	"maps"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Plan returns the actions that are due now, in order of urgency. Apart from
// applying the passage of time to the member's state it changes nothing.
func (m *Member) Plan(now time.Duration) []Action {
	m.advance(now)
	if m.role == RoleLessor {
		m.expireMoves(now)
		m.planAutomaticMoves(now)
	}
	var actions []Action
	if m.offLogTakeoverDue(now) {
		actions = append(actions, TakeOverOffLog{})
	}
	if m.claimDue(now) {
		actions = append(actions, ClaimTerm{})
	}
	if m.role == RoleLessor {
		actions = m.planLessor(now, actions)
	}
	if m.role == RoleStandby && m.standbyState.probeServers {
		actions = m.planServerProbes(now, actions)
	}
	return m.planProbes(now, actions)
}

func (m *Member) planLessor(now time.Duration, actions []Action) []Action {
	actions = m.planMode(now, actions)
	if m.heartbeatDue(now) {
		actions = append(actions, SendHeartbeat{To: m.standbyIncarnation().Node})
	}
	actions = m.planAsks(now, actions)
	actions = m.planReturn(now, actions)
	actions = m.planServers(now, actions)
	actions = m.planActivations(now, actions)
	if m.maySubmit(now) {
		if assigns, _ := m.collect(now); len(assigns) > 0 {
			actions = append(actions, Submit{})
		}
	}
	if m.announceDue(now) {
		actions = append(actions, Announce{})
	}
	return actions
}

// planMode enters disconnected mode when the standby lessor answers and log
// contact no longer gives the right, or is about to expire because the log
// fails. It leaves the mode when the log is available again.
func (m *Member) planMode(now time.Duration, actions []Action) []Action {
	if m.offLog || m.standbyIncarnation().Node == "" {
		return actions
	}
	ttl := m.cfg.Lease.TTL
	switch {
	case m.right.asked == ModeConnected && (m.logUnavailable(now) || !m.contact.fresher(now, ttl)):
		if m.right.promise.fresher(now, ttl) {
			actions = append(actions, ChangeMode{To: ModeDisconnected})
		}
	case m.right.asked == ModeDisconnected && !m.logFailingSince.set && m.contact.fresher(now, ttl/2):
		actions = append(actions, ChangeMode{To: ModeConnected})
	}
	return actions
}

// logUnavailable reports whether log reads have failed for longer than a single
// failure. When the log fails, little time remains to prepare for the loss of
// this lessor too, because the standby lessor may take over only once it has
// acknowledged disconnected mode.
func (m *Member) logUnavailable(now time.Duration) bool {
	return m.logFailingSince.set && now-m.logFailingSince.at >= m.cfg.HeartbeatEvery
}

func (m *Member) heartbeatDue(now time.Duration) bool {
	if m.offLog || m.standbyIncarnation().Node == "" {
		return false
	}
	last := m.heartbeats.last
	return !last.set || now-last.at >= m.cfg.HeartbeatEvery
}

// planServers requests acknowledgements while shards of earlier terms are not
// settled, and renews leases.
func (m *Member) planServers(now time.Duration, actions []Action) []Action {
	renew := m.mayRenew(now)
	asks := m.asksForAcknowledgement()
	for _, id := range slices.Sorted(maps.Keys(m.facts.Servers)) {
		s := m.server(id)
		if s.inFlight || now < s.notBefore || m.facts.Servers[id].Address == "" {
			continue
		}
		switch {
		case asks && !s.acked:
			actions = append(actions, Acknowledge{Server: id})
		case renew && m.readyToRenew(now, id, s):
			actions = append(actions, Renew{Server: id})
		}
	}
	return actions
}

// planAsks asks previous lessors while their replies can shorten a wait.
func (m *Member) planAsks(now time.Duration, actions []Action) []Action {
	f := &m.takeover.former
	if !m.asksForAcknowledgement() || (f.askedAt.set && now-f.askedAt.at < m.cfg.RenewEvery) {
		return actions
	}
	for _, id := range f.nodesToAsk(m.self()) {
		actions = append(actions, Ask{Node: id})
	}
	return actions
}

// planServerProbes lets a standby lessor check whether servers answer it, by asking
// them to acknowledge the term that is current in any case.
func (m *Member) planServerProbes(now time.Duration, actions []Action) []Action {
	for _, id := range slices.Sorted(maps.Keys(m.facts.Servers)) {
		s := m.server(id)
		if !s.inFlight && now >= s.notBefore && m.facts.Servers[id].Address != "" {
			actions = append(actions, Acknowledge{Server: id})
		}
	}
	return actions
}

func (m *Member) asksForAcknowledgement() bool {
	if m.takeover.basis == basisFirst || m.takeover.basis == basisSelf {
		return false
	}
	return m.settling
}

// readyToRenew defers the first renewal of a term while the server's lease of an
// earlier term is valid and some of its shards are not settled, or wait for a new
// fence: the first list revokes every shard that it does not contain.
func (m *Member) readyToRenew(now time.Duration, id topo.ServerID, s *server) bool {
	if s.reported > 0 {
		return true
	}
	left := fromWall(s.granter.Until()) - now
	if left <= m.cfg.Lease.TTL/2 {
		return true
	}
	for _, shard := range m.facts.ShardsOf[id] {
		if !m.isSettled(m.facts.Shards[shard]) || m.needsNewFence(shard) {
			return false
		}
	}
	return true
}

// planActivations activates standby servers of owners that are down.
func (m *Member) planActivations(now time.Duration, actions []Action) []Action {
	if !m.right.disconnected() {
		return actions
	}
	for _, id := range m.shardOrder() {
		shard := m.facts.Shards[id]
		if m.serverDown(now, shard.Owner) && m.serves(shard.Standby) && m.mayActivate(now, shard) {
			actions = append(actions, Activate{Shard: id})
		}
	}
	return actions
}

// announceEvery is the interval between announcements of decisions made without
// the log, in renewal intervals.
const announceEvery = 4

func (m *Member) announceDue(now time.Duration) bool {
	if len(m.Activations()) == 0 && !m.offLog {
		return false
	}
	last := m.announced
	return !last.set || now-last.at >= announceEvery*m.cfg.RenewEvery
}
