package lessor

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// supersessions holds the times at which this incarnation first saw that the latest
// terms of previous incarnations were no longer current. No log contact that lets
// such an incarnation continue is newer, so the time for which it may act without
// the log is measured from there, and does not start again with each later claim.
// It is never modified in place.
type supersessions struct {
	seen map[roleInTerm]time.Duration
	// since and unlisted are the corresponding values for the incarnations that
	// were dropped from the list.
	since    topo.Offset
	unlisted time.Duration
}

// roleInTerm identifies an incarnation and the latest term of the group in
// which it had a part.
type roleInTerm struct {
	incarnation Incarnation
	term        topo.Term
}

// next returns the supersessions for a group whose term is first seen now.
func (s supersessions) next(now time.Duration, group state.Group) supersessions {
	after := supersessions{seen: map[roleInTerm]time.Duration{}, since: group.Term.Offset, unlisted: now}
	if group.Previous == nil {
		return after
	}
	after.since = group.Previous.Since
	if after.since == s.since {
		after.unlisted = s.unlisted
	}
	for _, run := range group.Previous.Incarnations {
		part := roleInTerm{incarnationOf(run), run.LatestTerm()}
		at, known := s.seen[part]
		if !known {
			at = now
		}
		after.seen[part] = at
	}
	return after
}

// at returns when a listed incarnation was first seen to be superseded.
func (s supersessions) at(run state.PreviousIncarnation) time.Duration {
	return s.seen[roleInTerm{incarnationOf(run), run.LatestTerm()}]
}

// limit is how long a right lasts after its last renewal.
type limit struct {
	duration time.Duration
	forever  bool
}

// endAfter returns when a right measured from a moment has ended; never if it
// has no end.
func (l limit) endAfter(at time.Duration) moment {
	if l.forever {
		return moment{}
	}
	return momentAt(at + l.duration)
}
