package lessor

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// basis is what a lessor knew of the group when its term began.
type basis uint8

const (
	// basisFirst: the group never had a lessor, so nothing was ever granted.
	basisFirst basis = iota
	// basisSelf: this run was the lessor before and knows that no standby
	// lessor went on in the meantime.
	basisSelf
	// basisStandby: this run was the standby lessor. It knows until when the
	// lessor counted on its promise, in which mode, and everything that the
	// lessor may have decided off the log.
	basisStandby
	// basisOther: this run knows nothing but the state.
	basisOther
)

func (b basis) String() string {
	return [...]string{"first", "self", "standby", "other"}[b]
}

// takeover is what a lessor must wait for before it may treat shards of earlier
// terms as free.
type takeover struct {
	basis basis
	// before: shards with a fence below this offset may have been granted by
	// an earlier lessor.
	before topo.Offset
	// began is when this run's claim was seen. For a former standby lessor, the
	// lessor's right by log contact is counted from there; by its standby's promise
	// it has ended at promised.
	began          time.Duration
	usedLogContact bool // the earlier lessor may have counted log contact
	promised       moment
	// fromLessor is what the earlier lessor told its standby lessor; of basisStandby.
	fromLessor standbyState
	// former are the lessors of earlier terms, and what they said since.
	former former
}

// takeoverAfter tells what the term that this run has just been seen to hold
// begins with. It must be called before anything of the term before is dropped.
func (m *Member) takeoverAfter(now time.Duration, before state.Group) takeover {
	next := takeover{basis: basisOther, before: m.facts.Group.Term.Offset, began: now}
	next.former = m.formerOf(now)
	if !m.claim.pending() || m.claim.expected != before.Term {
		return next
	}
	switch {
	case before.Term.IsZero():
		next.basis = basisFirst
		next.before = 0
	case m.role == RoleLessor && (m.offLog || m.right.mode == ModeConnected):
		next.basis = basisSelf
	case m.role == RoleStandby && m.standbyState.settled:
		next.basis = basisStandby
		next.usedLogContact = m.standbyState.mode == ModeConnected
		next.promised = m.standbyState.promisedUntil
		next.fromLessor = m.standbyState
	}
	return next
}

// offLogTakeover begins a takeover without the log by the standby lessor.
func (m *Member) offLogTakeover(now time.Duration) takeover {
	return takeover{
		basis:      basisStandby,
		before:     math.MaxUint64,
		began:      now,
		promised:   m.standbyState.promisedUntil,
		fromLessor: m.standbyState,
	}
}

// rightEnd returns when the earlier lessors' right to renew leases for a service
// has surely lapsed; never if it may last without limit.
func (m *Member) rightEnd(policy *Policy) moment {
	t := &m.takeover
	if t.basis == basisFirst {
		return momentAt(t.began)
	}
	end := t.former.rightEnd(m.stopBounds(policy), m.rules)
	if t.basis != basisStandby {
		return end
	}
	promised := t.promised.later(momentAt(t.began))
	if t.usedLogContact {
		promised = promised.later(momentAt(t.began + m.cfg.expiryWait(m.cfg.Lease.TTL)))
	}
	return end.earlier(promised)
}

// stopBounds returns how long former runs that say nothing may renew leases for a
// service.
func (m *Member) stopBounds(policy *Policy) stopBounds {
	ttl := m.cfg.Lease.TTL
	s := stopBounds{sinceSupport: m.cfg.expiryWait(ttl)}
	most := policy.TakeoverLimit
	if m.rules.noDisconnectedWait {
		most = 0
	}
	if most == siteconfig.Forever {
		s.sinceSuperseded.forever = true
		return s
	}
	s.sinceSuperseded.duration = m.cfg.expiryWait(max(ttl, most))
	return s
}

// leaseEnd returns when every lease that earlier lessors renewed for a service
// has surely lapsed. The last one may have been renewed just before the right
// ended.
func (m *Member) leaseEnd(policy *Policy) moment {
	end := m.rightEnd(policy)
	if !end.set || m.rules.noLastLease || m.takeover.basis == basisFirst {
		return end
	}
	return momentAt(end.at + m.cfg.expiryWait(m.cfg.Lease.TTL))
}
