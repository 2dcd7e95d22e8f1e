package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// minCountedRate is how many requests a second the node that counts them sends at least to a
	// server that names a limit, to find out when it is lifted.
	minCountedRate = 0.2
	// limitConfirmInterval is the age of the latest answer of a server that names a limit from which on
	// a request is sent there to confirm it.
	limitConfirmInterval = 4 * time.Second
	// unconfirmedWait is for how long a node leaves the requests to a server to the nodes that count them, while
	// no answer confirms its limit. Then it sends its part itself.
	unconfirmedWait = 15 * time.Second
	// maxSavedPart is the time without a request for which a node that sends its part keeps what it does not use.
	maxSavedPart = time.Second
	// limitNoticeDelay is the time after which a node knows of the requests that others have sent to a server
	// with a limit: one is answered, and the answer passed on.
	limitNoticeDelay = 4 * time.Second
)

// RateLimits limits the requests to servers that take only some a second from all nodes together: cold
// ones, and those that name a limit in their answers.
type RateLimits struct {
	// ColdRate is how many requests a second a cold server takes; 0: it has no limit of its own.
	ColdRate float64
	// Named returns the limit that a server names; nil: none names any.
	Named func(site.ServerID) (limit site.NamedLimit, isNamed bool)
	// IsCounter reports whether this node is one of a number of nodes that count the requests to a
	// server.
	IsCounter func(server site.Server, count int) bool
}

// namedLimit is the limit that a server names. It stands until an answer says otherwise: that nobody has sent
// requests, or reached the server, tells nothing of it.
type namedLimit struct {
	rate    float64
	at      time.Time // of the latest answer that says so
	isNamed bool      // false: there is none
}

// countedRate returns how many requests a second all nodes together send to a server that names a limit.
func (m *member) countedRate() float64 { return max(m.named.rate, minCountedRate) }

// SetRateLimits replaces the limits. They apply from the next Update or ApplyRateLimits on.
func (p *Pool) SetRateLimits(limits RateLimits) { p.rateLimits = limits }

// ApplyRateLimits applies the limits to all servers.
func (p *Pool) ApplyRateLimits(now time.Time) {
	p.hasNamedLimits = false
	for _, m := range p.members {
		p.applyRateLimits(m, now)
	}
}

// applyRateLimits applies the limits to a server.
func (p *Pool) applyRateLimits(m *member, now time.Time) {
	counted, before := m.countsNamed, m.named
	m.named = namedLimit{}
	if p.rateLimits.Named != nil {
		if limit, isNamed := p.rateLimits.Named(m.ID); isNamed {
			m.named = namedLimit{rate: limit.Rate, at: limit.At, isNamed: true}
		}
	}
	if !m.named.at.Equal(before.at) {
		m.leftToOthersSince, m.sendsPart = time.Time{}, false
	}
	// With hundreds of nodes and servers it takes milliseconds to find the counters of each server.
	m.countsCold = p.rateLimits.ColdRate > 0 && p.isCounter(m, 1)
	m.countsNamed = m.named.isNamed && p.isCounter(m, p.senders(m))
	p.hasNamedLimits = p.hasNamedLimits || m.named.isNamed
	if m.countsNamed && !counted {
		m.sendsPart = false
		p.beginCounting(m, now)
	}
}

// beginCounting empties the budget of a server whose requests this node begins to count: with a full one, each
// change of the nodes that count would add to what the server gets. What no node has used is kept.
func (p *Pool) beginCounting(m *member, now time.Time) {
	unusedSince := m.named.at.Add(limitNoticeDelay)
	if unusedSince.After(now) {
		unusedSince = now
	}
	m.budget.Exhaust(m.countedRate()/float64(p.senders(m)), unusedSince)
}

// noteForwarded begins to count the requests to a server for the node that forwarded one, unless this node
// counts them by its own list of members, or has done so lately for another.
func (p *Pool) noteForwarded(w *Waiter, now time.Time) {
	m := p.members[w.CountedServer]
	if m == nil || m.countsNamed || !m.named.isNamed {
		return
	}
	if now.Sub(m.forwardedAt) > limitNoticeDelay {
		p.beginCounting(m, now)
	}
	m.forwardedAt = now
}

