package replay

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
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
