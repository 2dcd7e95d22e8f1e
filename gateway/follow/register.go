package follow

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// Timing of the register after an outage of the store.
const (
	// outageAfter is for how long reads must have failed to count as an outage in
	// which entries may have lapsed: about one heartbeat of a server.
	outageAfter = time.Second
	// returnTime is how long servers that live may take to register again after
	// an outage, by the platform's promise.
	returnTime = 2 * time.Second
	// writtenMeanwhile is how many records for each server, read after reads had
	// failed, tell that servers could write all the while: only this node was cut
	// off, and what left the register has left.
	writtenMeanwhile = 1.5
)

// Register folds the records of the servers' topic. It holds at most one run of
// each server. Servers whose entry is missing after an outage of the store keep
// their place for returnTime.
type Register struct {
	byName   map[site.ServerName]*runs
	next     store.Offset
	change   store.Offset // after the last record that changed anything
	failing  time.Time    // of the first failed read in a row; zero: the latest succeeded
	returned time.Time    // end of the time after an outage
}

// NewRegister returns a register that has read nothing.
func NewRegister() *Register { return &Register{byName: map[site.ServerName]*runs{}} }

// KeepOnly takes the keys of a snapshot: servers under others have left. Put and
// Break take the records themselves.
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

// Read notes that a number of records was read, up to an offset.
func (r *Register) Read(records int, end store.Offset, now time.Time) {
	if float64(records) >= writtenMeanwhile*float64(r.present()) {
		r.failing = time.Time{}
	}
	r.noteRead(now)
	r.next = end
}

// present returns the number of servers that have a place.
func (r *Register) present() int {
	count := 0
	for _, known := range r.byName {
		if known.present {
			count++
		}
	}
	return count
}

// Adopt replaces what was read by what other nodes told, up to an offset.
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

// Forget takes that the node does not read any more. That reads had failed tells
// nothing of the store by the time of the next one.
func (r *Register) Forget() { r.failing = time.Time{} }

// Failed notes that a read failed.
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

// Put takes a server's record before the offset end. An entry without a start
// under a name with one is broken; the error is a *StartMissingError.
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

// Drop takes the removal of a server's record before the offset end. It concerns
// the present run, whichever wrote the record.
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

// Break takes a record that names no server to use. The server under the name
// leaves at once: the entry in its place says that somebody else writes there.
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

// nextLapse returns when servers that keep their place after an outage lose it, or
// otherwise a time.
func (r *Register) nextLapse(now time.Time, otherwise time.Duration) time.Duration {
	if left := r.returned.Sub(now); left > 0 {
		return min(left, otherwise)
	}
	return otherwise
}

// Servers returns the register as of now. Of the servers that keep their place
// after an outage only those in shown are in it: another node may have told
// already that the others have left.
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
