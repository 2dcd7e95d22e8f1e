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
	// began is when this run's claim was seen. The earlier lessor's right by
	// log contact is counted from there; by its standby's promise it has ended
	// at promised.
	began    time.Duration
	byLog    bool // the earlier lessor may have counted log contact
	promised moment
	// told is what the earlier lessor told its standby lessor; of basisStandby.
	told standing
	// former are the lessors of the term before, and what they said since.
	former former
}

// former are the two runs that may have renewed leases in the term before, and
// when each said that it had seen a later one.
type former struct {
	term         topo.Term
	lessor       Run
	standby      Run
	lessorEnded  moment
	standbyEnded moment
	asked        moment // latest question
}

// takeoverAfter tells what the term that this run has just been seen to hold
// begins with. It must be called before anything of the term before is dropped.
func (m *Member) takeoverAfter(now time.Duration, before state.Group) takeover {
	next := takeover{basis: basisOther, before: m.facts.Group.Term.Offset, began: now}
	if !m.claim.pending() || m.claim.expected != before.Term {
		return next
	}
	next.former = m.formerOf(now, before)
	switch {
	case before.Term.IsZero():
		next.basis = basisFirst
		next.before = 0
	case m.role == RoleLessor && (m.offLog || m.right.mode == ModeConnected):
		next.basis = basisSelf
	case m.role == RoleStandby && m.standing.settled:
		next.basis = basisStandby
		next.byLog = m.standing.mode == ModeConnected
		next.promised = m.standing.promised
		next.told = m.standing
	}
	return next
}

// formerOf returns the lessors of the term before. What this run itself was has
// ended.
func (m *Member) formerOf(now time.Duration, before state.Group) former {
	f := former{
		term:    before.Term,
		lessor:  Run{Node: before.Lessor, Boot: before.LessorBoot},
		standby: Run{Node: before.Standby, Boot: before.StandbyBoot},
	}
	if f.lessor == m.self() && m.settledTerm == before.Term {
		f.lessorEnded = momentAt(now)
	}
	if f.standby == m.self() {
		f.standbyEnded = momentAt(now)
	}
	return f
}

// goOn begins a takeover without the log by the standby lessor.
func (m *Member) goOn(now time.Duration) takeover {
	return takeover{
		basis:    basisStandby,
		before:   math.MaxUint64,
		began:    now,
		promised: m.standing.promised,
		told:     m.standing,
	}
}

// rightEnd returns when the earlier lessors' right to renew leases for a service
// has surely lapsed; never if it may last without limit.
func (m *Member) rightEnd(policy *Policy) moment {
	end := m.rightLapse(policy)
	if ended := m.formerEnded(); ended.set && (!end.set || ended.at < end.at) {
		return ended
	}
	return end
}

// formerEnded returns when the former lessors' right had surely ended by their
// own word; never if one of them has not given it.
func (m *Member) formerEnded() moment {
	f := &m.takeover.former
	if f.standby.Node == "" || m.rules.noStandbyWord {
		return f.lessorEnded
	}
	if !f.lessorEnded.set || !f.standbyEnded.set {
		return moment{}
	}
	return f.lessorEnded.later(f.standbyEnded)
}

// rightLapse is rightEnd for former lessors that say nothing.
func (m *Member) rightLapse(policy *Policy) moment {
	t := &m.takeover
	ttl := m.cfg.Lease.TTL
	switch t.basis {
	case basisFirst:
		return momentAt(t.began)
	case basisStandby:
		end := t.promised.later(momentAt(t.began))
		if t.byLog {
			end = end.later(momentAt(t.began + m.cfg.lapse(ttl)))
		}
		return end
	}
	limit := policy.TakeoverLimit
	if m.rules.noHold {
		limit = 0
	}
	if limit == siteconfig.Forever {
		return moment{}
	}
	return momentAt(t.began + m.cfg.lapse(max(ttl, limit)))
}

// leaseEnd returns when every lease that earlier lessors renewed for a service
// has surely lapsed. The last one may have been renewed just before the right
// ended.
func (m *Member) leaseEnd(policy *Policy) moment {
	end := m.rightEnd(policy)
	if !end.set || m.rules.noTail || m.takeover.basis == basisFirst {
		return end
	}
	return momentAt(end.at + m.cfg.lapse(m.cfg.Lease.TTL))
}

// formerSaid takes the reply of a former lessor. Once a run has seen a later term it
// renews nothing under an earlier one. The lessor's word counts only if it was
// settled: else lessors before it may still go on.
func (m *Member) formerSaid(now time.Duration, reply HeartbeatReply) {
	f := &m.takeover.former
	if reply.HighestTerm.Less(m.term) && !m.rules.noSeenTerm {
		return
	}
	settled := reply.SettledTerm == f.term || m.rules.noSettledWord
	if reply.From == f.lessor && settled && !f.lessorEnded.set {
		f.lessorEnded = momentAt(now)
	}
	if reply.From == f.standby && !f.standbyEnded.set {
		f.standbyEnded = momentAt(now)
	}
}

// asks lists the former lessors that have not said that they have stopped.
func (f *former) asks(self Run) []topo.NodeID {
	var nodes []topo.NodeID
	if f.lessor.Node != "" && f.lessor != self && !f.lessorEnded.set {
		nodes = append(nodes, f.lessor.Node)
	}
	if f.standby.Node != "" && f.standby != self && !f.standbyEnded.set {
		nodes = append(nodes, f.standby.Node)
	}
	return nodes
}
