package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// RateLimits limits the requests to cold servers.
type RateLimits struct {
	// Rate is how many requests a second a cold server takes from all nodes together; 0: it has
	// no limit of its own.
	Rate float64
	// IsCounter reports whether this node counts the requests to a server while it is cold; only
	// such a node sends any.
	IsCounter func(site.Server) bool
}

// SetRateLimits replaces the limits on requests to cold servers. They apply from the next Update on.
func (p *Pool) SetRateLimits(limits RateLimits) { p.rateLimits = limits }

// HasCounter reports whether a server is cold and takes only some requests a second.
func (p *Pool) HasCounter(id site.ServerID, now time.Time) bool {
	m := p.members[id]
	return m != nil && p.hasCounter(m, now)
}

func (p *Pool) hasCounter(m *member, now time.Time) bool {
	return p.rateLimits.Rate > 0 && now.Before(m.coldUntil)
}

// mayCount reports whether this node may send a request to a cold server within its budget.
func (m *member) mayCount(w *Waiter) bool { return m.isCounter || w.CountedServer == m.ID }

// admitsRate reports whether a server is warm, or its budget of requests lets one be sent now.
func (p *Pool) admitsRate(m *member, w *Waiter, now time.Time) bool {
	return !p.hasCounter(m, now) || m.mayCount(w) && m.budget.Has(p.rateLimits.Rate, now)
}

// spendRate charges a request that is sent now to the budget of a cold server.
func (p *Pool) spendRate(m *member, now time.Time) {
	if p.hasCounter(m, now) {
		m.budget.Spend(p.rateLimits.Rate, now)
	}
}

// rateOf returns how many requests a second of this node end at a server.
func (p *Pool) rateOf(m *member, w *Waiter, seconds float64, now time.Time) float64 {
	rate := m.rate(seconds)
	switch {
	case !p.hasCounter(m, now):
		return rate
	case m.mayCount(w):
		return min(rate, p.rateLimits.Rate)
	}
	return 0
}

// limitedUntil returns when a cold server may next take a request of this node. It returns the
// zero time for a warm server.
func (p *Pool) limitedUntil(m *member, now time.Time) time.Time {
	if !p.hasCounter(m, now) {
		return time.Time{}
	}
	if next := m.budget.NextAt(p.rateLimits.Rate, now); m.isCounter && next.Before(m.coldUntil) {
		return next
	}
	return m.coldUntil
}
