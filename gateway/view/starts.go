package view

import (
	"maps"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// maxStarts is the number of servers that have left whose start times are kept. Names
	// are rarely reused after that many other servers.
	mostStarts = 1000
	// acceptAfter is how long an earlier incarnation must be reported without interruption
	// to be accepted. An incorrect registry is corrected by the next write of the later
	// incarnation, after 0.87 s, or when the entry of an ended one expires, after three
	// heartbeats.
	toldFor = 5 * time.Second
)

// latestStarts holds the start time of the latest known incarnation of each server, also
// after it has left. A node whose registry started with a snapshot may have a late write of
// an earlier incarnation as the newest record, and report it with a newer offset.
type starts struct {
	known map[site.ServerName]time.Time
	held  map[site.ServerName]heldRun
}

// deferredServer is an earlier incarnation that is reported and not accepted yet.
type heldRun struct {
	server site.Server
	since  time.Time
}

func newStarts() starts {
	return starts{known: map[site.ServerName]time.Time{}, held: map[site.ServerName]heldRun{}}
}

// merge returns the servers of a newer registry, with the current incarnation in place of a
// reported earlier one.
func (s *starts) latest(told, shown map[site.ServerID]site.Server, now time.Time) map[site.ServerID]site.Server {
	heldBefore := s.held
	s.held = map[site.ServerName]heldRun{}
	for id, server := range told {
		if _, isShown := shown[id]; isShown {
			continue // accepted before
		}
		if id.Start().Before(s.known[id.Name()]) && !server.ClockSetBack {
			s.hold(server, heldBefore[id.Name()], now)
			continue
		}
		s.take(server)
	}
	latest := told
	if len(s.held) > 0 {
		latest = s.inPlaceOfHeld(told, shown)
	}
	s.forget(latest)
	return latest
}

// replaceDeferred returns the reported servers, with the current incarnations in place of
// the deferred ones.
func (s *starts) inPlaceOfHeld(told, shown map[site.ServerID]site.Server) map[site.ServerID]site.Server {
	latest := maps.Clone(told)
	for _, held := range s.held {
		delete(latest, held.server.ID)
	}
	for id, run := range shown {
		if _, isHeld := s.held[id.Name()]; isHeld {
			latest[id] = run
		}
	}
	return latest
}

// deferServer defers a reported earlier incarnation, and keeps the time of its first
// report.
func (s *starts) hold(server site.Server, before heldRun, now time.Time) {
	if before.server.ID == server.ID {
		now = before.since
	}
	s.held[server.ID.Name()] = heldRun{server: server, since: now}
}

func (s *starts) take(server site.Server) {
	if start := server.ID.Start(); !start.IsZero() {
		s.known[server.ID.Name()] = start
	}
}

// accept adds the incarnations that have been reported for acceptAfter to the current
// registry. It returns nil if there are none.
func (s *starts) settle(shown map[site.ServerID]site.Server, now time.Time) map[site.ServerID]site.Server {
	due := map[site.ServerName]site.Server{}
	for name, held := range s.held {
		if now.Sub(held.since) > toldFor {
			due[name] = held.server
			delete(s.held, name)
		}
	}
	if len(due) == 0 {
		return nil
	}
	settled := make(map[site.ServerID]site.Server, len(shown))
	for id, server := range shown {
		if _, isDue := due[id.Name()]; !isDue {
			settled[id] = server
		}
	}
	for name, server := range due {
		delete(s.known, name)
		s.take(server)
		settled[server.ID] = server
	}
	return settled
}

// prune removes the start times of servers that have left if there are too many.
func (s *starts) forget(present map[site.ServerID]site.Server) {
	if len(s.known) <= mostStarts+len(present) {
		return
	}
	clear(s.known)
	for _, server := range present {
		s.take(server)
	}
}
