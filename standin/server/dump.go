package server

import (
	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/ticket"
)

// Stats returns what the server counted.
func (s *Server) Stats() Stats {
	stats := s.counters.read()
	s.mu.Lock()
	counted, boot := s.listener, s.life.boot
	s.mu.Unlock()
	stats.Boot = string(boot)
	stats.Draining = s.draining.Load()
	stats.Frozen = s.gate.closed()
	if counted != nil {
		counted.addTo(&stats)
	}
	return stats
}

// addTo fills in the connection counts.
func (l *listener) addTo(stats *Stats) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats.Connections = len(l.open)
	stats.PeakConnections = l.peak
	stats.RefusedConnections = l.refused
	stats.TotalConnections = l.total
}

// Dump is the server's state for people to read.
type Dump struct {
	Stats   Stats
	Faults  Faults
	Holder  lease.Dump
	Tickets ticket.Dump
}

// Dump returns the server's state. It blocks while the server is frozen.
func (s *Server) Dump() any {
	run := s.current()
	now := run.now()
	run.mu.Lock()
	holder := run.holder.Dump(now)
	run.mu.Unlock()
	return Dump{Stats: s.Stats(), Faults: s.faults.get(), Holder: holder, Tickets: run.tickets.Dump()}
}
