package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// need is a shard of an earlier term that is free, but may be granted only
// under a new fence.
type need struct {
	fence     topo.Fence    // in force
	to        topo.ServerID // preferred owner
	wasActive bool          // the standby server had been activated
}

// advance takes up what time or an input has settled.
func (m *Member) advance(now time.Duration) {
	if m.role != RoleLessor {
		return
	}
	if m.settling {
		m.settleAll(now)
	}
	if !m.offLog && m.termSettled() {
		m.settledTerm = m.term
	}
}

func (m *Member) settleAll(now time.Duration) {
	m.settling = false
	for _, shard := range m.facts.Shards {
		if m.isSettled(shard) {
			continue
		}
		m.settle(now, shard)
		m.settling = m.settling || !m.isSettled(shard)
	}
}

// isSettled reports whether no lease of an earlier term stands in the way of
// what the state says of a shard.
func (m *Member) isSettled(shard Shard) bool {
	if shard.OwnerBoot == "" || shard.Fence.Offset >= m.takeover.before {
		return true
	}
	return m.settled[shard.Shard] == shard.Fence
}

// termSettled reports whether every shard is settled, and none that is needs a
// new fence.
func (m *Member) termSettled() bool { return !m.settling && len(m.needs) == 0 }

// settle decides who may go on with a shard of an earlier term, if that is
// known already.
func (m *Member) settle(now time.Duration, shard Shard) {
	if m.takeover.basis == basisStandby {
		m.settleAsStandby(now, shard)
		return
	}
	m.settleAsOther(now, shard)
}

// settleAsStandby settles by what the earlier lessor told: unless it told that
// it would activate the standby server, only the owner can hold a lease.
func (m *Member) settleAsStandby(now time.Duration, shard Shard) {
	reported := &m.takeover.fromLessor
	if m.offLog && reported.mayChange(shard.Shard, shard.Fence) {
		return
	}
	lapsed := m.leaseEnd(shard.Policy).passed(now)
	if !reported.mayBeActive(shard.Shard, shard.Fence) {
		if lapsed || m.answersFor(shard.Owner, shard.Policy) {
			m.settled[shard.Shard] = shard.Fence
		}
		return
	}
	// The owner's lease had lapsed before the lessor told.
	if !lapsed && !m.answersFor(shard.Standby, shard.Policy) {
		return
	}
	m.settleActivated(shard)
}

// settleActivated settles a shard whose standby server may have been activated,
// and can now hold no lease but one that it reports.
func (m *Member) settleActivated(shard Shard) {
	active := m.reportsActive(shard)
	if !m.offLog {
		m.needNewFence(shard, active)
		return
	}
	if !active {
		return // possibly served by an earlier run: only the log can decide
	}
	m.settled[shard.Shard] = shard.Fence
	m.activated[shard.Shard] = &activation{
		fence:   shard.Fence,
		server:  shard.Standby,
		boot:    m.servers[shard.Standby].boot(),
		granted: true,
	}
}

// settleAsOther settles by acknowledgements of both servers that may hold a
// lease, and by what they report, or by having waited for every lease. If the
// standby server says that it was activated, its word is enough: the owner's
// lease had lapsed then, and nobody gives the shard back under a lower fence.
func (m *Member) settleAsOther(now time.Duration, shard Shard) {
	lapsed := m.leaseEnd(shard.Policy).passed(now)
	switch {
	case m.reportsActive(shard) && !m.rules.noReport:
		m.needNewFence(shard, true)
	case !lapsed && !m.bothAnswer(shard):
	case m.rules.noReport:
		m.settled[shard.Shard] = shard.Fence
	case m.mayHaveServed(shard):
		m.needNewFence(shard, false)
	default:
		m.settled[shard.Shard] = shard.Fence
	}
}

// bothAnswer reports whether neither the owner nor the standby server can be
// granted anything by an earlier lessor any longer.
func (m *Member) bothAnswer(shard Shard) bool {
	if !m.answersFor(shard.Owner, shard.Policy) {
		return false
	}
	if !shard.StandbyHere || m.rules.noBothServers {
		return true
	}
	return shard.StandbyLost || m.answersFor(shard.Standby, shard.Policy)
}

// mayHaveServed reports whether the standby server may have been activated, under a
// fence that is higher than the owner's. A server that says that it was not speaks for
// its present run only: an earlier one may have been, unless no lessor ever activated
// any.
func (m *Member) mayHaveServed(shard Shard) bool {
	if !shard.StandbyHere || m.rules.noBothServers {
		return false
	}
	if !m.rules.noEarlierBoot && !m.takeover.former.stayedConnected(m.rules) {
		return true
	}
	s, exists := m.servers[shard.Standby]
	return !exists || !s.acked
}

// answersFor reports whether a server can hold no lease of an earlier term but
// the one that it reported: it acknowledged this term, or is confirmed as lost.
// The word of a server that does not check fencing is worth nothing.
func (m *Member) answersFor(id topo.ServerID, policy *Policy) bool {
	if m.confirmedLost(id) {
		return true
	}
	s, exists := m.servers[id]
	return policy.ChecksFencing && exists && s.acked
}

// reportsActive reports whether the standby server said that it was activated
// for a shard under the assignment in force.
func (m *Member) reportsActive(shard Shard) bool {
	if !shard.StandbyHere {
		return false
	}
	s, exists := m.servers[shard.Standby]
	if !exists || !s.acked {
		return false
	}
	return m.rules.noActivation || s.active[shard.Shard] == shard.Fence.Standby()
}

func (m *Member) needNewFence(shard Shard, wasActive bool) {
	n := need{fence: shard.Fence, to: shard.Owner, wasActive: wasActive}
	if wasActive {
		n.to = shard.Standby
	}
	m.settled[shard.Shard] = shard.Fence
	m.needs[shard.Shard] = n
}
