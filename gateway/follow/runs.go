package follow

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// A run whose start lies before that of the known one is an earlier run whose
// write took effect late, or a new one on a VM whose clock was set. A late write
// comes once; a server that lives writes about every 0.87 s.
const (
	// earlierWrites is how many writes in a row, of growing sequence, tell of a run
	// that lives.
	earlierWrites = 3
	// earlierTime is the least time from the first to the last of them, in which a
	// server that lives writes more than twice. Several late writes of an ended run
	// take effect together.
	earlierTime = 2 * time.Second
	// rememberRuns is for how long the start of a run is remembered after it has
	// left: far above the seconds that a write may be delayed.
	rememberRuns = time.Minute
)

// runs is what the register knows of the runs of one server. At most one is
// present.
type runs struct {
	server  site.Server // of the present run
	present bool
	missing bool      // removed, but present until returned
	leftAt  time.Time // when the last one left
	start   time.Time // of the latest run; zero: it did not tell
	// undone is the start of a run that was replaced by one with an earlier start.
	undone  time.Time
	earlier earlierRun
}

// earlierRun is a run with an earlier start that may live.
type earlierRun struct {
	id       site.ServerID
	sequence int64 // of its latest write
	writes   int   // in a row
	since    time.Time
}

// lives takes a write and reports whether the run must be alive.
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

// isEarlier reports whether a start belongs to a run that was before the known
// one, as far as starts tell.
func (r *runs) isEarlier(start time.Time) bool {
	return start.Before(r.start) || !r.undone.IsZero() && start.Equal(r.undone)
}

// standing is what an entry is next to those before it.
type standing int

const (
	// newest entries are of the present run or a later one.
	newest standing = iota
	// ofEarlierRun is an entry that may be a late write.
	ofEarlierRun
	// withoutStart is an entry of another writer: the server's own tell its start.
	withoutStart
)

// judge takes a write and tells where its run stands.
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

// show makes a server the present run. It reports whether that changes more than
// the warm-up, which counts down with every write.
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

// adopt makes a server the present run, as another node told.
func (r *runs) adopt(server site.Server) {
	start := server.ID.Start()
	if server.ClockSetBack && r.start != start {
		r.undone = start.Add(time.Millisecond) // at least: the later start is not told
	}
	r.server = server
	r.start = start
	r.present = true
	r.missing = false
	r.earlier = earlierRun{}
}

// leave makes no run present, and reports whether one was.
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

// StartMissingError reports an entry without a start under a name whose servers
// told theirs.
type StartMissingError struct{ Known time.Time }

// Error implements error.
func (e *StartMissingError) Error() string {
	return "the entry does not tell the start of the run, one before it did: " + e.Known.UTC().Format(time.RFC3339Nano)
}
