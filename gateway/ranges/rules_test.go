package ranges

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// rules can be dropped one at a time, to show that the check finds what they
// prevent.
type rules struct {
	noPreviousWait   bool // a new lessor does not count the former one's right
	noExpiryWait     bool // a silent owner's holds are not waited out
	noUncertainCheck bool // a range is released although a grant had no answer
	noLeaseCheck     bool // a lessor grants without a fresh lease
	noFreshTable     bool // a claim rests on an older table than the newest
	noResignedHolds  bool // a resignation counts as if nothing were in force
	noNameMatch      bool // a later run is taken for proof that the owner holds nothing
	noCarriedHolds   bool // what was granted to an earlier run is forgotten
	noLinkQueue      bool // what was reset is taken for gone, although it waits in the node's link
	noHandOffReport  bool // a former lessor that is asked does not tell what it granted
	noAcceptWait     bool // a call is sent on a connection that the server has not accepted
	noReadDelay      bool // what a server's machine has acknowledged is taken for carried out
	noUncertainWait  bool // an answer under a higher fence ends the wait for unanswered grants
}

// drop changes what a lessor knows of a range as if it lacked the rules that are
// dropped.
func (r rules) drop(alloc *Allocator, l *lease, registered map[site.ServerID]site.Server, now time.Time) {
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
	later, isEarlier := LaterRun(registered, l.Server)
	if isEarlier && r.noCarriedHolds {
		l.dropHolds(now)
		l.dropUncertain()
	}
	if isEarlier && r.noNameMatch {
		l.dropHolds(now)
		alloc.incarnations.restarts[later.ID.Name()] = []time.Time{now, now} // others get the keys
	}
}

// dropUncertain forgets that grants had no answer, and keeps that they may be in force.
func (l *lease) dropUncertain() {
	l.uncertainUntil, l.previousUncertainUntil = time.Time{}, time.Time{}
	for _, f := range l.inFlight {
		if !f.endedAt.IsZero() {
			l.heldUntil = clock.Later(l.heldUntil, f.until)
		}
	}
	l.inFlight = slices.DeleteFunc(l.inFlight, func(f inFlightGrant) bool { return !f.endedAt.IsZero() })
}

// dropHolds forgets what may be in force.
func (l *lease) dropHolds(now time.Time) { l.heldUntil, l.previousUntil, l.inFlight = now, now, nil }
