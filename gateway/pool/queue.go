package pool

import (
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/returns"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Bounds of the queue.
const (
	// maxWaiting bounds the requests that wait for one service at a node.
	maxWaiting = 400
	// minRetryAfter and maxRetryAfter bound the retry delay sent to a refused caller.
	minRetryAfter = returns.MinDelay
	maxRetryAfter = returns.MaxDelay
	// allLeavingRetryAfter is the mean retry delay while all servers leave: others that register are known
	// to all nodes after about a second.
	allLeavingRetryAfter = time.Second
)

// Waiter is a request that needs a server.
type Waiter struct {
	Route          string          // name of its route
	Priority       int             // 0 is the most urgent
	ArrivedAt      time.Time       // arrival time
	Target         time.Time       // time by which a response has its full value
	Deadline       time.Time       // time after which a response has no value
	OnlyServer     site.ServerID   // the only server that may run it; empty: any
	Tried          []site.ServerID // incarnations of servers that have been tried
	AtMostOnce     bool            // the request must not run twice; if its server fails, it is lost
	ChargedToShare bool            // it has been charged to the share of its server
	// ChargedToAdmission reports that it has been charged to the admitted share of its priority, by this node or by the
	// one that forwarded it.
	ChargedToAdmission bool
	// CountedServer is a server whose requests this node counts, to the knowledge of the node that
	// forwarded the request; empty: none.
	CountedServer site.ServerID
	// Checked are servers whose load has just been checked for this request. The best of them
	// gets it if one has room.
	Checked []site.ServerID
	// MayRunIn reports whether servers of a zone may get the request; nil: of any zone.
	MayRunIn func(zone string) bool

	work       float64 // by the guidance with workSerial
	workSerial uint64
	// Waited is the time since the caller's first attempt; 0: this is the first, or it is not known.
	Waited time.Duration
	order  returns.Order // among the requests of the priority, since Submit
	// IsForColdKey reports that the server has taken the key over without a handover, so that the request takes longer.
	IsForColdKey bool
}

// accepts reports whether an incarnation of a server may get the request. A new incarnation
// of a tried server is treated as tried: it has just started, often because it failed under
// the request, and the route bounds the number of servers that are tried.
func (w *Waiter) accepts(id site.ServerID) bool {
	if w.OnlyServer != "" {
		return w.OnlyServer == id
	}
	return !slices.ContainsFunc(w.Tried, func(tried site.ServerID) bool { return tried.Name() == id.Name() })
}

// mayRunAt reports whether a server may get the request now.
func (w *Waiter) mayRunAt(m *member, now time.Time) bool {
	isAllowed := w.MayRunIn == nil || w.MayRunIn(m.Zone)
	return isAllowed && m.MayServe(w.OnlyServer != "", now) && w.accepts(m.ID)
}

func (w *Waiter) failureCost() time.Duration {
	if w.AtMostOnce {
		return atMostOnceFailureCost
	}
	return failureCost
}

// Admission assigns a waiter a slot at a server.
type Admission struct {
	Waiter *Waiter
	Server site.Server
}

// Refusal describes why a request gets no slot, and when the caller should retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	Share      float64 // of the requests for the server's keys, for OverShare; of its priority, for BeyondAdmission
	// IsUnreachable reports, for NoServer, that a server may run the request but accepted no
	// connection lately.
	IsUnreachable bool
	// CountedServer is, for Limited, a server whose requests another node counts.
	CountedServer site.ServerID
	// Promise is why the caller should return after RetryAfter; nil: not by the schedule of returns.
	Promise *returns.Promise
}

// Reason is the cause of a refusal.
type Reason string

// Reasons of a refusal.
const (
	NoServer    Reason = "no server"                 // no server may run it
	WaitTooLong Reason = "wait longer than its time" // it would miss its deadline
	QueueFull   Reason = "queue full"
	Resting     Reason = "servers rest"                       // they have asked this node for it
	Limited     Reason = "servers limit their requests"       // other nodes count them
	OverShare   Reason = "wanted beyond what its server runs" // other requests for its keys are sent
	// BeyondAdmission: the servers of the service cannot run all requests, and this priority gets only a share.
	BeyondAdmission Reason = "beyond the admitted share of its priority"
)

