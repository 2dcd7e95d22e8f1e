// Package pool selects the server of a service for each request, limits the requests that a
// node has in flight at each server, queues requests and refuses them. It has no I/O, clock
// or lock: times are passed as arguments.
//
// It handles these load patterns:
//
//   - Bursts and overload: a request that waits at the node is ordered and can be refused
//     with the certainty that it has not run, which does not hold for one that waits at a
//     server. A node's requests at a server are therefore limited by the queue that the
//     server reports, and a request that cannot be answered before its deadline is refused on
//     arrival, not when it expires.
//   - Servers of different speed, cold, slow or failing: a request goes to the server where
//     it is expected to end first, according to recent service times, load reports and
//     failures.
//   - Many nodes that rarely use each server: load reports lose weight within a few service
//     times, so that nodes do not all act on the same outdated report, and for hot keys the
//     lessor sends all nodes the same share.
//   - Servers that a node rarely uses: most of their requests need a new connection, which is no
//     sign of a slow server.
//   - Lost responses: a request that is overdue at a server with free slots releases its slot
//     in the limit.
package pool

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Weights and bounds of server selection.
const (
	// timeWeight is the weight of one response in a server's mean service time.
	timeWeight = 0.2
	// initialTime is the assumed service time of a service without any response.
	initialTime = 150 * time.Millisecond
	// reportHalfLife is the half-life of the weight of a load report: about two service
	// times.
	reportHalfLife = 300 * time.Millisecond
	// failureWeight is the weight of one outcome in a server's failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of the failure rate without new outcomes, so that an
	// avoided server is retried.
	failureHalfLife = 3 * time.Second
	// failureCost is the time that a failure costs a caller whose request may be retried.
	// atMostOnceFailureCost applies to requests that must not run twice and are lost by a
	// failure: a server of the own zone that fails a third of the time is then avoided in
	// favor of one in another zone.
	failureCost           = 400 * time.Millisecond
	atMostOnceFailureCost = time.Second
	// ownZoneShare is the share of the time left until the target within which a server of
	// the own zone is preferred although another would answer sooner: callers lose nothing,
	// and no bytes cross zones.
	ownZoneShare = 0.5
	// estimateNoise is the relative width of the random variation of estimates, so that nodes
	// with the same reports do not choose the same server.
	estimateNoise = 0.15
	// untriedShare is the share of requests that go to a warm server that has not answered
	// this node yet, the newest first. With many servers, each node otherwise stays with the
	// fast ones that it knows, and added servers get no requests. A higher share would send
	// more requests to slow servers.
	untriedShare = 0.1
	// slowHalfLife is the half-life of the excess of a slow server's mean over the median.
	slowHalfLife = 5 * time.Second
	// hangFactor is the number of usual service times without any response after which a
	// server with requests in flight is treated as failing: about one request in a hundred
	// takes three. Callers that give up after half of their target do so sooner.
	hangFactor = 4.0
	// coldFactor multiplies the expected time at a server that has just started.
	coldFactor = 2.0
)

// member is the pool's state of one server.
type member struct {
	site.Server
	lasting
	sentAt       []time.Time // send times of the requests in flight, oldest first
	sentWork     []float64   // their work in seconds; 0: sent without guidance
	queueEmptyAt time.Time   // send time of the latest request whose response reported free slots
	// limit is the number of concurrent requests of this node, or the duty cycle of one
	// request if below one.
	limit float64
	// pausedUntil is the end of the pause during which a limit below one admits no request.
	pausedUntil    time.Time
	meanSeconds    float64 // mean service time; 0: not known
	meanUpdatedAt  time.Time
	speed          speed   // on a mixed site
	otherRequests  float64 // requests of other nodes, as of reportAt
	reportAt       time.Time
	concurrency    int     // running requests that it takes well, by the guidance; 0: all slots
	hadFreeSlots   bool    // whether that report had free slots and no queue
	slowdown       float64 // in that report; 0: none
	failureRate    float64 // recent failure rate, as of failureAt
	failureAt      time.Time
	coldUntil      time.Time
	countsCold     bool // this node counts the requests to the server while it is cold
	addedAt        time.Time
	probationUntil time.Time // end of the low limit after a restart
	// unansweredSince is the start of the period in which the server has had requests of this
	// node and has answered none.
	unansweredSince time.Time
	// blockedUntil is the time before which a server that could not be connected to gets no
	// request.
	blockedUntil   time.Time
	failedConnects int       // consecutive failed connections
	probedAt       time.Time // when a connection was last tried as a probe
	// share is the fraction of the requests for the server's keys that may be sent until
	// shareExpiry; credit is the unused part of it.
	share, credit float64
	shareExpiry   time.Time
}

