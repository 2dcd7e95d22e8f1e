package follow

import (
	"maps"
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

// Register folds the records of the servers' topic. Servers whose entry is
// missing after an outage of the store keep their place for returnTime.
type Register struct {
	servers  map[site.ServerID]site.Server
	missing  map[site.ServerID]bool // dropped, but kept until returned
	next     store.Offset
	change   store.Offset // after the last record that changed anything
	failing  time.Time    // of the first failed read in a row; zero: the latest succeeded
	returned time.Time    // end of the time after an outage
}

// NewRegister returns a register that has read nothing.
func NewRegister() *Register {
	return &Register{servers: map[site.ServerID]site.Server{}, missing: map[site.ServerID]bool{}}
}

// Snapshot takes the newest record of each key.
func (r *Register) Snapshot(servers map[site.ServerID]site.Server, end store.Offset, now time.Time) {
	r.noteRead(now)
	for id := range r.servers {
		if _, exists := servers[id]; !exists {
			r.drop(id, end, now)
		}
	}
	for _, server := range servers {
		r.Put(server, end)
	}
	r.next = max(r.next, end)
	r.change = max(r.change, 1)
}

// Read notes that a number of records was read, up to an offset.
func (r *Register) Read(records int, end store.Offset, now time.Time) {
	if float64(records) >= writtenMeanwhile*float64(len(r.servers)) {
		r.failing = time.Time{}
	}
	r.noteRead(now)
	r.next = end
}

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

// Put takes a server's record before the offset end.
func (r *Register) Put(server site.Server, end store.Offset) {
	delete(r.missing, server.ID)
	before, exists := r.servers[server.ID]
	same := server
	same.WarmUp = before.WarmUp // counts down with every record
	if exists && same == before {
		return
	}
	r.servers[server.ID] = server
	r.change = max(r.change, end)
}

// Drop takes the removal of a server's record before the offset end.
func (r *Register) Drop(id site.ServerID, end store.Offset, now time.Time) { r.drop(id, end, now) }

func (r *Register) drop(id site.ServerID, end store.Offset, now time.Time) {
	if _, exists := r.servers[id]; !exists {
		return
	}
	if now.Before(r.returned) {
		r.missing[id] = true
		return
	}
	delete(r.servers, id)
	r.change = max(r.change, end)
}

// Servers returns the register as of now. Of the servers that keep their place
// after an outage only those in shown are in it: another node may have told
// already that the others have left.
func (r *Register) Servers(shown map[site.ServerID]site.Server, now time.Time) view.Servers {
	if !now.Before(r.returned) && len(r.missing) > 0 {
		for id := range r.missing {
			delete(r.servers, id)
		}
		clear(r.missing)
		r.change = max(r.change, r.next)
	}
	servers := maps.Clone(r.servers)
	for id := range r.missing {
		if _, isShown := shown[id]; !isShown {
			delete(servers, id)
		}
	}
	return view.Servers{Offset: r.change, Servers: servers}
}
