package pool

import (
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Bounds of waiting.
const (
	// mostWaiting bounds the requests that wait for one service at a node.
	mostWaiting = 400
	// leastRetryAfter and mostRetryAfter bound when a refused caller is asked to
	// come back: not before a request or two could have ended, and not so late
	// that it has no time left.
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
)

// Waiter is a request that wants a server.
type Waiter struct {
	Priority int             // 0 is the most urgent
	Since    time.Time       // when it came
	Target   time.Time       // by when an answer is worth most
	Deadline time.Time       // by when an answer is worth anything
	Only     site.ServerID   // the one server that may run it; empty: any
	Not      []site.ServerID // runs of servers that have been tried
	Once     bool            // it must not run twice, so that a failure of its server loses it
}

// accepts reports whether a run of a server may get the request. A new run of a
// server that was tried counts as tried: it has just started, often because it
// failed under the request, and the route bounds the servers that are tried.
func (w *Waiter) accepts(id site.ServerID) bool {
	if w.Only != "" {
		return w.Only == id
	}
	return !slices.ContainsFunc(w.Not, func(tried site.ServerID) bool { return tried.Name() == id.Name() })
}

func (w *Waiter) failureCost() time.Duration {
	if w.Once {
		return onceCost
	}
	return failureCost
}

// Admission gives a waiter a place at a server.
type Admission struct {
	Waiter *Waiter
	Server site.Server
}

// Refusal tells why a request does not wait, and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason says why a request is refused.
type Reason string

// Reasons of a refusal.
const (
	NoServer  Reason = "no server"                 // none may run it
	TooLong   Reason = "wait longer than its time" // it would not be answered in time
	QueueFull Reason = "queue full"
)

// Ask gives a request a place at once, lets it wait, or refuses it.
func (p *Pool) Ask(w *Waiter, now time.Time) (admission *Admission, refusal *Refusal) {
	if !p.hasServer(w, now) {
		return nil, &Refusal{Reason: NoServer, RetryAfter: p.retryAfter(0)}
	}
	if len(p.queue) == 0 || w.Only != "" {
		if m := p.pick(w, now); m != nil {
			return p.admit(w, m, now), nil
		}
	}
	wait := p.expectedWait(w, p.ahead(w, now), now)
	if now.Add(wait).After(w.Deadline) {
		return nil, &Refusal{Reason: TooLong, RetryAfter: p.retryAfter(wait)}
	}
	if len(p.queue) >= mostWaiting {
		return nil, &Refusal{Reason: QueueFull, RetryAfter: p.retryAfter(wait)}
	}
	p.queue = append(p.queue, w)
	return nil, nil
}

// Leave takes a request that waits no longer out of the queue.
func (p *Pool) Leave(w *Waiter) {
	p.queue = slices.DeleteFunc(p.queue, func(other *Waiter) bool { return other == w })
}

func (p *Pool) hasServer(w *Waiter, now time.Time) bool {
	return slices.ContainsFunc(p.order, func(m *member) bool { return !m.Draining && !m.blocked(now) && w.accepts(m.ID) })
}

func (p *Pool) admit(w *Waiter, m *member, now time.Time) *Admission {
	if m.inFlight == 0 {
		m.silentSince = now
	}
	m.inFlight++
	return &Admission{Waiter: w, Server: m.Server}
}

// ahead counts the waiters that go before a request to the same servers.
func (p *Pool) ahead(w *Waiter, now time.Time) int {
	count := 0
	for _, other := range p.queue {
		if other != w && (w.Only == "" || other.Only == w.Only) && !p.before(w, other, now) {
			count++
		}
	}
	return count
}

// expectedWait estimates for how long a request waits and runs when so many go
// before it: this node's requests end at the rate of its limits by the times
// that servers take, which include their own queues.
func (p *Pool) expectedWait(w *Waiter, ahead int, now time.Time) time.Duration {
	rate, slowest := 0.0, 0.0
	for _, m := range p.order {
		if m.Draining || !w.accepts(m.ID) {
			continue
		}
		taken := p.usual(m, now)
		rate += m.rate(taken)
		slowest = max(slowest, taken)
	}
	if rate == 0 {
		return mostRetryAfter
	}
	return time.Duration((float64(ahead+1)/rate + slowest/2) * float64(time.Second))
}

// rate returns how many requests a second of this node end at a server where one
// takes so many seconds.
func (m *member) rate(taken float64) float64 {
	if m.limit >= 1 {
		return math.Floor(m.limit) / taken
	}
	return 1 / (taken + m.pauseAfter(taken).Seconds())
}

// Evict takes the waiters out of the queue that would not be answered in time
// any more, and returns them with when to come back. It answers a key that
// becomes busy while requests wait: what comes later can still be answered by
// its objective and goes first, and what is left behind should hear so at once.
func (p *Pool) Evict(now time.Time) []Eviction {
	var evictions []Eviction
	for _, w := range slices.Clone(p.queue) {
		wait := p.expectedWait(w, p.ahead(w, now), now)
		if now.Add(time.Duration(evictShare * float64(wait))).After(w.Deadline) {
			p.Leave(w)
			evictions = append(evictions, Eviction{Waiter: w, Refusal: Refusal{Reason: TooLong, RetryAfter: p.retryAfter(wait)}})
		}
	}
	return evictions
}

// evictShare is the share of the expected wait that must still fit the time
// left: the estimate is rough, and a place given up is not had again.
const evictShare = 0.7

// Eviction refuses a request that waited.
type Eviction struct {
	Waiter  *Waiter
	Refusal Refusal
}

// retryAfter returns when a refused caller should come back, spread so that
// callers that were refused together return one after the other.
func (p *Pool) retryAfter(wait time.Duration) time.Duration {
	after := max(leastRetryAfter, wait/2)
	after += time.Duration(p.random.Int64N(int64(after)))
	return min(after, mostRetryAfter)
}

// Admit returns the waiters that can be sent now. Those that can still be
// answered by their target go first, then by priority and time of arrival.
func (p *Pool) Admit(now time.Time) []Admission {
	var admissions []Admission
	for {
		w, m := p.next(now)
		if w == nil {
			return admissions
		}
		p.Leave(w)
		admissions = append(admissions, *p.admit(w, m, now))
	}
}

func (p *Pool) next(now time.Time) (*Waiter, *member) {
	var first *Waiter
	var server *member
	for _, w := range p.queue {
		if first != nil && !p.before(w, first, now) {
			continue
		}
		if m := p.pick(w, now); m != nil {
			first, server = w, m
		}
	}
	return first, server
}

func (p *Pool) before(a, b *Waiter, now time.Time) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	inTimeA, inTimeB := p.inTime(a, now), p.inTime(b, now)
	if inTimeA != inTimeB {
		return inTimeA
	}
	return a.Since.Before(b.Since)
}

// inTimeFactor is how many usual times must be left for a request to count as
// in time: about four of five requests take less.
const inTimeFactor = 1.3

// inTime reports whether a request sent now would be answered by its target.
func (p *Pool) inTime(w *Waiter, now time.Time) bool {
	mean := p.times().mean
	if m := p.members[w.Only]; m != nil && m.mean > 0 {
		mean = m.mean
	}
	return now.Add(time.Duration(inTimeFactor * mean * float64(time.Second))).Before(w.Target)
}

// Try gives a request a place only if there is one at once and nobody waits.
func (p *Pool) Try(w *Waiter, now time.Time) (site.Server, bool) {
	if len(p.queue) > 0 {
		return site.Server{}, false
	}
	m := p.pick(w, now)
	if m == nil {
		return site.Server{}, false
	}
	return p.admit(w, m, now).Server, true
}

// TypicalTime returns how long a request usually takes.
func (p *Pool) TypicalTime() time.Duration {
	return time.Duration(p.times().mean * float64(time.Second))
}
