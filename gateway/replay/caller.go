package replay

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
)

// caller waits for an answer to its request, over all of its retries.
type caller struct {
	arrived       time.Time
	priority      int
	route         *Route // nil: the load has no routes
	retriesLeft   int
	retriesAtOnce bool
	refusals      int // by nodes
	owner         int // server of its key
}

const (
	// immediateRetryFactor is how many times more retries callers have that retry
	// immediately.
	immediateRetryFactor = 4
	// immediateRetryDelay is the time for a new connection.
	immediateRetryDelay = 5 * time.Millisecond
	// maxRetryAfterDivisor limits the retry delay that callers accept: the time left until
	// their timeout divided by it.
	maxRetryAfterDivisor = 3
	// serverRetryAfter is the retry delay for callers whose request was refused by servers.
	serverRetryAfter = 100 * time.Millisecond
	// maxSends is how often a node sends one request at most.
	maxSends = 3
)

// retryLater schedules the retry of a refused caller that has retries and time left.
func (r *replay) retryLater(c caller, retryAfter time.Duration) {
	left := c.arrived.Add(r.timeoutOf(c)).Sub(r.now)
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

// newBudget returns a node's retry budget, or nil.
func (r *replay) newBudget() *budget.Budget {
	if r.Resends == nil {
		return nil
	}
	return budget.New(*r.Resends, time.Time{})
}

// resend sends a request that has not run to another server if the node may resend, and has
// the caller retry otherwise.
func (r *replay) resend(ended *request) {
	if !r.canResend(ended) {
		r.retryLater(ended.caller, serverRetryAfter)
		return
	}
	resent := *ended
	w := *ended.waiter
	w.Tried = append(append(w.Tried[:0:0], w.Tried...), ended.id)
	resent.waiter = &w
	r.admit(&resent)
}

func (r *replay) canResend(ended *request) bool {
	if r.Resends == nil || ended.sends >= maxSends || r.now.Sub(ended.arrived) >= r.timeoutOf(ended.caller) {
		return false
	}
	return r.Policy == NoBudget || r.budgets[ended.node].Spend(r.Nodes, r.now)
}
