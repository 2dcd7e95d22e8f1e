package view

import (
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
	shownRuns := map[site.ServerName]site.Server{}
	for id, server := range shown {
		shownRuns[id.Name()] = server
	}
	heldBefore := s.held
	s.held = map[site.ServerName]heldRun{}
	latest := make(map[site.ServerID]site.Server, len(told))
	for id, server := range told {
		name := id.Name()
		if id.Start().Before(s.known[name]) && !server.ClockSetBack {
			s.hold(server, heldBefore[name], now)
			if run, isShown := shownRuns[name]; isShown {
				latest[run.ID] = run
			}
			continue
		}
		s.take(server)
		latest[id] = server
	}
	s.forget(latest)
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