// Pool holds one service's servers as one node sees them.
type Pool struct {
	zone    string
	penalty time.Duration // time added to the estimate of a server in another zone
	nodes   int           // nodes that share the servers
	members map[site.ServerID]*member
	// histories holds the recent incarnations of servers, including those that have left.
	histories   map[site.ServerName]*history
	order       []*member
	queue       []*Waiter
	cachedTimes serviceTimes // zero: to be recomputed
	shares      quota.Shares // shares of requests for keys, valid until sharesUntil
	// sharesUntil is the expiry of the shares if no newer ones arrive.
	sharesUntil time.Time
	random      *rand.Rand
	rateLimits  RateLimits
	guided      guided
	usage       usage
	spread      spread
	schedules   map[int]*returns.Schedule // of callers that are asked to return, by priority
	urgency     urgency
	// hasNamedLimits reports whether a server names a limit.
	hasNamedLimits bool
	loadChecks     loadChecks
	restingUntil   time.Time // end of the latest rest of a server
}

// New returns a pool without servers for a node in the given zone. penalty is added to the
// expected time of a request at a server in another zone.
func New(zone string, penalty time.Duration, random *rand.Rand) *Pool {
	return &Pool{zone: zone, penalty: penalty, nodes: 1, members: map[site.ServerID]*member{}, histories: map[site.ServerName]*history{}, random: random}
}

// SetPenalty replaces the time added for servers in another zone.
func (p *Pool) SetPenalty(penalty time.Duration) { p.penalty = penalty }

// assumedNodes is the number of nodes assumed to share the servers until it is known.
const assumedNodes = 8