// noteLeft records which servers get a request only by way of the nodes that count.
func (p *Pool) noteLeft(w *Waiter, now time.Time) {
	if !p.hasNamedLimits {
		return
	}
	for _, m := range p.order {
		switch {
		case !m.named.isNamed || !w.mayRunAt(m, now) || m.blocked(now):
		case m.sendsPart:
			m.forgoUnused(now)
		case p.rateLimit(m, w, now) == 0:
			p.leaveToOthers(m, now)
		}
	}
}

// NoteLeft records that a request for a server is left to the nodes that count, or would be.
func (p *Pool) NoteLeft(id site.ServerID, now time.Time) {
	if m := p.members[id]; m != nil && m.named.isNamed && !m.countsNamed {
		p.leaveToOthers(m, now)
	}
}

// leaveToOthers records that a request is left to the nodes that count. If no answer has confirmed the limit for
// unconfirmedWait since the first one, they do not seem to reach the server, and this node sends its part.
func (p *Pool) leaveToOthers(m *member, now time.Time) {
	switch {
	case m.leftToOthersSince.IsZero():
		m.leftToOthersSince = now
	case !m.sendsPart && now.Sub(m.leftToOthersSince) >= unconfirmedWait:
		m.sendsPart, m.partWantedAt = true, now
		// The other nodes begin at about the same time, and must not send at the same time.
		part := m.countedRate() / float64(p.nodes)
		m.budget.Exhaust(part, now.Add(-time.Duration(p.random.Float64()/part*float64(time.Second))))
	}
}

// forgoUnused lets the part of this node lapse for the time in which it wanted to send no request: what all nodes
// save while nobody reaches the server would exceed the limit once they do.
func (m *member) forgoUnused(now time.Time) {
	m.budget.Postpone(now.Sub(m.partWantedAt) - maxSavedPart)
	m.partWantedAt = now
}

// mayHaveLimits reports whether a server may have a limit. Without one, waiting requests are not
// compared with servers.
func (p *Pool) mayHaveLimits() bool { return p.hasNamedLimits || p.rateLimits.ColdRate > 0 }

func (p *Pool) isCounter(m *member, count int) bool {
	return p.rateLimits.IsCounter != nil && p.rateLimits.IsCounter(m.Server, count)
}

// senders returns how many nodes send requests to a server that names a limit: as many as have one a second
// each, since the bursts of more would exceed the limit.
func (p *Pool) senders(m *member) int { return min(max(int(m.named.rate), 1), p.nodes) }

// Counters returns how many nodes count the requests to a server and send any; 0: all nodes may.
func (p *Pool) Counters(id site.ServerID, now time.Time) int {
	if m := p.members[id]; m != nil {
		return p.counters(m, now)
	}
	return 0
}

// counters returns how many nodes count the requests to a server. A node that is not in its own list of
// members, as after its start, does not know what its part is, and leaves the requests to others.
func (p *Pool) counters(m *member, now time.Time) int {
	switch {
	case p.isLimitedCold(m, now):
		return 1
	case m.named.isNamed && !m.sendsPart && (p.senders(m) < p.nodes || !m.countsNamed):
		return p.senders(m)
	}
	return 0
}

// IsLimitedCold reports whether a server is cold and takes only some requests a second.
func (p *Pool) IsLimitedCold(id site.ServerID, now time.Time) bool {
	m := p.members[id]
	return m != nil && p.isLimitedCold(m, now)
}

func (p *Pool) isLimitedCold(m *member, now time.Time) bool {
	return p.rateLimits.ColdRate > 0 && now.Before(m.coldUntil)
}

// mayCount reports whether this node counts the requests to a server, by its own list of members or by
// that of the node that forwarded the request.
func (p *Pool) mayCount(m *member, w *Waiter, now time.Time) bool {
	isCounter := m.countsNamed
	if p.isLimitedCold(m, now) {
		isCounter = m.countsCold
	}
	return isCounter || w.CountedServer == m.ID
}

// rateLimit returns how many requests a second this node may send to a server; infinite: it has no limit.
func (p *Pool) rateLimit(m *member, w *Waiter, now time.Time) float64 {
	counters := p.counters(m, now)
	if counters > 0 && !p.mayCount(m, w, now) {
		return 0
	}
	limit := math.Inf(1)
	if p.isLimitedCold(m, now) {
		limit = p.rateLimits.ColdRate
	}
	if m.named.isNamed {
		limit = min(limit, m.countedRate()/float64(p.parts(m, w)))
	}
	return limit
}

