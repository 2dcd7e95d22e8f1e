// Package pool decides which server of a service gets a request, how many
// requests a node has at each server at once, who waits, and who is refused. It
// has no I/O, clock or lock: times come in as arguments.
//
// It answers these load patterns:
//
//   - Bursts and overload: what waits at the node is ordered and can be refused
//     truthfully; what waits at a server cannot. So a node's requests at a server
//     are limited by the queue that the server reports, and a request that cannot
//     be answered in its time is refused when it comes, not when it expires.
//   - Servers of unlike speed, cold, slow or failing: a request goes where it is
//     expected to end first, by the times, load reports and failures seen lately.
//   - Many nodes that see each server seldom: reports lose weight within a few
//     service times, so that nodes do not all follow the same old report, and for
//     busy keys the lessor tells all nodes the same share.
//   - Answers that are lost: a request that is overdue at a server with room gives
//     its place up.
package pool

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Weights and bounds of the choice of a server.
const (
	// timeWeight is the weight of one answer in a server's mean time.
	timeWeight = 0.2
	// initialTime is assumed of a service whose times are unknown.
	initialTime = 150 * time.Millisecond
	// reportHalfLife is how fast a load report loses weight: about two service times.
	reportHalfLife = 300 * time.Millisecond
	// failureWeight is the weight of one outcome in a server's failure rate.
	failureWeight = 0.3
	// failureHalfLife is how fast the failure rate falls without outcomes, so that a
	// server that was avoided is tried again.
	failureHalfLife = 3 * time.Second
	// failureCost is the time that a failure costs a caller whose request may be
	// sent again, and onceCost what it costs one whose request must not run twice,
	// since that is lost: a server near by that fails a third of the time is left for
	// one in another zone.
	failureCost           = 400 * time.Millisecond
	atMostOnceFailureCost = time.Second
	// ownZoneShare is the share of the time left to the objective within which a
	// server of the own zone is taken although another would answer sooner:
	// callers lose nothing, and no bytes go between zones.
	ownZoneShare = 0.5
	// estimateNoise is the share by which estimates are varied, so that nodes with the
	// same reports do not choose the same server.
	estimateNoise = 0.15
	// untriedShare is the share of requests that go to a warm server that has not
	// answered this node yet, the newest first. Among many servers each node
	// otherwise keeps to the quick ones that it knows, and servers that are added get
	// nothing. More of them would go to servers that are slow.
	untriedShare = 0.1
	// slowHalfLife is how fast a server that was slow comes to count as a usual one.
	slowHalfLife = 5 * time.Second
	// hangFactor is after how many usual times without any answer a server that has
	// requests counts as failing: about one request in a hundred takes three. Callers
	// that leave after half of their objective do so sooner.
	hangFactor = 4.0
	// coldFactor is how much longer a server takes that has just started.
	coldFactor = 2.0
)

// member is what the pool knows of one server.
type member struct {
	site.Server
	sentAt       []time.Time // of the requests that have not ended, the oldest first
	queueEmptyAt time.Time   // when the latest request was sent whose answer told room
	limit        float64     // requests of this node at once, or the share of the time with one
	// pausedUntil is until when a limit below one lets no request go.
	pausedUntil    time.Time
	meanSeconds    float64 // seconds that a request takes; 0: not known
	meanUpdatedAt  time.Time
	otherRequests  float64 // requests of other nodes, as of reportAt
	reportAt       time.Time
	hadFreeSlots   bool    // it told free slots and no queue then
	failureRate    float64 // rate of failures lately, as of failureAt
	failureAt      time.Time
	coldUntil      time.Time
	addedAt        time.Time
	probationUntil time.Time // until when it gets few requests after a restart
	// unansweredSince is since when it has requests of this node and has answered none.
	unansweredSince time.Time
	// blockedUntil is until when a server that took no connection gets no request.
	blockedUntil   time.Time
	failedConnects int       // connections in a row that it did not take
	probedAt       time.Time // when a connection was last tried for that reason
	// share is the part of the requests for its keys that may be sent until sharedUntil,
	// and credit what the node has kept of it.
	share, credit float64
	shareExpiry   time.Time
}

// blocked reports whether the server took no connection lately.
func (m *member) blocked(now time.Time) bool { return now.Before(m.blockedUntil) }

