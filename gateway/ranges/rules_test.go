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
	noFormer bool // a new lessor does not count the former one's right
	noWait   bool // a silent owner's holds are not waited out
	noSeal   bool // a range is released although a grant had no answer
	noRight  bool // a lessor grants without a fresh lease
	noFresh  bool // a claim rests on an older table than the newest
	noHeld   bool // a resignation counts as if nothing were in force
	noName   bool // a later run is taken for proof that the owner holds nothing
	noCarry  bool // what was granted to an earlier run is forgotten
	noQueue  bool // what was reset is taken for gone, although it waits in the node's link
	noReport bool // a former lessor that is asked does not tell what it granted
	noAccept bool // a call is sent on a connection that the server has not accepted
	noTake   bool // what a server's machine has acknowledged is taken for carried out
	noDoubt  bool // an answer under a higher fence ends the wait for unanswered grants
}

// drop changes what a lessor knows of a range as if it lacked the rules that are
// dropped.
func (r rules) drop(k *Allocator, l *lease, registered map[site.ServerID]site.Server, now time.Time) {
	if r.noSeal {
		l.doubtful = false
		l.dropDoubt()
	}
	if r.noWait {
		l.dropHolds(now)
	}
	if r.noQueue {
		for i := range l.flights {
			f := &l.flights[i]
			if !f.endedAt.IsZero() {
				f.until = f.endedAt.Add(k.timing.arrived(f.hold))
			}
		}
	}
	if r.noDoubt {
		l.dropDoubt()
	}
	later, isEarlier := LaterRun(registered, l.Server)
	if isEarlier && r.noCarry {
		l.dropHolds(now)
		l.dropDoubt()
	}
	if isEarlier && r.noName {
		l.dropHolds(now)
		k.runs.restarts[later.ID.Name()] = []time.Time{now, now} // others get the keys
	}
}

// dropDoubt forgets that grants had no answer, and keeps that they may be in force.
func (l *lease) dropDoubt() {
	l.doubtUntil, l.formerDoubt = time.Time{}, time.Time{}
	for _, f := range l.flights {
		if !f.endedAt.IsZero() {
			l.heldUntil = clock.Later(l.heldUntil, f.until)
		}
	}
	l.flights = slices.DeleteFunc(l.flights, func(f flight) bool { return !f.endedAt.IsZero() })
}

// dropHolds forgets what may be in force.
func (l *lease) dropHolds(now time.Time) { l.heldUntil, l.formerUntil, l.flights = now, now, nil }
