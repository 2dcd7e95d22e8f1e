package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// saturatedLinks states whether the links of the simulated nodes are saturated at times.
// Without saturation grants arrive within the timeout of their calls, and the other rules
// are tested with smaller safety margins.
type saturatedLinks bool

// maxSimulatedLinkDelay is the longest time that bytes wait in a node's own link. Resetting
// their connection does not remove them.
const maxSimulatedLinkDelay = 2500 * time.Millisecond

// leavesLink returns when bytes that a node writes now leave its own link.
func (w *world) leavesLink(n *worldNode) time.Time {
	leaves := w.now
	if w.now.Before(n.linkFullUntil) {
		leaves = w.now.Add(n.linkDelay)
	}
	n.leftLinkAt = clock.Later(n.leftLinkAt, leaves)
	return n.leftLinkAt
}

// maxAcceptDelay is the longest time for which a full server leaves a new connection
// unaccepted. Its machine acknowledges bytes that are sent on it meanwhile, and a reset
// that is lost does not remove them.
const maxAcceptDelay = 5 * time.Second

// route sends the bytes of a call over the node's connection to the server, or over a new
// one.
func (w *world) route(c *worldCall, latency time.Duration) {
	n, server := c.node, c.call.Server
	if _, isOpen := n.acceptsAt[server]; !isOpen {
		n.acceptsAt[server] = w.now
		if w.random.IntN(6) == 0 {
			n.acceptsAt[server] = w.randomTime(maxAcceptDelay)
		}
	}
	accepted := n.acceptsAt[server]
	c.acknowledgedAt = w.leavesLink(n).Add(latency)
	switch {
	case w.rules.noAcceptWait:
	case accepted.Sub(w.now) >= w.timing.CallTimeout:
		c.isUnsent = true
		return
	case accepted.After(w.now):
		c.acknowledgedAt = c.acknowledgedAt.Add(accepted.Sub(w.now))
	}
	c.arrivesAt = clock.Later(c.acknowledgedAt, accepted)
	if w.random.IntN(8) == 0 {
		c.arrivesAt = c.arrivesAt.Add(time.Duration(w.random.Int64N(int64(serverReadDelay))))
	}
}

// result returns what the sender's machine knows about the bytes of a call without a
// response.
func (w *world) result(c *worldCall) Result {
	result := Result{Failed: true, Outcome: InFlight}
	switch {
	case c.isUnsent:
		result.Outcome = Unaccepted
	case !c.acknowledgedAt.IsZero() && !w.now.Before(c.acknowledgedAt):
		result.Outcome, result.ArrivedBy = Arrived, c.acknowledgedAt
		if w.rules.noReadDelay {
			result.ArrivedBy = c.acknowledgedAt.Add(-serverReadDelay)
		}
	}
	return result
}

// resetConnection resets the connection of a node to a server, unless the server has yet to
// accept it.
func (n *worldNode) resetConnection(c *worldCall) {
	if !c.isUnsent {
		delete(n.acceptsAt, c.call.Server)
	}
}

// handOff lets a new lessor ask the previous one for its grants. The previous lessor may be
// unreachable, and does not respond while it is paused. A later process of its node reports
// that it has ended; grants of lessors before it may be in force for the duration before.
func (w *world) handOff(n *worldNode, previous Lessor, before time.Duration) {
	if !w.links {
		return
	}
	for _, other := range w.nodes {
		if other.endedLessor == previous && previous.Boot != "" && !w.now.Before(other.pausedUntil) && w.random.IntN(2) == 0 {
			n.allocator.PreviousEnded(other.endedAt, w.now.Add(before))
			w.handOffs++
		}
		if other.allocator == nil || other.allocator.self != previous || w.now.Before(other.pausedUntil) || w.random.IntN(2) == 0 {
			continue
		}
		list := other.allocator.Remaining(w.now)
		if w.rules.noHandOffReport {
			list = nil
		}
		other.allocator, other.resignAt = nil, time.Time{}
		n.allocator.LimitPrevious(list, w.now)
		w.handOffs++
	}
}
