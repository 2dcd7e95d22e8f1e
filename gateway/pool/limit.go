package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Bounds and factors of the per-node limit of concurrent requests at a server. A limit below
// one is a duty cycle: the node sends one request and then pauses. It covers many nodes that
// send to one server at once, as when a key becomes hot: one request from each of dozens of
// nodes already exceeds a server with six slots and a queue, and each refused request costs a
// retry, or is lost if the server resets the connection.
const (
	// slotOvercommit is the ratio of the sum of all nodes' initial limits to the slots. It is
	// above one because some nodes have no demand at any time.
	slotOvercommit = 1.5
	// minLimit is the lower bound of the limit: slots are divided among about 100 nodes at
	// most.
	minLimit = 0.04
	// maxPause bounds the pause after a request, in case the server has become less busy
	// during it. It is about as long as a key stays hot.
	maxPause = 5 * time.Second
	// limitIncrement is added to the limit for each free slot that a response reports, so
	// that a server whose keys become hot is filled within a few responses.
	limitIncrement = 0.25
	// limitDecrease multiplies the limit on each response from a server whose queue is longer
	// than shortQueueRatio times its slots.
	limitDecrease   = 0.85
	shortQueueRatio = 0.5
	// refusalDecrease multiplies the limit after a refusal for lack of capacity.
	refusalDecrease = 0.6
)

// initialLimit gives every node its share of the slots, and at least one request, because
// most nodes rarely send to the same server at once.
func (p *Pool) initialLimit(server site.Server) float64 {
	return max(1, math.Ceil(slotOvercommit*float64(server.Slots)/float64(p.nodes)))
}

// lowerLimit multiplies the limit by factor, down to minLimit.
func (m *member) lowerLimit(factor float64) { m.limit = max(minLimit, m.limit*factor) }

// hasCapacity reports whether the limit lets another request go to a server.
func (p *Pool) hasCapacity(m *member, now time.Time) bool {
	taken := 0
	if m.inFlight() > 0 {
		taken = p.takenSlots(m, now)
	}
	switch {
	case m.hasShare(now):
		return taken < max(m.Slots, 1)
	case m.limit >= 1:
		return float64(taken) < math.Floor(m.limit)
	}
	return taken == 0 && !now.Before(m.pausedUntil)
}

// startPause delays the next request after one has ended, for a limit below one.
func (p *Pool) startPause(m *member, now time.Time) {
	if m.limit < 1 {
		// The pause is randomized because nodes that were refused together would otherwise
		// return together.
		spread := 0.5 + p.random.Float64()
		m.pausedUntil = now.Add(time.Duration(spread * float64(m.pauseDuration(p.stayOf(m, 0, now)))))
	}
}

// pauseDuration returns the pause after a request that takes the given number of seconds.
func (m *member) pauseDuration(seconds float64) time.Duration {
	return min(time.Duration(seconds*(1/m.limit-1)*float64(time.Second)), maxPause)
}

// NextAdmitTime returns the earliest time at which Admit may send a waiting request because a
// pause or rest ends or a server is retried after a failed connection, or refuse one because its server has left. found is false if there is no
// such time.
func (p *Pool) NextAdmitTime(now time.Time) (at time.Time, found bool) {
	if len(p.queue) == 0 {
		return time.Time{}, false
	}
	at, found = p.freeSlotAt(now)
	for _, m := range p.order {
		if leaves := m.KeysUntil(); now.Before(leaves) && (!found || leaves.Before(at)) {
			at, found = leaves, true // requests for its keys are refused then
		}
		until := m.blockedUntil
		if m.limit < 1 && m.inFlight() == 0 && m.pausedUntil.After(until) {
			until = m.pausedUntil
		}
		if m.restUntil.After(until) {
			until = m.restUntil
		}
		if cold := p.limitedUntil(m, now); cold.After(until) {
			until = cold
		}
		if now.Before(until) && (!found || until.Before(at)) {
			at, found = until, true
		}
	}
	return at, found
}

// recordRefusal lowers the limit of a server that is full. A refusal for lack of capacity
// means that other nodes use the server too, so this node drops to its fair share at once. A
// refusal by a server with free slots has another cause. If the refusal reports no load, the
// load in the server's latest response decides: servers that refuse at random then keep the
// node's fair share, and are not left idle while requests are refused because of low limits.
func (p *Pool) recordRefusal(m *member, outcome Outcome) {
	switch {
	case outcome.Reset:
		m.lowerLimit(refusalDecrease)
	case !outcome.NoCapacity:
	case outcome.Load == nil && m.hadFreeSlots:
		m.limit = min(m.limit, max(m.limit*refusalDecrease, p.fairLimit(m)))
	case outcome.Load == nil || outcome.Load.Running >= outcome.Load.Slots:
		m.lowerLimit(refusalDecrease)
		m.limit = max(minLimit, min(m.limit, p.fairLimit(m)))
	}
}

// fairLimit returns a node's share of the slots of a server.
func (p *Pool) fairLimit(m *member) float64 {
	return slotOvercommit * float64(max(m.Slots, 1)) / float64(p.nodes)
}

func (p *Pool) recordLoad(m *member, load site.Load, now time.Time) {
	// The report includes the request that it answers.
	m.otherRequests = max(0, float64(load.Total()-1-m.inFlight()))
	m.reportAt = now
	p.noteReport(m, now)
	m.slowdown = load.Slowdown
	p.loadChecks.note(load)
	m.hadFreeSlots = load.Waiting == 0 && load.Running < load.Slots
	slots := float64(max(load.Slots, 1))
	switch {
	case float64(load.Waiting) > shortQueueRatio*slots:
		m.lowerLimit(limitDecrease)
	case load.Waiting == 0 && m.onProbation(now):
		m.limit = min(m.limit*probationIncrease, max(maxProbationLimit, m.limit))
	case load.Waiting == 0:
		free := max(0, slots-float64(load.Running))
		m.limit = min(m.limit+limitIncrement*free, slots)
	}
}
