package follow

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// An incarnation whose start time is before that of the known one is either an earlier
// incarnation whose write took effect late, or a new one on a VM whose clock was set back.
// A late write occurs once, while a running server writes about every 0.87 s.
const (
	// minCandidateWrites is the number of consecutive writes with growing sequence numbers
	// that show that an incarnation is running.
	earlierWrites = 3
	// minCandidateTime is the minimum time from the first to the last of these writes, in
	// which a running server writes more than twice. Several late writes of an ended
	// incarnation take effect together.
	earlierTime = 2 * time.Second
	// retainIncarnations is how long the start time of an incarnation is kept after it has
	// left: far longer than the seconds by which a write may be delayed.
	rememberRuns = time.Minute
)

// incarnations is the state of the incarnations of one server in the registry. At most one
// is present.
type runs struct {
	server  site.Server // the current incarnation
	present bool
	missing bool      // deleted, but present during the grace period after an outage
	leftAt  time.Time // when the last incarnation left
	start   time.Time // of the latest incarnation; zero if its entry has none
	// replacedStart is the start time of an incarnation that was replaced by one with an
	// earlier start time.
	undone  time.Time
	earlier earlierRun
}

// candidate is an incarnation with an earlier start time that may be running.
type earlierRun struct {
	id       site.ServerID
	sequence int64 // of its latest write
	writes   int   // consecutive
	since    time.Time
}

// confirm records a write and reports whether the incarnation must be running.
func (e *earlierRun) lives(entry site.Entry, now time.Time) bool {
	switch {
	case e.id != entry.ID:
		*e = earlierRun{id: entry.ID, sequence: entry.Sequence, writes: 1, since: now}
	case entry.Sequence > e.sequence:
		e.sequence = entry.Sequence
		e.writes++
	}
	return e.writes >= earlierWrites && now.Sub(e.since) >= earlierTime
}

// isEarlier reports whether a start time belongs to an incarnation before the known one, as
// far as start times show.
func (r *runs) isEarlier(start time.Time) bool {
	return start.Before(r.start) || !r.undone.IsZero() && start.Equal(r.undone)
}

// entryOrder describes an entry relative to the previous entries.
type standing int

const (
	// currentOrLater entries are of the current incarnation or a later one.
	newest standing = iota
	// fromEarlier entries may be late writes of an earlier incarnation.
	ofEarlierRun
	// missingStart entries come from another writer, because the server's own entries
	// contain its start time.
	withoutStart
)

// classify records a write and returns the order of its incarnation.
func (r *runs) judge(entry site.Entry, now time.Time) standing {
	start := entry.ID.Start()
	switch {
	case start.IsZero() && !r.start.IsZero():
		return withoutStart
	case !r.isEarlier(start):
	case r.earlier.lives(entry, now):
		r.undone = r.start
	default:
		return ofEarlierRun
	}
	r.start = start
	r.earlier = earlierRun{}
	return newest
}

// setCurrent makes a server the current incarnation. It reports whether that changes more
// than the warm-up, which decreases with every write.
func (r *runs) show(server site.Server) bool {
	server.ClockSetBack = r.start.Before(r.undone)
	same := server
	same.WarmUp = r.server.WarmUp
	if r.present && same == r.server {
		r.missing = false
		return false
	}
	r.server = server
	r.present = true
	r.missing = false
	return true
}

// adopt makes a server that another node reported the current incarnation.
func (r *runs) adopt(server site.Server) {
	start := server.ID.Start()
	if server.ClockSetBack && r.start != start {
		r.undone = start.Add(time.Millisecond) // a lower bound: the later start time is not reported
	}
	r.server = server
	r.start = start
	r.present = true
	r.missing = false
	r.earlier = earlierRun{}
}

// markLeft removes the current incarnation, and reports whether there was one.
func (r *runs) leave(now time.Time) bool {
	wasPresent := r.present
	r.present = false
	r.missing = false
	r.earlier = earlierRun{}
	if wasPresent {
		r.leftAt = now
	}
	return wasPresent
}

// StartMissingError reports an entry without a start time under a name whose earlier
// entries have one.
type StartMissingError struct{ Known time.Time }

// Error implements error.
func (e *StartMissingError) Error() string {
	return "the entry does not tell the start of the run, one before it did: " + e.Known.UTC().Format(time.RFC3339Nano)
}
