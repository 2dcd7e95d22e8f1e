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
	minCandidateWrites = 3
	// minCandidateTime is the minimum time from the first to the last of these writes, in
	// which a running server writes more than twice. Several late writes of an ended
	// incarnation take effect together.
	minCandidateTime = 2 * time.Second
	// retainIncarnations is how long the start time of an incarnation is kept after it has
	// left: far longer than the seconds by which a write may be delayed.
	retainIncarnations = time.Minute
)

// incarnations is the state of the incarnations of one server in the registry. At most one
// is present.
type incarnations struct {
	current site.Server // the current incarnation
	present bool
	missing bool      // deleted, but present during the grace period after an outage
	leftAt  time.Time // when the last incarnation left
	start   time.Time // of the latest incarnation; zero if its entry has none
	// replacedStart is the start time of an incarnation that was replaced by one with an
	// earlier start time.
	replacedStart time.Time
	candidate     candidate
}

// candidate is an incarnation with an earlier start time that may be running.
type candidate struct {
	id       site.ServerID
	sequence int64 // of its latest write
	writes   int   // consecutive
	firstAt  time.Time
}

// confirm records a write and reports whether the incarnation must be running.
func (c *candidate) confirm(entry site.RegistryEntry, now time.Time) bool {
	switch {
	case c.id != entry.ID:
		*c = candidate{id: entry.ID, sequence: entry.Sequence, writes: 1, firstAt: now}
	case entry.Sequence > c.sequence:
		c.sequence = entry.Sequence
		c.writes++
	}
	return c.writes >= minCandidateWrites && now.Sub(c.firstAt) >= minCandidateTime
}

// isEarlier reports whether a start time belongs to an incarnation before the known one, as
// far as start times show.
func (i *incarnations) isEarlier(start time.Time) bool {
	return start.Before(i.start) || !i.replacedStart.IsZero() && start.Equal(i.replacedStart)
}

// entryOrder describes an entry relative to the previous entries.
type entryOrder int

const (
	// currentOrLater entries are of the current incarnation or a later one.
	currentOrLater entryOrder = iota
	// fromEarlier entries may be late writes of an earlier incarnation.
	fromEarlier
	// missingStart entries come from another writer, because the server's own entries
	// contain its start time.
	missingStart
)

// classify records a write and returns the order of its incarnation.
func (i *incarnations) classify(entry site.RegistryEntry, now time.Time) entryOrder {
	start := entry.ID.Start()
	switch {
	case start.IsZero() && !i.start.IsZero():
		return missingStart
	case !i.isEarlier(start):
	case i.candidate.confirm(entry, now):
		i.replacedStart = i.start
	default:
		return fromEarlier
	}
	i.start = start
	i.candidate = candidate{}
	return currentOrLater
}

// setCurrent makes a server the current incarnation. It reports whether that changes more
// than the countdown of its warm-up.
func (i *incarnations) setCurrent(server site.Server) bool {
	server.ClockSetBack = i.start.Before(i.replacedStart)
	if i.present && server.IsCold() && server.WarmUp <= i.current.WarmUp {
		server.WarmUp = i.current.WarmUp
	}
	if i.present && server == i.current {
		i.missing = false
		return false
	}
	i.current = server
	i.present = true
	i.missing = false
	return true
}

// adopt makes a server that another node reported the current incarnation.
func (i *incarnations) adopt(server site.Server) {
	start := server.ID.Start()
	if server.ClockSetBack && i.start != start {
		i.replacedStart = start.Add(time.Millisecond) // a lower bound: the later start time is not reported
	}
	i.current = server
	i.start = start
	i.present = true
	i.missing = false
	i.candidate = candidate{}
}

// markLeft removes the current incarnation, and reports whether there was one.
func (i *incarnations) markLeft(now time.Time) bool {
	wasPresent := i.present
	i.present = false
	i.missing = false
	i.candidate = candidate{}
	if wasPresent {
		i.leftAt = now
	}
	return wasPresent
}

// StartMissingError reports an entry without a start time under a name whose earlier
// entries have one.
type StartMissingError struct{ Known time.Time }

// Error implements error.
func (e *StartMissingError) Error() string {
	return "entry has no start time, but an earlier entry of the server has: " + e.Known.UTC().Format(time.RFC3339Nano)
}
