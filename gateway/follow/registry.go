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
	minOutage = time.Second
	// reregistrationTime is how long running servers may take to register again after an
	// outage, as the platform guarantees.
	reregistrationTime = 2 * time.Second
	// minWritesPerServer is the number of records per server, read after failed reads, that
	// shows that servers could write throughout. In this case only this node was cut off,
	// and servers without an entry have left.
	minWritesPerServer = 1.5
)

// Registry applies the records of the servers' topic. It contains at most one incarnation
// of each server. Servers whose entry is missing after an outage of the store are kept for
// reregistrationTime.
type Registry struct {
	byName       map[site.ServerName]*incarnations
	next         store.Offset
	changeOffset store.Offset // after the last record that changed the registry
	failingSince time.Time    // time of the first consecutive failed read; zero if the latest read succeeded
	graceEnd     time.Time    // end of the grace period after an outage
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{byName: map[site.ServerName]*incarnations{}} }

// Retain applies the keys of a snapshot: servers under other keys have left. Put and
// Invalidate apply the records.
func (r *Registry) Retain(names map[site.ServerName]bool, end store.Offset, now time.Time) {
	r.endFailures(now)
	if r.next > 0 && end.Era() > r.next.Era() {
		r.graceEnd = now.Add(reregistrationTime) // the copy lacks servers that have registered since
		// Also without a change: other nodes may have read an earlier part of the new history.
		r.changeOffset = end
	}
	for name := range r.byName {
		if !names[name] {
			r.Remove(name, end, now)
		}
	}
	r.next = max(r.next, end)
	r.changeOffset = max(r.changeOffset, 1)
}

// NoteRead records that a number of records was read, up to an offset.
func (r *Registry) NoteRead(records int, end store.Offset, now time.Time) {
	if float64(records) >= minWritesPerServer*float64(r.present()) {
		r.failingSince = time.Time{}
	}
	r.endFailures(now)
	r.next = end
}

// present returns the number of servers in the registry.
func (r *Registry) present() int {
	count := 0
	for _, state := range r.byName {
		if state.present {
			count++
		}
	}
	return count
}

// Adopt replaces the registry by the one that other nodes reported, up to an offset.
func (r *Registry) Adopt(reported view.Servers, next store.Offset, now time.Time) {
	names := make(map[site.ServerName]bool, len(reported.Servers))
	for id, server := range reported.Servers {
		name := id.Name()
		names[name] = true
		state := r.byName[name]
		if state == nil {
			state = &incarnations{}
			r.byName[name] = state
		}
		state.adopt(server)
	}
	for name, state := range r.byName {
		if !names[name] {
			state.markLeft(now)
		}
	}
	r.next = next
	r.changeOffset = max(r.changeOffset, reported.Offset)
}

// ClearFailures discards earlier read failures when the node stops reading, because they
// say nothing about the store at the time of the next read.
func (r *Registry) ClearFailures() { r.failingSince = time.Time{} }

// NoteReadFailed records a failed read.
func (r *Registry) NoteReadFailed(now time.Time) {
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
}

func (r *Registry) endFailures(now time.Time) {
	if !r.failingSince.IsZero() && now.Sub(r.failingSince) > minOutage {
		r.graceEnd = now.Add(reregistrationTime)
	}
	r.failingSince = time.Time{}
}

// Put applies a server's record before the offset end. An entry without a start time is
// invalid if an earlier entry of the name has one; the error is then a *StartMissingError.
func (r *Registry) Put(entry site.RegistryEntry, end store.Offset, now time.Time) (applied bool, err error) {
	name := entry.ID.Name()
	state := r.byName[name]
	if state == nil {
		state = &incarnations{}
		r.byName[name] = state
	}
	switch state.classify(entry, now) {
	case fromEarlier:
		return false, nil
	case missingStart:
		r.Invalidate(name, end, now)
		return false, &StartMissingError{Known: state.start}
	}
	if state.setCurrent(entry.Server) {
		r.changeOffset = max(r.changeOffset, end)
	}
	return true, nil
}

// Remove applies the deletion of a server's record before the offset end. It affects the
// current incarnation, whichever incarnation wrote the record.
func (r *Registry) Remove(name site.ServerName, end store.Offset, now time.Time) {
	state := r.byName[name]
	if state == nil {
		return
	}
	if state.present && now.Before(r.graceEnd) {
		state.missing = true
		return
	}
	r.markLeft(state, end, now)
}

// Invalidate applies an invalid record. The server of that name is removed at once, because
// the record shows that another writer uses its key.
func (r *Registry) Invalidate(name site.ServerName, end store.Offset, now time.Time) {
	if state := r.byName[name]; state != nil {
		r.markLeft(state, end, now)
	}
}

func (r *Registry) markLeft(state *incarnations, end store.Offset, now time.Time) {
	if state.markLeft(now) {
		r.changeOffset = max(r.changeOffset, end)
	}
}

// nextExpiry returns the time until servers that are kept after an outage expire, at most
// limit.
func (r *Registry) nextExpiry(now time.Time, limit time.Duration) time.Duration {
	if left := r.graceEnd.Sub(now); left > 0 {
		return min(left, limit)
	}
	return limit
}

// Servers returns the registry as of now. Of the servers that are kept after an outage, it
// contains only those in current, because another node may already have reported that the
// rest have left.
func (r *Registry) Servers(current map[site.ServerID]site.Server, now time.Time) view.Servers {
	servers := make(map[site.ServerID]site.Server, len(r.byName))
	for name, state := range r.byName {
		if state.missing && !now.Before(r.graceEnd) {
			r.markLeft(state, r.next, now)
		}
		if !state.present {
			if now.Sub(state.leftAt) > retainIncarnations {
				delete(r.byName, name)
			}
			continue
		}
		if _, isCurrent := current[state.current.ID]; isCurrent || !state.missing {
			servers[state.current.ID] = state.current
		}
	}
	return view.Servers{Offset: r.changeOffset, Servers: servers}
}