// Submit assigns a request a slot at once, queues it, or refuses it.
func (p *Pool) Submit(w *Waiter, now time.Time) (admission *Admission, refusal *Refusal) {
	p.setOrder(w, now)
	p.noteForwarded(w, now)
	p.noteLeft(w, now)
	p.noteClass(w, now)
	if !p.hasServer(w, now) {
		return nil, p.noServerRefusal(w, now)
	}
	if refusal := p.refuseResting(w, now); refusal != nil {
		return nil, refusal
	}
	if refusal := p.refuseBeyondAdmission(w, now); refusal != nil {
		return nil, refusal
	}
	if refusal := p.refuseCounted(w, now); refusal != nil {
		return nil, refusal
	}
	if refusal := p.refuseOverShare(w, now); refusal != nil {
		return nil, refusal
	}
	if len(p.queue) == 0 || w.OnlyServer != "" || p.mayOvertake(w, now) {
		if m := p.pick(w, now); m != nil {
			return p.admit(w, m, now), nil
		}
	}
	ahead := p.countAhead(w, now)
	wait := p.freeSlotWait(w, p.expectedWait(w, ahead, now), ahead, now)
	if now.Add(wait).After(w.Deadline) {
		return nil, p.refuseForCapacity(w, WaitTooLong, wait, now)
	}
	if len(p.queue) >= maxWaiting {
		return nil, p.refuseForCapacity(w, QueueFull, wait, now)
	}
	p.queue = append(p.queue, w)
	return nil, nil
}

// noServerRefusal refuses a request that no server may run now.
func (p *Pool) noServerRefusal(w *Waiter, now time.Time) *Refusal {
	var wait time.Duration
	if p.AllLeave() {
		wait = allLeavingRetryAfter
	}
	return &Refusal{Reason: NoServer, RetryAfter: p.retryAfter(wait), IsUnreachable: p.hasBlockedServer(w, now)}
}

// Remove removes a request from the queue.
func (p *Pool) Remove(w *Waiter) {
	p.queue = slices.DeleteFunc(p.queue, func(other *Waiter) bool { return other == w })
}

func (p *Pool) hasServer(w *Waiter, now time.Time) bool {
	return slices.ContainsFunc(p.order, func(m *member) bool { return w.mayRunAt(m, now) && !m.blocked(now) })
}

// hasBlockedServer reports whether a server may run a request but accepted no connection lately.
func (p *Pool) hasBlockedServer(w *Waiter, now time.Time) bool {
	return slices.ContainsFunc(p.order, func(m *member) bool { return w.mayRunAt(m, now) && m.blocked(now) })
}

func (p *Pool) admit(w *Waiter, m *member, now time.Time) *Admission {
	if m.inFlight() == 0 {
		m.unansweredSince = now
	}
	p.noteSend(m, w, now)
	m.recordSend(now)
	p.noteWork(m, w, now)
	p.spendRate(m, w, now)
	p.countAdmitted(w, now)
	return &Admission{Waiter: w, Server: m.Server}
}

// countAhead counts the waiters that precede w. For a request that only one server may run,
// it counts only the waiters for that server.
func (p *Pool) countAhead(w *Waiter, now time.Time) int {
	count := 0
	for _, other := range p.queue {
		if other != w && (w.OnlyServer == "" || other.OnlyServer == w.OnlyServer) && !p.precedes(w, other, now) {
			count++
		}
	}
	return count
}

// expectedWait estimates the waiting and service time of a request behind the given number of
// waiters. This node's requests end at the rate given by its limits and the servers' service
// times, which include the servers' own queues.
func (p *Pool) expectedWait(w *Waiter, ahead int, now time.Time) time.Duration {
	return p.throughputFor(w, now).wait(ahead)
}

// throughput is the rate at which this node's requests end at the servers that may run a
// given request.
type throughput struct {
	rate           float64 // requests per second
	slowestSeconds float64 // time of the request at the slowest of the servers
	slowest        *member // that server; nil: none
	work           float64 // of the request; 0: without guidance
}

