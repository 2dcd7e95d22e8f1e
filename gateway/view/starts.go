package view

import (
	"maps"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// mostStarts is how many starts of servers that have left are remembered. Names
	// are rarely reused after that many others.
	mostStarts = 1000
	// toldFor is for how long an earlier run must be told without a break to be
	// taken. A wrong register is put right by the next write of the later run, after
	// 0.87 s, or when the entry of an ended one lapses, after three heartbeats.
	toldFor = 5 * time.Second
)

// starts holds the start of the latest known run of each server, also after it has
// left. A node whose register began with a snapshot may know a late write of an
// earlier run as the newest record, and tell it with a newer offset.
type starts struct {
	known map[site.ServerName]time.Time
	held  map[site.ServerName]heldRun
}

// heldRun is an earlier run that is told and not taken.
type heldRun struct {
	server site.Server
	since  time.Time
}

func newStarts() starts {
	return starts{known: map[site.ServerName]time.Time{}, held: map[site.ServerName]heldRun{}}
}

// latest returns the runs of a newer register, with the shown run in place of an
// earlier one.
func (s *starts) latest(told, shown map[site.ServerID]site.Server, now time.Time) map[site.ServerID]site.Server {
	heldBefore := s.held
	s.held = map[site.ServerName]heldRun{}
	for id, server := range told {
		if _, isShown := shown[id]; isShown {
			continue // it has been taken
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

// inPlaceOfHeld returns the runs that are told, with the shown ones in place of those
// that are not taken.
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

// hold keeps an earlier run that is told, since when it is.
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

// settle puts the runs that have been told for long into a register that is shown.
// It returns nil if there are none.
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

// forget drops the starts of servers that have left, once they are many.
func (s *starts) forget(present map[site.ServerID]site.Server) {
	if len(s.known) <= mostStarts+len(present) {
		return
	}
	clear(s.known)
	for _, server := range present {
		s.take(server)
	}
}
