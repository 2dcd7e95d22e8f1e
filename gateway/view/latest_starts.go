package view

import (
	"maps"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// maxStarts is the number of servers that have left whose start times are kept. Names
	// are rarely reused after that many other servers.
	maxStarts = 1000
	// acceptAfter is how long an earlier incarnation must be reported without interruption
	// to be accepted. An incorrect registry is corrected by the next write of the later
	// incarnation, after 0.87 s, or when the entry of an ended one expires, after three
	// heartbeats.
	acceptAfter = 5 * time.Second
)

// latestStarts holds the start time of the latest known incarnation of each server, also
// after it has left. A node whose registry started with a snapshot may have a late write of
// an earlier incarnation as the newest record, and report it with a newer offset.
type latestStarts struct {
	known    map[site.ServerName]time.Time
	deferred map[site.ServerName]deferredServer
}

// deferredServer is an earlier incarnation that is reported and not accepted yet.
type deferredServer struct {
	server site.Server
	since  time.Time
}

func newLatestStarts() latestStarts {
	return latestStarts{known: map[site.ServerName]time.Time{}, deferred: map[site.ServerName]deferredServer{}}
}

// merge returns the servers of a newer registry, with the current incarnation in place of a
// reported earlier one.
func (s *latestStarts) merge(reported, current map[site.ServerID]site.Server, now time.Time) map[site.ServerID]site.Server {
	deferredBefore := s.deferred
	s.deferred = map[site.ServerName]deferredServer{}
	for id, server := range reported {
		if _, isCurrent := current[id]; isCurrent {
			continue // accepted before
		}
		if id.Start().Before(s.known[id.Name()]) && !server.ClockSetBack {
			s.deferServer(server, deferredBefore[id.Name()], now)
			continue
		}
		s.noteStart(server)
	}
	merged := reported
	if len(s.deferred) > 0 {
		merged = s.replaceDeferred(reported, current)
	}
	s.prune(merged)
	return merged
}

// replaceDeferred returns the reported servers, with the current incarnations in place of
// the deferred ones.
func (s *latestStarts) replaceDeferred(reported, current map[site.ServerID]site.Server) map[site.ServerID]site.Server {
	replaced := maps.Clone(reported)
	for _, deferred := range s.deferred {
		delete(replaced, deferred.server.ID)
	}
	for id, server := range current {
		if _, isDeferred := s.deferred[id.Name()]; isDeferred {
			replaced[id] = server
		}
	}
	return replaced
}

// deferServer defers a reported earlier incarnation, and keeps the time of its first
// report.
func (s *latestStarts) deferServer(server site.Server, before deferredServer, now time.Time) {
	if before.server.ID == server.ID {
		now = before.since
	}
	s.deferred[server.ID.Name()] = deferredServer{server: server, since: now}
}

func (s *latestStarts) noteStart(server site.Server) {
	if start := server.ID.Start(); !start.IsZero() {
		s.known[server.ID.Name()] = start
	}
}

// accept adds the incarnations that have been reported for acceptAfter to the current
// registry. It returns nil if there are none.
func (s *latestStarts) accept(current map[site.ServerID]site.Server, now time.Time) map[site.ServerID]site.Server {
	due := map[site.ServerName]site.Server{}
	for name, deferred := range s.deferred {
		if now.Sub(deferred.since) > acceptAfter {
			due[name] = deferred.server
			delete(s.deferred, name)
		}
	}
	if len(due) == 0 {
		return nil
	}
	accepted := make(map[site.ServerID]site.Server, len(current))
	for id, server := range current {
		if _, isDue := due[id.Name()]; !isDue {
			accepted[id] = server
		}
	}
	for name, server := range due {
		delete(s.known, name)
		s.noteStart(server)
		accepted[server.ID] = server
	}
	return accepted
}

// prune removes the start times of servers that have left if there are too many.
func (s *latestStarts) prune(present map[site.ServerID]site.Server) {
	if len(s.known) <= maxStarts+len(present) {
		return
	}
	clear(s.known)
	for _, server := range present {
		s.noteStart(server)
	}
}
