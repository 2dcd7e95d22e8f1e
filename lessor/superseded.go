package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// supersessions are the moments at which this run first saw that the latest terms
// of former runs were no longer in force. No log contact by which such a run may go
// on is younger, so what it may do without the log is counted from there, and not
// anew from each later claim. It is never changed in place.
type supersessions struct {
	seen map[roleInTerm]time.Duration
	// since and unlisted are the same for the runs that the list has lost.
	since    topo.Offset
	unlisted time.Duration
}

// roleInTerm is the latest part of a run in a group.
type roleInTerm struct {
	run  Run
	term topo.Term
}

// next returns the supersessions as of a group whose term is first seen now.
func (s supersessions) next(now time.Duration, group state.Group) supersessions {
	after := supersessions{seen: map[roleInTerm]time.Duration{}, since: group.Term.Offset, unlisted: now}
	if group.Former == nil {
		return after
	}
	after.since = group.Former.Since
	if after.since == s.since {
		after.unlisted = s.unlisted
	}
	for _, run := range group.Former.Runs {
		part := roleInTerm{runOf(run), run.Latest()}
		at, known := s.seen[part]
		if !known {
			at = now
		}
		after.seen[part] = at
	}
	return after
}

// at returns when a run that is listed was first seen to be superseded.
func (s supersessions) at(run state.FormerRun) time.Duration {
	return s.seen[roleInTerm{runOf(run), run.Latest()}]
}

// limit is how long a right lasts that nothing renews.
type limit struct {
	duration time.Duration
	forever  bool
}

// endAfter returns when a right that counts from a moment has ended; never if it
// has no end.
func (l limit) endAfter(at time.Duration) moment {
	if l.forever {
		return moment{}
	}
	return momentAt(at + l.duration)
}
