package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// need is a shard of an earlier term that is free, but may be granted only
// under a new fence.
type need struct {
	fence     topo.Fence    // of the current assignment
	to        topo.ServerID // preferred owner
	wasActive bool          // the standby server had been activated
}

// advance updates the state after time has passed or an input has arrived.
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

// isSettled reports whether no lease of an earlier term conflicts with the
// assignment of a shard.
func (m *Member) isSettled(shard Shard) bool {
	if shard.OwnerBoot == "" || shard.Fence.Offset >= m.takeover.before {
		return true
	}
	return m.settled[shard.Shard] == shard.Fence
}

// termSettled reports whether every shard is settled and none needs a new
// fence.
func (m *Member) termSettled() bool { return !m.settling && len(m.needs) == 0 }

// settle determines which server may continue with a shard of an earlier term,
// if that is already known.
func (m *Member) settle(now time.Duration, shard Shard) {
	if m.takeover.basis == basisStandby {
		m.settleAsStandby(now, shard)
		return
	}
	m.settleAsOther(now, shard)
}

// settleAsStandby settles a shard by the previous lessor's reports: unless it
// reported that it would activate the standby server, only the owner can hold a
// lease.
func (m *Member) settleAsStandby(now time.Duration, shard Shard) {
	reported := &m.takeover.fromLessor
	if m.offLog && reported.mayChange(shard.Shard, shard.Fence) {
		return
	}
	expired := m.leaseEnd(shard.Policy).passed(now)
	if !reported.mayBeActive(shard.Shard, shard.Fence) {
		if expired || m.answersFor(shard.Owner, shard.Policy) {
			m.settled[shard.Shard] = shard.Fence
		}
		return
	}
	// The owner's lease had expired before the lessor reported the activation.
	if !expired && !m.answersFor(shard.Standby, shard.Policy) {
		return
	}
	m.settleActivated(shard)
}

// settleActivated settles a shard whose standby server may have been activated,
// and can now hold no lease except one that it reports.
func (m *Member) settleActivated(shard Shard) {
	active := m.reportsActive(shard)
	if !m.offLog {
		m.needNewFence(shard, active)
		return
	}
	if !active {
		return // an earlier incarnation may have served it: only the log can decide
	}
	m.settled[shard.Shard] = shard.Fence
	m.activated[shard.Shard] = &activation{
		fence:   shard.Fence,
		server:  shard.Standby,
		boot:    m.servers[shard.Standby].boot(),
		granted: true,
	}
}

// settleAsOther settles a shard by acknowledgements of both servers that may
// hold a lease, and by their reports, or after waiting for every lease. If the
// standby server reports that it was activated, its report suffices: the
// owner's lease had expired by then, and no lessor returns the shard under a
// lower fence.
func (m *Member) settleAsOther(now time.Duration, shard Shard) {
	expired := m.leaseEnd(shard.Policy).passed(now)
	switch {
	case m.reportsActive(shard) && !m.rules.noReport:
		m.needNewFence(shard, true)
	case !expired && !m.bothAnswer(shard):
	case m.rules.noReport:
		m.settled[shard.Shard] = shard.Fence
	case m.mayHaveServed(shard):
		m.needNewFence(shard, false)
	default:
		m.settled[shard.Shard] = shard.Fence
	}
}

// bothAnswer reports whether no earlier lessor can grant anything to the owner
// or to the standby server any longer.
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
// fence that is higher than the owner's. A server's report that it was not activated
// is valid only for its current incarnation: an earlier one may have been, unless no
// lessor ever activated any.
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

// answersFor reports whether a server can hold no lease of an earlier term
// except the one that it reported: it acknowledged this term, or is confirmed
// as lost. An acknowledgement by a server that does not check fencing proves
// nothing.
func (m *Member) answersFor(id topo.ServerID, policy *Policy) bool {
	if m.confirmedLost(id) {
		return true
	}
	s, exists := m.servers[id]
	return policy.ChecksFencing && exists && s.acked
}

// reportsActive reports whether the standby server reported that it was
// activated for a shard under the current assignment.
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
