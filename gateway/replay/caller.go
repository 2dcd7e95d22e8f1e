package replay

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
)

// caller is who waits for an answer, over all of its retries.
type caller struct {
	arrived  time.Time
	priority int
	retries  int // left
	atOnce   bool
}

const (
	// atOnceFactor is how much more often those return who return at once.
	atOnceFactor = 4
	// atOnceGap is what a new connection takes.
	atOnceGap = 5 * time.Millisecond
	// honoured is the part of the time left up to which callers wait as told.
	honoured = 3
	// serverRetryAfter is what callers are told whose request servers refused.
	serverRetryAfter = 100 * time.Millisecond
	// mostSends is how often a node sends one request at most.
	mostSends = 3
)

// comeBack has a refused caller ask again if it has retries and time left.
func (r *replay) comeBack(c caller, retryAfter time.Duration) {
	left := c.arrived.Add(r.Patient).Sub(r.now)
	if c.retries == 0 || left <= 0 {
		return
	}
	c.retries--
	wait := min(retryAfter, left/honoured)
	if c.atOnce {
		wait = atOnceGap
	}
	r.at(wait, func() { r.ask(c) })
}

// newBudget returns a node's budget of resends, or nil.
func (r *replay) newBudget() *budget.Budget {
	if r.Resends == nil {
		return nil
	}
	return budget.New(*r.Resends)
}

// resend sends a request that has not run to another server if the node may, and
// tells the caller to come back otherwise.
func (r *replay) resend(ended *request) {
	if !r.mayResend(ended) {
		r.comeBack(ended.caller, serverRetryAfter)
		return
	}
	again := *ended
	w := *ended.waiter
	w.Not = append(append(w.Not[:0:0], w.Not...), ended.id)
	again.waiter = &w
	r.place(&again)
}

func (r *replay) mayResend(ended *request) bool {
	if r.Resends == nil || ended.sends >= mostSends || r.now.Sub(ended.arrived) >= r.Patient {
		return false
	}
	return r.Policy == NoBudget || r.budgets[ended.node].Spend(r.Nodes, r.now)
}

// share is a node's fixed part of the only server, in the order of arrival.
type share struct {
	inFlight int
	queue    []*pool.Waiter
}

// firstLimitFactor is how much of the slots the first limits add up to, as in
// package pool.
const firstLimitFactor = 1.5

// firstLimit is a node's limit, rounded up, when it knows nothing of the load.
func (r *replay) firstLimit() int {
	fair := firstLimitFactor * float64(r.servers[0].Slots) / float64(r.Nodes)
	whole := int(fair)
	if float64(whole) < fair {
		whole++
	}
	return max(1, whole)
}

// placeInShare sends a request if the fixed limit lets it, else it waits.
func (r *replay) placeInShare(next *request) {
	s := &r.shares[next.node]
	if s.inFlight < r.firstLimit() {
		s.inFlight++
		r.reach(next)
		return
	}
	r.waiting[next.waiter] = next
	s.queue = append(s.queue, next.waiter)
}

// leaveShare ends a request within the fixed limit and sends the next one whose
// caller has not left.
func (r *replay) leaveShare(node int) {
	s := &r.shares[node]
	s.inFlight--
	for len(s.queue) > 0 {
		w := s.queue[0]
		s.queue = s.queue[1:]
		next := r.waiting[w]
		delete(r.waiting, w)
		if r.now.Sub(next.arrived) < r.Patient {
			s.inFlight++
			r.at(0, func() { r.reach(next) })
			return
		}
	}
}
