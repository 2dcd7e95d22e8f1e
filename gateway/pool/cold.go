package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// WarmUp limits the requests to cold servers.
type WarmUp struct {
	// Rate is how many requests a second a cold server takes from all nodes together; 0: it has
	// no limit of its own.
	Rate float64
	// IsCounter reports whether this node counts the requests to a server while it is cold; only
	// such a node sends any.
	IsCounter func(site.Server) bool
}

// SetWarmUp replaces the limits on requests to cold servers. They apply from the next Update on.
func (p *Pool) SetWarmUp(w WarmUp) { p.warmUp = w }

// IsLimitedCold reports whether a server is cold and takes only some requests a second.
func (p *Pool) IsLimitedCold(id site.ServerID, now time.Time) bool {
	m := p.members[id]
	return m != nil && p.isLimitedCold(m, now)
}

func (p *Pool) isLimitedCold(m *member, now time.Time) bool {
	return p.warmUp.Rate > 0 && now.Before(m.coldUntil)
}

// mayCount reports whether this node may send a request to a cold server within its budget.
func (m *member) mayCount(w *Waiter) bool { return m.isCounted || w.CountedServer == m.ID }

// admitsCold reports whether a server is warm, or its budget of requests lets one be sent now.
func (p *Pool) admitsCold(m *member, w *Waiter, now time.Time) bool {
	return !p.isLimitedCold(m, now) || m.mayCount(w) && m.coldBudget.Has(p.warmUp.Rate, now)
}

// spendCold charges a request that is sent now to the budget of a cold server.
func (p *Pool) spendCold(m *member, now time.Time) {
	if p.isLimitedCold(m, now) {
		m.coldBudget.Spend(p.warmUp.Rate, now)
	}
}

// rateOf returns how many requests a second of this node end at a server.
func (p *Pool) rateOf(m *member, w *Waiter, seconds float64, now time.Time) float64 {
	rate := m.rate(seconds)
	switch {
	case !p.isLimitedCold(m, now):
		return rate
	case m.mayCount(w):
		return min(rate, p.warmUp.Rate)
	}
	return 0
}

// coldUntilNext returns when a cold server may next take a request of this node. It returns the
// zero time for a warm server.
func (p *Pool) coldUntilNext(m *member, now time.Time) time.Time {
	if !p.isLimitedCold(m, now) {
		return time.Time{}
	}
	if next := m.coldBudget.NextAt(p.warmUp.Rate, now); m.isCounted && next.Before(m.coldUntil) {
		return next
	}
	return m.coldUntil
}
