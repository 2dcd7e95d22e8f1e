package router

import "time"

// callerTimeouts learns how long the callers of a route usually wait. One that states less has
// waited already: it comes back after a refusal, and its objective counts from when it
// came first. It answers keys that are wanted for more than their owner can run: half of
// the callers come back then, too late to be answered in time, and take the places of
// those who could be.
type callerTimeouts struct {
	stated   [maxStatedTimeouts]statedTimeout
	recorded int
}

// statedTimeout is a time that callers stated, and how often.
type statedTimeout struct {
	timeout time.Duration
	count   int
}

const (
	// maxStatedTimeouts is how many times are kept. Those that many callers state stay, and
	// times left after a refusal, which are all different, give way to each other.
	maxStatedTimeouts = 4
	// decayInterval is after how many notes their counts are halved, so that a changed
	// route is learnt.
	decayInterval = 64
	// minUsualCount is how often a time must have been stated lately to be the usual one.
	minUsualCount = 8
)

// record takes what a caller states.
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

// elapsed returns how long a caller has waited already who states a time; 0 if that is not
// known.
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