// Pool is one service's servers as one node sees them.
type Pool struct {
	zone    string
	penalty time.Duration // time that sending to another zone counts as
	nodes   int           // nodes that share the servers
	members map[site.ServerID]*member
	// histories are the runs of servers lately, also of those that have left.
	histories   map[site.ServerName]*history
	order       []*member
	queue       []*Waiter
	cachedTimes serviceTimes // zero: to be made anew
	shares      quota.Shares // of requests for keys, until sharesUntil
	// sharesUntil is when the shares end if nothing newer is told.
	sharesUntil time.Time
	random      *rand.Rand
}

// New returns a pool without servers for a node in a zone. penalty is what
// sending to another zone counts as, next to the time that a request takes.
func New(zone string, penalty time.Duration, random *rand.Rand) *Pool {
	return &Pool{zone: zone, penalty: penalty, nodes: 1, members: map[site.ServerID]*member{}, histories: map[site.ServerName]*history{}, random: random}
}

// SetPenalty replaces the time that sending to another zone counts as.
func (p *Pool) SetPenalty(penalty time.Duration) { p.penalty = penalty }

// assumedNodes share the servers while their number is not known.
const assumedNodes = 8

// Update takes the registered servers and the number of nodes that share them,
// 0 if it is not known.
func (p *Pool) Update(servers []site.Server, nodes int, now time.Time) {
	p.nodes = nodes
	if nodes <= 0 {
		p.nodes = assumedNodes
	}
	p.removeUnlisted(servers)
	for _, server := range servers {
		restarts := p.recordIncarnation(server.ID, now)
		m := p.members[server.ID]
		if m == nil {
			m = &member{Server: server, limit: p.initialLimit(server), coldUntil: now.Add(server.WarmUp), addedAt: now}
			p.startProbation(m, restarts, now)
			p.members[server.ID] = m
			p.setShare(m)
		}
		m.Server = server
	}
	p.pruneHistories(now)
	p.cachedTimes = serviceTimes{}
	p.order = slices.AppendSeq(p.order[:0], maps.Values(p.members))
	slices.SortFunc(p.order, func(a, b *member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// removeUnlisted forgets all servers but those given.
func (p *Pool) removeUnlisted(servers []site.Server) {
	kept := make(map[site.ServerID]bool, len(servers))
	for _, server := range servers {
		kept[server.ID] = true
	}
	maps.DeleteFunc(p.members, func(id site.ServerID, _ *member) bool { return !kept[id] })
}

// Size returns the number of servers that may get requests.
func (p *Pool) Size() int {
	size := 0
	for _, m := range p.order {
		if !m.Draining {
			size++
		}
	}
	return size
}

// pick returns the server with room where a request is expected to end first. A
// server of the own zone goes before others while it answers well within the
// objective.
func (p *Pool) pick(w *Waiter, now time.Time) *member {
	if w.Only != "" {
		if m := p.members[w.Only]; m != nil && p.canSend(m, w, now) {
			return m
		}
		return nil
	}
	if p.random.Float64() < untriedShare {
		if m := p.untried(w, now); m != nil {
			return m
		}
	}
	var best, bestNear *member
	bestTime, nearTime := math.Inf(1), math.Inf(1)
	for _, m := range p.order {
		if !p.canSend(m, w, now) {
			continue
		}
		expected := p.expectedTime(m, w, now)
		if expected < bestTime {
			best, bestTime = m, expected
		}
		if m.Zone == p.zone && expected < nearTime {
			bestNear, nearTime = m, expected
		}
	}
	if bestNear != nil && nearTime < ownZoneShare*w.Target.Sub(now).Seconds() {
		return bestNear
	}
	return best
}

// canSend reports whether a request may be sent to a server now.
func (p *Pool) canSend(m *member, w *Waiter, now time.Time) bool {
	isOverShare := w.Only != "" && m.hasShare(now) && !w.Passed
	return !isOverShare && !m.Draining && !m.blocked(now) && w.accepts(m.ID) && p.hasCapacity(m, now)
}

// untried returns the warm server of the own zone that was added last of those
// that have not answered yet, or nil.
func (p *Pool) untried(w *Waiter, now time.Time) *member {
	var newest *member
	for _, m := range p.order {
		isUntried := m.meanSeconds == 0 && m.inFlight() == 0 && !now.Before(m.coldUntil) && !m.onProbation(now) && m.Zone == p.zone
		if isUntried && p.canSend(m, w, now) && (newest == nil || m.addedAt.After(newest.addedAt)) {
			newest = m
		}
	}
	return newest
}

// expectedTime returns the time in seconds after which a request sent now is
// expectedTime to be answered, varied by noise.
func (p *Pool) expectedTime(m *member, w *Waiter, now time.Time) float64 {
	mean := p.serviceTime(m, now)
	slots := float64(max(m.Slots, 1))
	busy := float64(m.inFlight()) + m.otherRequests*decay(now.Sub(m.reportAt), reportHalfLife)
	expected := mean * (1 + max(0, busy+1-slots)/slots)
	if now.Before(m.coldUntil) {
		expected *= coldFactor
	}
	if p.isHanging(m, now) {
		expected += w.failureCost().Seconds()
	}
	expected += m.failureRate * decay(now.Sub(m.failureAt), failureHalfLife) * w.failureCost().Seconds()
	if m.Zone != p.zone {
		expected += p.penalty.Seconds()
	}
	return expected * (1 + estimateNoise*(p.random.Float64()-0.5))
}

// Outcome is how a request ended at a server.
type Outcome struct {
	Took       time.Duration
	Load       *site.Load // nil: not reported
	Failed     bool       // no answer, or a failure of the server
	NoRoom     bool       // the server refused for lack of room
	Reset      bool       // the server reset the connection, as some do that are full
	NotReached bool       // the server took no connection
	// Abandoned tells that the node gave the request up, which says little of
	// the server unless that was long after it should have answered.
	Abandoned bool
}

// Done takes the end of a request at a server, and returns the waiters that may
// be sent now.
func (p *Pool) Done(id site.ServerID, outcome Outcome, now time.Time) []Admission {
	m := p.members[id]
	if m == nil {
		return p.Admit(now)
	}
	m.recordEnd(outcome.Took, now)
	if outcome.Load != nil {
		p.recordLoad(m, *outcome.Load, now)
		if m.hadFreeSlots {
			m.recordEmptyQueue(outcome.Took, now)
		}
	}
	if !outcome.Failed && !outcome.NoRoom && !outcome.Abandoned {
		if m.meanSeconds == 0 {
			m.meanSeconds = outcome.Took.Seconds()
		}
		m.meanSeconds = p.serviceTime(m, now)
		m.meanUpdatedAt = now
		m.meanSeconds += timeWeight * (outcome.Took.Seconds() - m.meanSeconds)
		p.cachedTimes = serviceTimes{}
	}
	hung := outcome.Abandoned && p.isOverdue(m, outcome.Took, now)
	if !outcome.Abandoned || hung {
		p.recordFailure(m, outcome.Failed || outcome.NoRoom || hung, now)
	}
	if !outcome.Abandoned {
		m.unansweredSince = now
	}
	if outcome.NotReached {
		m.block(now)
	} else if !outcome.Abandoned && !outcome.Failed {
		m.failedConnects = 0
	}
	p.recordRefusal(m, outcome)
	p.startPause(m, now)
	return p.Admit(now)
}

// Times for which a server that takes no connection is left alone.
const (
	minBlock = 500 * time.Millisecond
	maxBlock = 2 * time.Second
	// probeInterval is the least time between two connections to a slow server that
	// are opened to see whether it can be reached.
	probeInterval = 400 * time.Millisecond
)

// block keeps requests from a server that took no connection, longer each time.
func (m *member) block(now time.Time) {
	pause := min(minBlock<<min(m.failedConnects, 4), maxBlock)
	m.failedConnects++
	m.blockedUntil = now.Add(pause)
}

// Probe reports whether a connection to a slow server should be tried, and
// whether the server took none lately.
func (p *Pool) Probe(id site.ServerID, now time.Time) (mustProbe, isBlocked bool) {
	m := p.members[id]
	if m == nil || m.blocked(now) {
		return false, m != nil
	}
	if now.Sub(m.probedAt) < probeInterval {
		return false, false
	}
	m.probedAt = now
	return true, false
}

// Probed takes whether a connection was taken.
func (p *Pool) Probed(id site.ServerID, reached bool, now time.Time) {
	if m := p.members[id]; m != nil && !reached {
		m.block(now)
	}
}

func (p *Pool) recordFailure(m *member, failed bool, now time.Time) {
	rate := m.failureRate * decay(now.Sub(m.failureAt), failureHalfLife)
	target := 0.0
	if failed {
		target = 1
	}
	m.failureRate = rate + failureWeight*(target-rate)
	m.failureAt = now
}
