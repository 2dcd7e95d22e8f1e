package view

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// mostStarts is how many starts of servers that have left are remembered. Names
// are rarely reused after that many others.
const mostStarts = 1000

// starts holds the start of the latest known run of each server, also after it has
// left. A node whose register began with a snapshot may know a late write of an
// earlier run as the newest record, and tell it with a newer offset.
type starts map[site.ServerName]time.Time

// latest returns the runs of a newer register, with the shown run in place of an
// earlier one.
func (s starts) latest(told, shown map[site.ServerID]site.Server) map[site.ServerID]site.Server {
	shownRuns := map[site.ServerName]site.Server{}
	for id, server := range shown {
		shownRuns[id.Name()] = server
	}
	latest := make(map[site.ServerID]site.Server, len(told))
	for id, server := range told {
		name, start := id.Name(), id.Start()
		if start.Before(s[name]) && !server.ClockSetBack {
			if run, isShown := shownRuns[name]; isShown {
				latest[run.ID] = run
			}
			continue
		}
		if !start.IsZero() {
			s[name] = start
		}
		latest[id] = server
	}
	s.forget(latest)
	return latest
}

// forget drops the starts of servers that have left, once they are many.
func (s starts) forget(present map[site.ServerID]site.Server) {
	if len(s) <= mostStarts+len(present) {
		return
	}
	clear(s)
	for id := range present {
		if start := id.Start(); !start.IsZero() {
			s[id.Name()] = start
		}
	}
}
