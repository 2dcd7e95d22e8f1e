package follow

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// The nodes that read the store claim a vacant lease. They may all be unable to connect to keyed
// servers, and then could grant nothing: they report to their followers that a lessor is needed, and
// followers that reach keyed servers read the store too, which a claim requires.
const (
	// vacancyDelay is how long a follower waits before it reads: readers of other zones claim within
	// this time if they can.
	vacancyDelay = 500 * time.Millisecond
	// vacancyRankDelay is the additional delay for each node of the zone with more capacity, so that
	// few of hundreds of nodes read.
	vacancyRankDelay = 50 * time.Millisecond
)

// NoteLessorNeeded records whether the followed node reports that there is no lessor and that it
// could grant nothing as one.
func (r *Reader) NoteLessorNeeded(isNeeded bool) {
	if !isNeeded {
		r.lessorNeededSince.Store(nil)
		return
	}
	now := clock.Now()
	if r.lessorNeededSince.CompareAndSwap(nil, &now) {
		r.woken.Send()
	}
}

// IsLessorNeeded reports whether the followed node has reported that a lessor is needed.
func (r *Reader) IsLessorNeeded() bool { return r.lessorNeededSince.Load() != nil }

// isVacancyReadDue reports whether the node must read the store because a lessor is needed.
func (r *Reader) isVacancyReadDue() bool {
	left, isExpected := r.untilVacancyRead()
	return isExpected && left <= 0
}

// untilVacancyRead returns how long until the node must read the store because a lessor is needed.
// isExpected is false if none is, or if the node could grant nothing either.
func (r *Reader) untilVacancyRead() (left time.Duration, isExpected bool) {
	since := r.lessorNeededSince.Load()
	if since == nil || r.CanGrantNothing != nil && r.CanGrantNothing() {
		return 0, false
	}
	delay := vacancyDelay + time.Duration(max(r.ReadPriority().Rank, 0))*vacancyRankDelay
	return delay - clock.Since(*since), true
}
