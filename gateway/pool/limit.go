package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Weights and bounds of the limit of requests at a server. A limit below one is a
// share of the time: the node sends one request and then pauses. It answers many
// nodes that want one server at once, as when a key becomes busy: one request of
// each of dozens of nodes is already more than a server with six slots and a queue takes,
// and each refused one costs a retry, or is lost if the server resets it.
const (
	// slotOvercommit is how much of the slots the first limits of all nodes add up to:
	// some nodes always want nothing.
	slotOvercommit = 1.5
	// minLimit bounds the share of a node: slots are divided among 100 nodes or so.
	minLimit = 0.04
	// maxPause bounds the pause after a request, in case the server has become
	// less busy meanwhile: about as long as a key stays busy.
	maxPause = 5 * time.Second
	// limitIncrement is added to the limit for each free slot that an answer reports, so
	// that a server whose keys become busy is filled within a few answers.
	limitIncrement = 0.25
	// limitDecrease is the factor of the limit with each answer of a server whose queue is
	// longer than shortQueue of its slots.
	limitDecrease   = 0.85
	shortQueueRatio = 0.5
	// refusalDecrease is the factor after a refusal for lack of room.
	refusalDecrease = 0.6
)

// initialLimit gives every node its share of the slots, and one request at least:
// most nodes rarely want the same server at once.
func (p *Pool) initialLimit(server site.Server) float64 {
	return max(1, math.Ceil(slotOvercommit*float64(server.Slots)/float64(p.nodes)))
}

// lowerLimit multiplies the limit of requests at a server.
func (m *member) lowerLimit(factor float64) { m.limit = max(minLimit, m.limit*factor) }

// hasCapacity reports whether the limit lets another request go to a server.
func (p *Pool) hasCapacity(m *member, now time.Time) bool {
	taken := 0
	if m.inFlight() > 0 {
		taken = m.takenSlots(p.serviceTime(m, now), now)
	}
	switch {
	case m.hasShare(now):
		return taken < max(m.Slots, 1)
	case m.limit >= 1:
		return float64(taken) < math.Floor(m.limit)
	}
	return taken == 0 && !now.Before(m.pausedUntil)
}

// startPause keeps a limit below one after a request has ended.
func (p *Pool) startPause(m *member, now time.Time) {
	if m.limit < 1 {
		// Spread, since nodes that were refused together would come back together.
		spread := 0.5 + p.random.Float64()
		m.pausedUntil = now.Add(time.Duration(spread * float64(m.pauseDuration(p.serviceTime(m, now)))))
	}
}

// pauseDuration returns the pause after a request that takes so many seconds.
func (m *member) pauseDuration(seconds float64) time.Duration {
	return min(time.Duration(seconds*(1/m.limit-1)*float64(time.Second)), maxPause)
}

// NextRoom returns when a pause ends for which requests wait, or a server that took
// no connection is tried again; waits is false if there is no such time.
func (p *Pool) NextRoom(now time.Time) (at time.Time, found bool) {
	if len(p.queue) == 0 {
		return time.Time{}, false
	}
	for _, m := range p.order {
		until := m.blockedUntil
		if m.limit < 1 && m.inFlight() == 0 && m.pausedUntil.After(until) {
			until = m.pausedUntil
		}
		if now.Before(until) && (!found || until.Before(at)) {
			at, found = until, true
		}
	}
	return at, found
}

// recordRefusal lowers the limit of a server that is full. One that refuses for
// lack of room is wanted by other nodes too, so that this one keeps to its share
// at once. One that refuses with free
// slots fails for another reason. If it does not tell its load, what it told with its
// latest answer counts: servers that refuse at random then keep the node's share, and
// are not left idle while requests are refused for want of limits.
func (p *Pool) recordRefusal(m *member, outcome Outcome) {
	switch {
	case outcome.Reset:
		m.lowerLimit(refusalDecrease)
	case !outcome.NoRoom:
	case outcome.Load == nil && m.hadFreeSlots:
		m.limit = min(m.limit, max(m.limit*refusalDecrease, p.fairLimit(m)))
	case outcome.Load == nil || outcome.Load.Running >= outcome.Load.Slots:
		m.lowerLimit(refusalDecrease)
		m.limit = max(minLimit, min(m.limit, p.fairLimit(m)))
	}
}

// fairLimit is a node's share of the slots of a server.
func (p *Pool) fairLimit(m *member) float64 {
	return slotOvercommit * float64(max(m.Slots, 1)) / float64(p.nodes)
}

func (p *Pool) recordLoad(m *member, load site.Load, now time.Time) {
	// The report counts the request that it answers.
	m.otherRequests = max(0, float64(load.Total()-1-m.inFlight()))
	m.reportAt = now
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
