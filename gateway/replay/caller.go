package replay

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
)

// caller is who waits for an answer, over all of its retries.
type caller struct {
	arrived       time.Time
	priority      int
	retriesLeft   int // left
	retriesAtOnce bool
}

const (
	// immediateRetryFactor is how much more often those return who return at once.
	immediateRetryFactor = 4
	// immediateRetryDelay is what a new connection takes.
	immediateRetryDelay = 5 * time.Millisecond
	// maxRetryAfterDivisor is the part of the time left up to which callers wait as told.
	maxRetryAfterDivisor = 3
	// serverRetryAfter is what callers are told whose request servers refused.
	serverRetryAfter = 100 * time.Millisecond
	// maxSends is how often a node sends one request at most.
	maxSends = 3
)

// retryLater has a refused caller ask again if it has retries and time left.
func (r *replay) retryLater(c caller, retryAfter time.Duration) {
	left := c.arrived.Add(r.Patient).Sub(r.now)
	if c.retriesLeft == 0 || left <= 0 {
		return
	}
	c.retriesLeft--
	wait := min(retryAfter, left/maxRetryAfterDivisor)
	if c.retriesAtOnce {
		wait = immediateRetryDelay
	}
	r.schedule(wait, func() { r.sendRequest(c) })
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
	if !r.canResend(ended) {
		r.retryLater(ended.caller, serverRetryAfter)
		return
	}
	again := *ended
	w := *ended.waiter
	w.Not = append(append(w.Not[:0:0], w.Not...), ended.id)
	again.waiter = &w
	r.admit(&again)
}

func (r *replay) canResend(ended *request) bool {
	if r.Resends == nil || ended.sends >= maxSends || r.now.Sub(ended.arrived) >= r.Patient {
		return false
	}
	return r.Policy == NoBudget || r.budgets[ended.node].Spend(r.Nodes, r.now)
}
