package ranges

import (
	"time"

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
	noHeld   bool // a resignation counts as if only usual holds were in force
	noName   bool // a later run is taken for proof that the owner holds nothing
	noCarry  bool // what was granted to an earlier run is forgotten
	noDoubt  bool // an answer under a higher fence ends the wait for unanswered grants
}

// drop changes what a lessor knows of a range as if it lacked the rules that are
// dropped.
func (r rules) drop(k *Keeper, l *lease, registered map[site.ServerID]site.Server, now time.Time) {
	if r.noSeal {
		l.doubtful, l.doubtUntil = false, time.Time{}
	}
	if r.noWait {
		l.heldUntil = now
	}
	if r.noDoubt {
		l.doubtUntil = time.Time{}
	}
	later, isEarlier := LaterRun(registered, l.Server)
	if isEarlier && r.noCarry {
		l.heldUntil, l.doubtUntil = now, time.Time{}
	}
	if isEarlier && r.noName {
		l.heldUntil = now
		k.runs.restarts[later.ID.Name()] = []time.Time{now, now} // others get the keys
	}
}