// Update sets the registered servers and the number of nodes that share them, 0 if it is not
// known.
func (p *Pool) Update(servers []site.Server, nodes int, now time.Time) {
	p.nodes = nodes
	if nodes <= 0 {
		p.nodes = assumedNodes
	}
	p.removeUnlisted(servers, now)
	p.hasNamedLimits = false
	for _, server := range servers {
		restarts := p.recordIncarnation(server.ID, now)
		m := p.members[server.ID]
		if m == nil {
			m = &member{Server: server, lasting: p.restoreLasting(server.ID.Name(), now), limit: p.initialLimit(server), coldUntil: now.Add(server.WarmUp), addedAt: now}
			p.startProbation(m, restarts, now)
			p.members[server.ID] = m
			p.setShare(m)
		}
		if server.WarmUp != m.WarmUp {
			m.coldUntil = now.Add(server.WarmUp)
		}
		m.Server = server
		p.applyRateLimits(m, now)
	}
	p.pruneHistories(now)
	p.cachedTimes = serviceTimes{}
	p.applySpeeds()
	p.order = slices.AppendSeq(p.order[:0], maps.Values(p.members))
	slices.SortFunc(p.order, func(a, b *member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// removeUnlisted removes all servers except the given ones.
func (p *Pool) removeUnlisted(servers []site.Server, now time.Time) {
	kept := make(map[site.ServerID]bool, len(servers))
	for _, server := range servers {
		kept[server.ID] = true
	}
	maps.DeleteFunc(p.members, func(id site.ServerID, m *member) bool {
		if !kept[id] {
			p.keepLasting(m, now)
		}
		return !kept[id]
	})
}

// Size returns the number of servers that are not leaving.
func (p *Pool) Size() int {
	size := 0
	for _, m := range p.order {
		if !m.IsLeaving() {
			size++
		}
	}
	return size
}

// AllLeave reports whether there are servers and all of them leave.
func (p *Pool) AllLeave() bool { return len(p.order) > 0 && p.Size() == 0 }

// pick returns the server with capacity that gets a request: its only one, the best of those that were
// checked, rarely an untried one, or else the one where it is expected to end first.
func (p *Pool) pick(w *Waiter, now time.Time) *member {
	if w.OnlyServer != "" {
		if m := p.members[w.OnlyServer]; m != nil && p.canSend(m, w, now) {
			return m
		}
		return nil
	}
	if m := p.unconfirmed(w, now); m != nil {
		return m
	}
	if m := p.pickChecked(w, now); m != nil {
		return m
	}
	if p.random.Float64() < untriedShare {
		if m := p.untried(w, now); m != nil {
			return m
		}
	}
	if m := p.pickDrawn(w, now); m != nil {
		return m
	}
	return p.soonest(w, now, func(*member) bool { return true })
}

// soonest returns the server with capacity, among those that the rule accepts, where a request is
// expected to end first, or nil. A server of the own zone that is expected to answer well within the
// target is preferred.
func (p *Pool) soonest(w *Waiter, now time.Time, accepts func(*member) bool) *member {
	var best, bestNear *member
	bestTime, nearTime := math.Inf(1), math.Inf(1)
	for _, m := range p.order {
		if !accepts(m) || !p.canSend(m, w, now) {
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
	isOverShare := w.OnlyServer != "" && m.hasShare(now) && !w.ChargedToShare
	return !isOverShare && w.mayRunAt(m, now) && !m.blocked(now) && m.hasRestCapacity(now) && p.admitsRate(m, w, now) && p.hasCapacity(m, now) && p.mayUseQueue(m, w, now)
}

// untried returns the most recently added warm server of the own zone that has not answered
// yet, or nil.
func (p *Pool) untried(w *Waiter, now time.Time) *member {
	var newest *member
	for _, m := range p.order {
		isUntried := m.meanSeconds == 0 && !p.isSpeedKnown(m, now) && m.inFlight() == 0 && !now.Before(m.coldUntil) && !m.onProbation(now) && m.Zone == p.zone
		if isUntried && p.canSend(m, w, now) && (newest == nil || m.addedAt.After(newest.addedAt)) {
			newest = m
		}
	}
	return newest
}

// expectedTime returns the time in seconds after which a request sent now is expected to be
// answered, with random variation of estimateNoise.
func (p *Pool) expectedTime(m *member, w *Waiter, now time.Time) float64 {
	expected := p.timeFor(m, w, now)
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

// requests returns the number of requests at a server, of this node and others.
func (m *member) requests(now time.Time) float64 {
	return float64(m.inFlight()) + m.otherRequests*decay(now.Sub(m.reportAt), reportHalfLife)
}

// timeBehind returns the time in seconds that a request takes at a server behind a number of others.
func (p *Pool) timeBehind(m *member, others float64, now time.Time) float64 {
	mean := p.serviceTime(m, now) * p.loadChecks.relativeSlowdown(m, now)
	slots := p.usableSlots(m, now)
	return mean * (1 + max(0, others+1-slots)/slots)
}

// Outcome describes how a request ended at a server.
type Outcome struct {
	Route      string // name of the request's route
	Took       time.Duration
	Connect    time.Duration // part of Took in which the connection was opened
	Load       *site.Load    // nil: not reported
	Failed     bool          // no response, or a failure of the server
	NoCapacity bool          // the server refused for lack of capacity
	Reset      bool          // the server reset the connection, as some do when they are full
	NotReached bool          // the server accepted no connection
	// Abandoned reports that the node gave up on the request. This says little about the
	// server unless the request was long overdue.
	Abandoned bool
	// Rest is for how long the server wants no request of this node; 0: it has not asked for a rest.
	Rest time.Duration
}

// Done records the end of a request at a server and returns the waiters that may be sent now.
func (p *Pool) Done(id site.ServerID, outcome Outcome, now time.Time) []Admission {
	m := p.members[id]
	if m == nil {
		p.Rest(id, outcome.Rest, now)
		return p.Admit(now)
	}
	m.recordEnd(outcome.Took, now)
	if outcome.Load != nil {
		p.recordLoad(m, *outcome.Load, now)
		if m.hadFreeSlots {
			m.recordEmptyQueue(outcome.Took, now)
		}
	}
	if !outcome.Failed && !outcome.NoCapacity && !outcome.Abandoned {
		p.recordServiceTime(m, (outcome.Took - outcome.Connect).Seconds(), now)
		p.recordSpeed(m, outcome, now)
	}
	if outcome.Rest > 0 { // neither a failure nor a sign of a lower limit
		p.rest(&m.lasting, outcome.Rest, now)
		if !outcome.Abandoned {
			m.unansweredSince = now
		}
		return p.Admit(now)
	}
	hung := outcome.Abandoned && p.isOverdue(m, outcome.Took, p.workOfEnded(outcome, now), now)
	if !outcome.Abandoned || hung {
		p.recordFailure(m, outcome.Failed || outcome.NoCapacity || hung, now)
	}
	if !outcome.Abandoned {
		m.unansweredSince = now
	}
	if outcome.NotReached {
		m.block(now)
	} else if !outcome.Abandoned && !outcome.Failed {
		m.failedConnects = 0
		m.endRest(outcome.Took, now)
	}
	p.recordRefusal(m, outcome)
	p.startPause(m, now)
	return p.Admit(now)
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
