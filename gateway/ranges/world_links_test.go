package ranges

import (
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// fullLinks tells whether the links of a world's nodes are full at times. Without them
// grants arrive within their call's time, and the other rules have less to spare.
type fullLinks bool

// mostLinkDelay is the longest time that bytes wait in a node's own link. Resetting their
// connection does not take them back.
const mostLinkDelay = 2500 * time.Millisecond

// leavesLink returns when bytes that a node writes now leave its own link.
func (w *world) leavesLink(n *worldNode) time.Time {
	leaves := w.now
	if w.now.Before(n.chokedUntil) {
		leaves = w.now.Add(n.linkDelay)
	}
	n.leftLinkAt = clock.Later(n.leftLinkAt, leaves)
	return n.leftLinkAt
}

// fate returns what the sender's machine knows of a call's bytes.
func (c *worldCall) fate(now time.Time) Fate {
	if c.arrives.IsZero() || now.Before(c.arrives) {
		return Underway
	}
	return Arrived
}

// handOff has a new lessor ask the one before it. That one may not be reached, and does not
// answer while it is paused. A later process of its node tells that it has ended; what lessors
// before it granted may be in force for the time before.
func (w *world) handOff(n *worldNode, former Lessor, before time.Duration) {
	if !w.links {
		return
	}
	for _, other := range w.nodes {
		if other.ended == former && former.Boot != "" && !w.now.Before(other.paused) && w.random.IntN(2) == 0 {
			n.allocator.FormerEnded(other.endedAt, w.now.Add(before))
			w.handOffs++
		}
		if other.allocator == nil || other.allocator.self != former || w.now.Before(other.paused) || w.random.IntN(2) == 0 {
			continue
		}
		list := other.allocator.Remaining(w.now)
		if w.rules.noReport {
			list = nil
		}
		other.allocator, other.resignAt = nil, time.Time{}
		n.allocator.LimitFormer(list, w.now)
		w.handOffs++
	}
}
