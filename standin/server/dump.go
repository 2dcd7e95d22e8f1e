package server

import (
	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/ticket"
)

// Stats returns a snapshot of the server's counters.
func (s *Server) Stats() Stats {
	stats := s.counters.snapshot()
	s.mu.Lock()
	counted, boot := s.listener, s.incarnation.boot
	s.mu.Unlock()
	stats.Boot = string(boot)
	stats.Draining = s.draining.Load()
	stats.Frozen = s.gate.closed()
	if counted != nil {
		counted.addTo(&stats)
	}
	return stats
}

// addTo sets the connection counters.
func (l *listener) addTo(stats *Stats) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats.Connections = len(l.open)
	stats.PeakConnections = l.peak
	stats.RefusedConnections = l.refused
	stats.TotalConnections = l.total
}

// Dump is the server's state in a human-readable form.
type Dump struct {
	Stats   Stats
	Faults  Faults
	Holder  lease.Dump
	Tickets ticket.Dump
}

// Dump returns the server's state. It blocks while the server is frozen.
func (s *Server) Dump() any {
	inc := s.current()
	now := inc.now()
	inc.mu.Lock()
	holder := inc.holder.Dump(now)
	inc.mu.Unlock()
	return Dump{Stats: s.Stats(), Faults: s.faults.get(), Holder: holder, Tickets: inc.tickets.Dump()}
}