func (p *Pool) throughputFor(w *Waiter, now time.Time) throughput {
	if w.OnlyServer != "" {
		m := p.members[w.OnlyServer]
		if m == nil || !w.mayRunAt(m, now) {
			return throughput{}
		}
		work := p.work(w, now)
		mean, stay := p.staysOf(m, work, now)
		return throughput{rate: p.rateOf(m, w, mean, now), slowestSeconds: stay, slowest: m, work: work}
	}
	total := throughput{work: p.work(w, now)}
	for _, m := range p.order {
		if !w.mayRunAt(m, now) {
			continue
		}
		mean, stay := p.staysOf(m, total.work, now)
		total.rate += p.rateOf(m, w, mean, now)
		if stay > total.slowestSeconds {
			total.slowestSeconds, total.slowest = stay, m
		}
	}
	return total
}

func (t throughput) wait(ahead int) time.Duration {
	if t.rate == 0 { // no server: the wait is unknown
		return maxRetryAfter
	}
	return time.Duration((float64(ahead+1)/t.rate + t.slowestSeconds/2) * float64(time.Second))
}

// rate returns how many requests per second of this node end at a server with the given
// service time in seconds.
func (m *member) rate(seconds float64) float64 {
	if m.limit >= 1 {
		return math.Floor(m.limit) / seconds
	}
	return 1 / (seconds + m.pauseDuration(seconds).Seconds())
}

// retryAfter returns the retry delay of a refused caller.
func (p *Pool) retryAfter(wait time.Duration) time.Duration { return returns.Delay(wait, p.random) }

// Admit returns the waiters that can be sent now, ordered by priority, then by whether they
// can still be answered by their target, then by the order of returning callers, then by arrival time.
func (p *Pool) Admit(now time.Time) []Admission {
	var admissions []Admission
	for {
		w, m := p.next(now)
		if w == nil {
			return admissions
		}
		p.Remove(w)
		admissions = append(admissions, *p.admit(w, m, now))
	}
}

func (p *Pool) next(now time.Time) (*Waiter, *member) {
	var first *Waiter
	var server *member
	noFreeSlot := false // for less urgent requests
	for _, w := range p.queue {
		if first != nil && !p.precedes(w, first, now) || noFreeSlot && p.needsFreeSlot(w, now) {
			continue
		}
		if m := p.pick(w, now); m != nil {
			first, server = w, m
		} else {
			noFreeSlot = noFreeSlot || w.isUnrestricted() && p.needsFreeSlot(w, now)
		}
	}
	return first, server
}

func (p *Pool) precedes(a, b *Waiter, now time.Time) bool {
	return compareWaiters(a, b, p.inTime(a, now), p.inTime(b, now)) < 0
}

// compareWaiters orders two waiters by priority, then by whether they can still be answered
// by their target, then by the order of returning callers, then by arrival time.
func compareWaiters(a, b *Waiter, aInTime, bInTime bool) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case aInTime != bInTime && aInTime:
		return -1
	case aInTime != bInTime:
		return 1
	case a.order != b.order:
		return int(a.order - b.order)
	}
	return a.ArrivedAt.Compare(b.ArrivedAt)
}

// inTimeFactor is the number of mean service times that must be left for a request to be
// treated as in time: about four of five requests take less.
const inTimeFactor = 1.3

// inTime reports whether a request sent now would be answered by its target.
func (p *Pool) inTime(w *Waiter, now time.Time) bool {
	if w.IsForColdKey {
		return false // one takes the place of several for other keys, and is mostly late
	}
	mean, isGuided := p.guidedStay(w, now)
	if !isGuided {
		mean = p.times().mean
		if m := p.members[w.OnlyServer]; m != nil && m.meanSeconds > 0 {
			mean = m.meanSeconds
		}
	}
	return now.Add(time.Duration(inTimeFactor * mean * float64(time.Second))).Before(w.Target)
}

// TryAdmit assigns a request a slot only if one is free at once and no request waits for it.
func (p *Pool) TryAdmit(w *Waiter, now time.Time) (site.Server, bool) {
	if slices.ContainsFunc(p.queue, func(other *Waiter) bool { return other.OnlyServer == w.OnlyServer }) {
		return site.Server{}, false
	}
	m := p.pick(w, now)
	if m == nil {
		return site.Server{}, false
	}
	return p.admit(w, m, now).Server, true
}

// MeanServiceTime returns the mean service time of a request.
func (p *Pool) MeanServiceTime() time.Duration {
	return time.Duration(p.times().mean * float64(time.Second))
}
