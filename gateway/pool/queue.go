package pool

import (
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Bounds of waiting.
const (
	// maxWaiting bounds the requests that wait for one service at a node.
	maxWaiting = 400
	// minRetryAfter and mostRetryAfter bound when a refused caller is asked to
	// come back: not before a request or two could have ended, and not so late
	// that it has no time left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
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
	Passed   bool            // it has been counted for the share of its server
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
		return atMostOnceFailureCost
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
	Share      float64 // that the server has of the requests for its keys, for OverShare
}

// Reason says why a request is refused.
type Reason string

// Reasons of a refusal.
const (
	NoServer  Reason = "no server"                 // none may run it
	TooLong   Reason = "wait longer than its time" // it would not be answered in time
	QueueFull Reason = "queue full"
	OverShare Reason = "wanted beyond what its server runs" // other requests for its keys are sent
)

// Ask gives a request a place at once, lets it wait, or refuses it.
func (p *Pool) Ask(w *Waiter, now time.Time) (admission *Admission, refusal *Refusal) {
	if !p.hasServer(w, now) {
		return nil, &Refusal{Reason: NoServer, RetryAfter: p.retryAfter(0)}
	}
	if refusal := p.refuseOverShare(w, now); refusal != nil {
		return nil, refusal
	}
	if len(p.queue) == 0 || w.Only != "" {
		if m := p.pick(w, now); m != nil {
			return p.admit(w, m, now), nil
		}
	}
	wait := p.expectedWait(w, p.countAhead(w, now), now)
	if now.Add(wait).After(w.Deadline) {
		return nil, &Refusal{Reason: TooLong, RetryAfter: p.retryAfter(wait)}
	}
	if len(p.queue) >= maxWaiting {
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
	if m.inFlight() == 0 {
		m.unansweredSince = now
	}
	m.recordSend(now)
	return &Admission{Waiter: w, Server: m.Server}
}

// countAhead counts the waiters that go before a request to the same servers.
func (p *Pool) countAhead(w *Waiter, now time.Time) int {
	count := 0
	for _, other := range p.queue {
		if other != w && (w.Only == "" || other.Only == w.Only) && !p.precedes(w, other, now) {
			count++
		}
	}
	return count
}

// expectedWait estimates for how long a request waits and runs when so many go
// before it: this node's requests end at the rate of its limits by the times
// that servers take, which include their own queues.
func (p *Pool) expectedWait(w *Waiter, ahead int, now time.Time) time.Duration {
	return p.throughputFor(w, now).wait(ahead)
}

// throughput is how fast this node's requests end at the servers that may run one.
type throughput struct {
	rate           float64 // requests a second
	slowestSeconds float64 // seconds that one takes at the slowest of them
}

func (p *Pool) throughputFor(w *Waiter, now time.Time) throughput {
	if w.Only != "" {
		m := p.members[w.Only]
		if m == nil || m.Draining {
			return throughput{}
		}
		seconds := p.serviceTime(m, now)
		return throughput{rate: m.rate(seconds), slowestSeconds: seconds}
	}
	var total throughput
	for _, m := range p.order {
		if m.Draining || !w.accepts(m.ID) {
			continue
		}
		seconds := p.serviceTime(m, now)
		total.rate += m.rate(seconds)
		total.slowestSeconds = max(total.slowestSeconds, seconds)
	}
	return total
}

func (t throughput) wait(ahead int) time.Duration {
	if t.rate == 0 {
		return maxRetryAfter
	}
	return time.Duration((float64(ahead+1)/t.rate + t.slowestSeconds/2) * float64(time.Second))
}

// rate returns how many requests a second of this node end at a server where one
// takes so many seconds.
func (m *member) rate(seconds float64) float64 {
	if m.limit >= 1 {
		return math.Floor(m.limit) / seconds
	}
	return 1 / (seconds + m.pauseDuration(seconds).Seconds())
}

// Evict takes the waiters out of the queue that would not be answered in time
// any more, and returns them with when to come back. It answers a key that
// becomes busy while requests wait: what comes later can still be answered by
// its objective and goes first, and what is left behind should hear so at once.
//
// Waiters are looked at in the order in which they are sent, so that one that gives
// its turn up counts for none behind it, and each is compared with others only by
// the sort: it is done at the end of every request, and a look at every pair took
// 2.1 ms with 400 waiters, most of a weak VM's processor at 50 requests a second.
func (p *Pool) Evict(now time.Time) []Eviction {
	var evictions []Eviction
	throughputs := map[site.ServerID]throughput{}
	ahead := map[site.ServerID]int{} // waiters kept so far, by their only server
	kept := 0
	for _, w := range p.inSendOrder(now) {
		if refusal := p.refuseOverShare(w, now); refusal != nil {
			evictions = append(evictions, Eviction{Waiter: w, Refusal: *refusal})
			continue
		}
		waitersAhead := kept
		if w.Only != "" {
			waitersAhead = ahead[w.Only]
		}
		wait := p.cachedThroughput(throughputs, w, now).wait(waitersAhead)
		if !now.Add(time.Duration(evictionWaitFactor * float64(wait))).After(w.Deadline) {
			kept++
			ahead[w.Only]++
			continue
		}
		evictions = append(evictions, Eviction{Waiter: w, Refusal: Refusal{Reason: TooLong, RetryAfter: p.retryAfter(wait)}})
	}
	p.removeAll(evictions)
	return evictions
}

// inSendOrder returns the waiters in the order in which they are sent.
func (p *Pool) inSendOrder(now time.Time) []*Waiter {
	type queued struct {
		*Waiter
		inTime bool
	}
	entries := make([]queued, 0, len(p.queue))
	for _, w := range p.queue {
		entries = append(entries, queued{w, p.inTime(w, now)})
	}
	slices.SortStableFunc(entries, func(a, b queued) int { return compareWaiters(a.Waiter, b.Waiter, a.inTime, b.inTime) })
	order := make([]*Waiter, 0, len(entries))
	for _, t := range entries {
		order = append(order, t.Waiter)
	}
	return order
}

// cachedThroughput returns the pace of a waiter's servers, which is the same for all that
// may go to the same ones.
func (p *Pool) cachedThroughput(cache map[site.ServerID]throughput, w *Waiter, now time.Time) throughput {
	if w.Only == "" && len(w.Not) > 0 {
		return p.throughputFor(w, now)
	}
	t, exists := cache[w.Only]
	if !exists {
		t = p.throughputFor(w, now)
		cache[w.Only] = t
	}
	return t
}

func (p *Pool) removeAll(evictions []Eviction) {
	if len(evictions) == 0 {
		return
	}
	removed := make(map[*Waiter]bool, len(evictions))
	for _, e := range evictions {
		removed[e.Waiter] = true
	}
	p.queue = slices.DeleteFunc(p.queue, func(w *Waiter) bool { return removed[w] })
}

// evictionWaitFactor is the share of the expected wait that must still fit the time
// left: the estimate is rough, and a place given up is not had again.
const evictionWaitFactor = 0.7

// Eviction refuses a request that waited.
type Eviction struct {
	Waiter  *Waiter
	Refusal Refusal
}

// retryAfter returns when a refused caller should come back, spread so that
// callers that were refused together return one after the other.
func (p *Pool) retryAfter(wait time.Duration) time.Duration {
	after := max(minRetryAfter, wait/2)
	after += time.Duration(p.random.Int64N(int64(after)))
	return min(after, maxRetryAfter)
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
		if first != nil && !p.precedes(w, first, now) {
			continue
		}
		if m := p.pick(w, now); m != nil {
			first, server = w, m
		}
	}
	return first, server
}

func (p *Pool) precedes(a, b *Waiter, now time.Time) bool {
	return compareWaiters(a, b, p.inTime(a, now), p.inTime(b, now)) < 0
}

// compareWaiters orders two waiters by when they are sent: the more urgent first,
// of these what can still be answered by its target, then what came first.
func compareWaiters(a, b *Waiter, aInTime, bInTime bool) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case aInTime != bInTime && aInTime:
		return -1
	case aInTime != bInTime:
		return 1
	}
	return a.Since.Compare(b.Since)
}

// inTimeFactor is how many usual times must be left for a request to count as
// in time: about four of five requests take less.
const inTimeFactor = 1.3

// inTime reports whether a request sent now would be answered by its target.
func (p *Pool) inTime(w *Waiter, now time.Time) bool {
	mean := p.times().mean
	if m := p.members[w.Only]; m != nil && m.meanSeconds > 0 {
		mean = m.meanSeconds
	}
	return now.Add(time.Duration(inTimeFactor * mean * float64(time.Second))).Before(w.Target)
}

// Try gives a request a place only if there is one at once and nobody waits for it.
func (p *Pool) Try(w *Waiter, now time.Time) (site.Server, bool) {
	if slices.ContainsFunc(p.queue, func(other *Waiter) bool { return other.Only == w.Only }) {
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
