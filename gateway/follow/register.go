package follow

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Timing of the registry after an outage of the store.
const (
	// minOutage is how long reads must fail before entries may have expired: about one
	// heartbeat of a server.
	outageAfter = time.Second
	// reregistrationTime is how long running servers may take to register again after an
	// outage, as the platform guarantees.
	returnTime = 2 * time.Second
	// minWritesPerServer is the number of records per server, read after failed reads, that
	// shows that servers could write throughout. In this case only this node was cut off,
	// and servers without an entry have left.
	writtenMeanwhile = 1.5
)

// Registry applies the records of the servers' topic. It contains at most one incarnation
// of each server. Servers whose entry is missing after an outage of the store are kept for
// reregistrationTime.
type Register struct {
	byName   map[site.ServerName]*runs
	next     store.Offset
	change   store.Offset // after the last record that changed the registry
	failing  time.Time    // time of the first consecutive failed read; zero if the latest read succeeded
	returned time.Time    // end of the grace period after an outage
}

// NewRegistry returns an empty registry.
func NewRegister() *Register { return &Register{byName: map[site.ServerName]*runs{}} }

// Retain applies the keys of a snapshot: servers under other keys have left. Put and
// Invalidate apply the records.
func (r *Register) KeepOnly(names map[site.ServerName]bool, end store.Offset, now time.Time) {
	r.noteRead(now)
	for name := range r.byName {
		if !names[name] {
			r.Drop(name, end, now)
		}
	}
	r.next = max(r.next, end)
	r.change = max(r.change, 1)
}

// NoteRead records that a number of records was read, up to an offset.
func (r *Register) Read(records int, end store.Offset, now time.Time) {
	if float64(records) >= writtenMeanwhile*float64(r.present()) {
		r.failing = time.Time{}
	}
	r.noteRead(now)
	r.next = end
}

// present returns the number of servers in the registry.
func (r *Register) present() int {
	count := 0
	for _, known := range r.byName {
		if known.present {
			count++
		}
	}
	return count
}

// Adopt replaces the registry by the one that other nodes reported, up to an offset.
func (r *Register) Adopt(told view.Servers, next store.Offset, now time.Time) {
	names := make(map[site.ServerName]bool, len(told.Servers))
	for id, server := range told.Servers {
		name := id.Name()
		names[name] = true
		known := r.byName[name]
		if known == nil {
			known = &runs{}
			r.byName[name] = known
		}
		known.adopt(server)
	}
	for name, known := range r.byName {
		if !names[name] {
			known.leave(now)
		}
	}
	r.next = next
	r.change = max(r.change, told.Offset)
}

// ClearFailures discards earlier read failures when the node stops reading, because they
// say nothing about the store at the time of the next read.
func (r *Register) Forget() { r.failing = time.Time{} }

// NoteReadFailed records a failed read.
func (r *Register) Failed(now time.Time) {
	if r.failing.IsZero() {
		r.failing = now
	}
}

func (r *Register) noteRead(now time.Time) {
	if !r.failing.IsZero() && now.Sub(r.failing) > outageAfter {
		r.returned = now.Add(returnTime)
	}
	r.failing = time.Time{}
}

// Put applies a server's record before the offset end. An entry without a start time is
// invalid if an earlier entry of the name has one; the error is then a *StartMissingError.
func (r *Register) Put(entry site.Entry, end store.Offset, now time.Time) (taken bool, err error) {
	name := entry.ID.Name()
	known := r.byName[name]
	if known == nil {
		known = &runs{}
		r.byName[name] = known
	}
	switch known.judge(entry, now) {
	case ofEarlierRun:
		return false, nil
	case withoutStart:
		r.Break(name, end, now)
		return false, &StartMissingError{Known: known.start}
	}
	if known.show(entry.Server) {
		r.change = max(r.change, end)
	}
	return true, nil
}

// Remove applies the deletion of a server's record before the offset end. It affects the
// current incarnation, whichever incarnation wrote the record.
func (r *Register) Drop(name site.ServerName, end store.Offset, now time.Time) {
	known := r.byName[name]
	if known == nil {
		return
	}
	if known.present && now.Before(r.returned) {
		known.missing = true
		return
	}
	r.leave(known, end, now)
}

// Invalidate applies an invalid record. The server of that name is removed at once, because
// the record shows that another writer uses its key.
func (r *Register) Break(name site.ServerName, end store.Offset, now time.Time) {
	if known := r.byName[name]; known != nil {
		r.leave(known, end, now)
	}
}

func (r *Register) leave(known *runs, end store.Offset, now time.Time) {
	if known.leave(now) {
		r.change = max(r.change, end)
	}
}

// nextExpiry returns the time until servers that are kept after an outage expire, at most
// limit.
func (r *Register) nextLapse(now time.Time, otherwise time.Duration) time.Duration {
	if left := r.returned.Sub(now); left > 0 {
		return min(left, otherwise)
	}
	return otherwise
}

// Servers returns the registry as of now. Of the servers that are kept after an outage, it
// contains only those in current, because another node may already have reported that the
// rest have left.
func (r *Register) Servers(shown map[site.ServerID]site.Server, now time.Time) view.Servers {
	servers := make(map[site.ServerID]site.Server, len(r.byName))
	for name, known := range r.byName {
		if known.missing && !now.Before(r.returned) {
			r.leave(known, r.next, now)
		}
		if !known.present {
			if now.Sub(known.leftAt) > rememberRuns {
				delete(r.byName, name)
			}
			continue
		}
		if _, isShown := shown[known.server.ID]; isShown || !known.missing {
			servers[known.server.ID] = known.server
		}
	}
	return view.Servers{Offset: r.change, Servers: servers}
}
