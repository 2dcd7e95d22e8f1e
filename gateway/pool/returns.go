package pool

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
)

const (
	// honoredShare is the share of the time left for which a caller waits at most, whatever delay is stated.
	honoredShare = 1.0 / 3
	// maxSchedules bounds the priorities with a schedule of their own.
	maxSchedules = 16
	// returnReserve is the credit of a share that first attempts leave to callers that waited for the stated delay. Such a caller is
	// then admitted with a probability that is higher by as much.
	returnReserve = 0.2
	// atOnceReserve is the credit that callers that returned at once leave to all others. Each of them asks so often, and
	// at so many nodes, that a smaller reserve would let most of them pass.
	atOnceReserve = 1.0
)

// isMixed reports whether the order of retries applies: on sites with mixed services.
func (p *Pool) isMixed(now time.Time) bool {
	return p.guided.IsMixed() && now.Sub(p.guided.receivedAt) < guidance.Validity
}

// schedule returns the promises to callers of a priority, or nil if there are too many priorities.
func (p *Pool) schedule(priority int) *returns.Schedule {
	s := p.schedules[priority]
	if s == nil && len(p.schedules) < maxSchedules {
		if p.schedules == nil {
			p.schedules = map[int]*returns.Schedule{}
		}
		s = new(returns.Schedule)
		p.schedules[priority] = s
	}
	return s
}

// setOrder sets the order of a request among those of its priority, and counts it if it is the first attempt of its
// caller.
func (p *Pool) setOrder(w *Waiter, now time.Time) {
	w.order = returns.FirstAttempt
	if !p.isMixed(now) {
		return
	}
	w.order = returns.OrderOf(w.Waited, minRetryAfter)
	if s := p.schedule(w.Priority); s != nil && w.order == returns.FirstAttempt && len(w.Tried) == 0 {
		s.CountFirst(now)
	}
}

// countAdmitted counts a request that gets its first slot.
func (p *Pool) countAdmitted(w *Waiter, now time.Time) {
	if len(w.Tried) > 0 || !p.isMixed(now) {
		return
	}
	if s := p.schedule(w.Priority); s != nil {
		s.CountAdmitted(now)
	}
}

// refuseForCapacity refuses a request that would have to wait for some time. On a mixed site, the caller is asked to return
// when there is room.
func (p *Pool) refuseForCapacity(w *Waiter, reason Reason, wait time.Duration, now time.Time) *Refusal {
	if promise := p.PromiseReturn(w, now); promise != nil {
		return &Refusal{Reason: reason, RetryAfter: promise.After, Promise: promise}
	}
	return &Refusal{Reason: reason, RetryAfter: p.retryAfter(wait)}
}

// PromiseReturn returns when the caller of a refused request should return, or nil on a site that is not mixed.
func (p *Pool) PromiseReturn(w *Waiter, now time.Time) *returns.Promise {
	if !p.isMixed(now) {
		return nil
	}
	s := p.schedule(w.Priority)
	if s == nil {
		return nil
	}
	left := w.Deadline.Sub(now)
	bounds := returns.Bounds{
		Least:   max(minRetryAfter, p.MeanServiceTime()),
		Most:    min(time.Duration(honoredShare*float64(left)), maxRetryAfter),
		Longest: maxRetryAfter,
	}
	// A caller that can still be answered in time is asked to return in time or late, not in between: a late request goes
	// behind those that are in time.
	if inTime := w.Target.Sub(now) - time.Duration(inTimeFactor*float64(p.MeanServiceTime())); inTime > bounds.Least {
		bounds.Most = min(bounds.Most, inTime)
	}
	promise := s.Promise(bounds, p.random.Float64(), now)
	return &promise
}

// neededCredit returns the credit of a share that a request needs to be sent: least for callers that waited for the stated delay, and
// always more for requests that cannot be answered in time, which must not take the place of those that can.
func (p *Pool) neededCredit(order returns.Order, inTime bool, now time.Time) float64 {
	needed := 1.0
	if !inTime {
		needed = maxCredit
	}
	if !p.isMixed(now) {
		return needed
	}
	switch order {
	case returns.FirstAttempt:
		needed += returnReserve
	case returns.ReturnedAtOnce:
		needed += atOnceReserve
	}
	return needed
}

// creditBound returns the bound of the unused part of a share: what the last in order needs.
func (p *Pool) creditBound(now time.Time) float64 {
	return p.neededCredit(returns.ReturnedAtOnce, false, now)
}

// initialReserve returns the credit that is reserved for returning callers when a share starts, so that first attempts
// start as on a site that is not mixed.
func (p *Pool) initialReserve() float64 {
	if p.guided.IsMixed() {
		return returnReserve
	}
	return 0
}

// Returns returns the schedules of returning callers by priority.
func (p *Pool) Returns(now time.Time) map[int]returns.State {
	states := map[int]returns.State{}
	for priority, s := range p.schedules {
		states[priority] = s.State(now)
	}
	return states
}
