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
	// basisSelf: this incarnation was the lessor before and knows that no
	// standby lessor took over in the meantime.
	basisSelf
	// basisStandby: this incarnation was the standby lessor. It knows until
	// when the lessor relied on its promise, in which mode, and everything that
	// the lessor may have decided without the log.
	basisStandby
	// basisOther: this incarnation knows only the state.
	basisOther
)

func (b basis) String() string {
	return [...]string{"first", "self", "standby", "other"}[b]
}

// takeover is what a lessor must wait for before it may treat shards of earlier
// terms as free.
type takeover struct {
	basis basis
	// before: shards with a fence below this offset may have been granted by an
	// earlier lessor.
	before topo.Offset
	// began is when this incarnation's claim was seen. After basisStandby, the
	// previous lessor's right by log contact is measured from there; its right by
	// the standby's promise has ended at promised.
	began          time.Duration
	usedLogContact bool // the previous lessor may have relied on log contact
	promised       moment
	// fromLessor is what the previous lessor reported to its standby lessor; set for
	// basisStandby.
	fromLessor standbyState
	// former holds the lessors of earlier terms and their replies.
	former former
}

// takeoverAfter returns the takeover for the term that this incarnation was
// just seen to hold. It must be called before any state of the previous term is
// dropped.
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

// rightEnd returns when the previous lessors' right to renew leases for a
// service has certainly expired; never if it may last without limit.
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

// stopBounds returns how long previous incarnations that do not reply may renew
// leases for a service.
func (m *Member) stopBounds(policy *Policy) stopBounds {
	ttl := m.cfg.Lease.TTL
	limits := stopBounds{sinceSupport: m.cfg.expiryWait(ttl)}
	longest := policy.TakeoverLimit
	if m.rules.noDisconnectedWait {
		longest = 0
	}
	if longest == siteconfig.Forever {
		limits.sinceSuperseded.forever = true
		return limits
	}
	limits.sinceSuperseded.duration = m.cfg.expiryWait(max(ttl, longest))
	return limits
}

// leaseEnd returns when every lease that previous lessors renewed for a service
// has certainly expired. The last one may have been renewed just before the
// right ended.
func (m *Member) leaseEnd(policy *Policy) moment {
	end := m.rightEnd(policy)
	if !end.set || m.rules.noLastLease || m.takeover.basis == basisFirst {
		return end
	}
	return momentAt(end.at + m.cfg.expiryWait(m.cfg.Lease.TTL))
}
