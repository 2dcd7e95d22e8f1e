package router

import "time"

// callerTimeouts records the timeouts that the callers of a route state and determines the
// usual one. A caller that states less is retrying after a refusal, so its latency objective
// is measured from its first attempt. This matters for keys whose demand exceeds the capacity
// of their owner: half of the callers retry then, too late to be answered in time, and would
// take the slots of callers that still can be.
type callerTimeouts struct {
	stated   [maxStatedTimeouts]statedTimeout
	recorded int
}

// statedTimeout is a timeout that callers stated and the number of times they did.
type statedTimeout struct {
	timeout time.Duration
	count   int
}

const (
	// maxStatedTimeouts is the number of distinct timeouts that are kept. Timeouts that many
	// callers state stay; those that remain after a refusal all differ and replace each other.
	maxStatedTimeouts = 4
	// decayInterval is the number of recorded timeouts after which all counts are halved, so
	// that a change of the route's callers takes effect.
	decayInterval = 64
	// minUsualCount is the least decayed count at which a timeout is treated as the usual one.
	minUsualCount = 8
)

// record adds a timeout that a caller stated.
func (c *callerTimeouts) record(timeout time.Duration) {
	c.recorded++
	if c.recorded%decayInterval == 0 {
		for i := range c.stated {
			c.stated[i].count /= 2
		}
	}
	rarest := 0
	for i, s := range c.stated {
		if s.count > 0 && s.timeout == timeout {
			c.stated[i].count++
			return
		}
		if s.count < c.stated[rarest].count {
			rarest = i
		}
	}
	if c.stated[rarest].count == 0 {
		c.stated[rarest] = statedTimeout{timeout: timeout, count: 1}
		return
	}
	c.stated[rarest].count--
}

// minCommonDistance is how far below the usual timeout a timeout must be to be one of another kind of callers. Many callers
// that retry at once state the same few milliseconds less than the usual one.
const minCommonDistance = 100 * time.Millisecond

// isCommon reports whether a timeout is not what remains after a refusal, but one that many callers state: remaining
// times all differ.
func (c *callerTimeouts) isCommon(timeout time.Duration) bool {
	elapsed := c.elapsed(timeout)
	if elapsed < minCommonDistance {
		return elapsed == 0
	}
	for _, s := range c.stated {
		if s.timeout == timeout {
			return s.count >= minUsualCount
		}
	}
	return false
}

// elapsed returns how long a caller that states a timeout has already waited, or 0 if that
// is unknown.
func (c *callerTimeouts) elapsed(timeout time.Duration) time.Duration {
	usual := statedTimeout{}
	for _, s := range c.stated {
		if s.count > usual.count {
			usual = s
		}
	}
	if usual.count < minUsualCount {
		return 0
	}
	return max(usual.timeout-timeout, 0)
}

// elapsedWait records the timeout that a caller of a route states, and returns how long the
// caller has already waited.
func (r *Router) elapsedWait(route string, timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	timeouts := r.timeouts[route]
	if timeouts == nil {
		timeouts = new(callerTimeouts)
		r.timeouts[route] = timeouts
	}
	timeouts.record(timeout)
	return timeouts.elapsed(timeout)
}

// isCommonTimeout reports whether a timeout that a caller of a route states is one that many of them state.
func (r *Router) isCommonTimeout(route string, timeout time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	timeouts := r.timeouts[route]
	return timeouts != nil && timeouts.isCommon(timeout)
}
