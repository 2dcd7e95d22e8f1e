package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Bounds of the time for which a server gets no requests after a failed connection.
const (
	minBlock = 500 * time.Millisecond
	maxBlock = 2 * time.Second
	// probeInterval is the minimum time between two probe connections to a slow server.
	probeInterval = 400 * time.Millisecond
)

// blocked reports whether a connection to the server has recently failed.
func (m *member) blocked(now time.Time) bool { return now.Before(m.blockedUntil) }

// block stops requests to a server after a failed connection, for longer after each
// consecutive failure.
func (m *member) block(now time.Time) {
	pause := min(minBlock<<min(m.failedConnects, 4), maxBlock)
	m.failedConnects++
	m.blockedUntil = now.Add(pause)
}

// Unblock ends the pauses of all servers after failed connections.
func (p *Pool) Unblock() {
	for _, m := range p.order {
		m.blockedUntil, m.failedConnects = time.Time{}, 0
	}
}

// ShouldProbe reports whether a connection to a slow server should be tried, and whether one
// has recently failed.
func (p *Pool) ShouldProbe(id site.ServerID, now time.Time) (mustProbe, isBlocked bool) {
	m := p.members[id]
	if m == nil || m.blocked(now) {
		return false, m != nil
	}
	if now.Sub(m.probedAt) < probeInterval {
		return false, false
	}
	m.probedAt = now
	return true, false
}

// RecordProbe records whether a probe connection was accepted.
func (p *Pool) RecordProbe(id site.ServerID, reached bool, now time.Time) {
	if m := p.members[id]; m != nil && !reached {
		m.block(now)
	}
}