// parts returns into how many parts, one for each node that sends, the limit that a server names is divided.
func (p *Pool) parts(m *member, w *Waiter) int {
	if m.sendsPart && w.CountedServer != m.ID {
		return p.nodes
	}
	return p.senders(m)
}

// admitsRate reports whether the limit of a server lets a request be sent now.
func (p *Pool) admitsRate(m *member, w *Waiter, now time.Time) bool {
	limit := p.rateLimit(m, w, now)
	return math.IsInf(limit, 1) || limit > 0 && m.budget.Has(limit, now)
}

// spendRate charges a request that is sent now to the limit of a server.
func (p *Pool) spendRate(m *member, w *Waiter, now time.Time) {
	if limit := p.rateLimit(m, w, now); limit > 0 && !math.IsInf(limit, 1) {
		m.budget.Spend(limit, now)
	}
}

// rateOf returns how many requests a second of this node end at a server.
func (p *Pool) rateOf(m *member, w *Waiter, seconds float64, now time.Time) float64 {
	return min(m.rate(seconds), p.rateLimit(m, w, now))
}

// limitedUntil returns when a server with a limit may next take a request of this node. It returns the
// zero time for a server without one.
func (p *Pool) limitedUntil(m *member, now time.Time) time.Time {
	isCold := p.isLimitedCold(m, now)
	if !isCold && !m.named.isNamed {
		return time.Time{}
	}
	limit := p.rateLimit(m, p.countedWaiter(m), now)
	switch {
	case limit == 0 && m.named.isNamed:
		return m.sendsPartFrom(now)
	case limit == 0:
		return m.coldUntil
	}
	next := m.budget.NextAt(limit, now)
	if !m.named.isNamed && m.coldUntil.Before(next) {
		return m.coldUntil
	}
	return next
}

// sendsPartFrom returns when this node sends its part of the requests to a server, if no answer confirms its limit.
func (m *member) sendsPartFrom(now time.Time) time.Time {
	if m.leftToOthersSince.IsZero() {
		return now.Add(unconfirmedWait)
	}
	return m.leftToOthersSince.Add(unconfirmedWait)
}

// countedWaiter returns a waiting request that was forwarded because this node counts the requests to a
// server, or one that was not if there is none.
func (p *Pool) countedWaiter(m *member) *Waiter {
	for _, w := range p.queue {
		if w.CountedServer == m.ID {
			return w
		}
	}
	return &Waiter{}
}

// unconfirmed returns a server whose limit this node should confirm by a request, or nil.
func (p *Pool) unconfirmed(w *Waiter, now time.Time) *member {
	if !p.hasNamedLimits {
		return nil
	}
	for _, m := range p.order {
		isDue := m.named.isNamed && now.Sub(m.named.at) >= limitConfirmInterval && m.inFlight() == 0
		if isDue && p.canSend(m, w, now) {
			return m
		}
	}
	return nil
}

// countedElsewhere returns a server to whose counter the request must go, because all servers that may
// run it have a limit that another node counts. found is false if there is another server.
func (p *Pool) countedElsewhere(w *Waiter, now time.Time) (server site.ServerID, found bool) {
	if !p.mayHaveLimits() {
		return "", false
	}
	candidates := p.order
	if w.OnlyServer != "" {
		candidates = nil
		if m := p.members[w.OnlyServer]; m != nil {
			candidates = []*member{m}
		}
	}
	total := 0.0
	for _, m := range candidates {
		if !w.mayRunAt(m, now) || m.blocked(now) {
			continue
		}
		if p.rateLimit(m, w, now) > 0 {
			return "", false
		}
		rate := m.countedRate()
		if total += rate; p.random.Float64()*total < rate { // each with the probability of its part
			server = m.ID
		}
	}
	return server, total > 0
}

// refuseCounted returns a refusal if only nodes that count the requests to the servers may send any, or
// nil.
func (p *Pool) refuseCounted(w *Waiter, now time.Time) *Refusal {
	server, found := p.countedElsewhere(w, now)
	if !found {
		return nil
	}
	return &Refusal{Reason: Limited, RetryAfter: p.retryAfter(0), CountedServer: server}
}
