package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// rules are safety rules that can be disabled one at a time, to show that the check detects
// the faults that they prevent.
type rules struct {
	noPreviousWait   bool // a new lessor ignores the grant period of the previous one
	noExpiryWait     bool // the holds of an unresponsive owner are not waited for
	noUncertainCheck bool // a range is released although it has an uncertain grant
	noLeaseCheck     bool // a lessor grants without a recently confirmed lease
	noFreshTable     bool // a claim is based on the table before the newest one
	noResignedHolds  bool // a resignation is treated as if no grants were in force
	noNameMatch      bool // a later incarnation is treated as proof that the owner holds nothing
	noCarriedHolds   bool // grants to an earlier incarnation are forgotten
	noLinkQueue      bool // calls that were reset are treated as gone, although they wait in the node's link
	noHandOffReport  bool // a previous lessor does not report its grants when asked
	noAcceptWait     bool // a call is sent on a connection that the server has not accepted
	noReadDelay      bool // calls that a server's machine has acknowledged are treated as executed
	noUncertainWait  bool // an answer under a higher fence ends the wait for uncertain grants
	noEraInFence     bool // fences are places in the topic, whatever the era
	noCopyWait       bool // a table from a copy is claimed without waiting for unknown holds
	noTakeoverProof  bool // a lessor writes its table again although another may have claimed
}

// needCopies reports whether a disabled rule is about a store that comes back from a copy.
func (r rules) needCopies() bool { return r.noEraInFence || r.noCopyWait || r.noTakeoverProof }

// drop changes the lessor's state of a range as if the disabled rules did not exist.
func (r rules) drop(alloc *Allocator, l *rangeState, registered map[site.ServerID]site.Server, now time.Time) {
	if r.noUncertainCheck {
		l.hasUncertainGrant = false
		l.dropUncertain()
	}
	if r.noExpiryWait {
		l.dropHolds(now)
	}
	if r.noLinkQueue {
		for i := range l.inFlight {
			f := &l.inFlight[i]
			if !f.endedAt.IsZero() {
				f.until = f.endedAt.Add(alloc.timing.holdAfterArrival(f.hold))
			}
		}
	}
	if r.noUncertainWait {
		l.dropUncertain()
	}
	later, isEarlier := LaterIncarnation(registered, l.Server)
	if isEarlier && r.noCarriedHolds {
		l.dropHolds(now)
		l.dropUncertain()
	}
	if isEarlier && r.noNameMatch {
		l.dropHolds(now)
		alloc.incarnations.restarts[later.ID.Name()] = []time.Time{now, now} // other servers get the keys
	}
}

// dropUncertain forgets that grants are uncertain, but keeps them in force.
func (l *rangeState) dropUncertain() {
	l.uncertainUntil, l.previousUncertainUntil = time.Time{}, time.Time{}
	for _, f := range l.inFlight {
		if !f.endedAt.IsZero() {
			l.heldUntil = clock.Later(l.heldUntil, f.until)
		}
	}
	l.inFlight = slices.DeleteFunc(l.inFlight, func(f inFlightGrant) bool { return !f.endedAt.IsZero() })
}

// dropHolds forgets all grants that may be in force.
func (l *rangeState) dropHolds(now time.Time) {
	l.heldUntil, l.previousUntil, l.inFlight = now, now, nil
}
