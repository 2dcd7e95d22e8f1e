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
//     service times, so that nodes do not all follow the same old report.
package pool

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Weights and bounds of the choice of a server.
const (
	// timeWeight is the weight of one answer in a server's mean time.
	timeWeight = 0.2
	// initialTime is assumed of a service whose times are unknown.
	initialTime = 150 * time.Millisecond
	// reportLife is how fast a load report loses weight: about two service times.
	reportLife = 300 * time.Millisecond
	// failureWeight is the weight of one outcome in a server's failure rate.
	failureWeight = 0.3
	// failureLife is how fast the failure rate falls without outcomes, so that a
	// server that was avoided is tried again.
	failureLife = 3 * time.Second
	// failureCost is the time that a failure costs a caller whose request may be
	// sent again, and onceCost what it costs one whose request must not run twice: it
	// is lost, and a healthy server in another zone is better than one near by that
	// fails a tenth of the time.
	failureCost = 400 * time.Millisecond
	onceCost    = 2 * time.Second
	// ownZoneShare is the share of the time left to the objective within which a
	// server of the own zone is taken although another would answer sooner:
	// callers lose nothing, and no bytes go between zones.
	ownZoneShare = 0.5
	// noise is the share by which estimates are varied, so that nodes with the
	// same reports do not choose the same server.
	noise = 0.15
	// untriedShare is the share of requests that go to a warm server that has not
	// answered this node yet, the newest first. Among many servers each node
	// otherwise keeps to the quick ones that it knows, and servers that are added get
	// nothing: 95 of 100 at 87 nodes. With every untried server taken before known
	// ones the 99th percentile of a lightly loaded service rose from 540 to 920 ms.
	untriedShare = 0.1
	// slowLife is how fast a server that was slow comes to count as a usual one.
	slowLife = 5 * time.Second
	// hangFactor is after how many usual times without any answer a server that has
	// requests counts as failing: about one request in a hundred takes three. Callers
	// that leave after half of their objective do so sooner.
	hangFactor = 4.0
	// coldFactor is how much longer a server takes that has just started.
	coldFactor = 2.0
)

// Weights and bounds of the limit of requests at a server. A limit below one is a
// share of the time: the node sends one request and then pauses. It answers many
// nodes that want one server at once, as when a key becomes busy: one request of
// each of 71 nodes is already more than a server with six slots and a queue takes,
// and each refused one costs a retry, or is lost if the server resets it.
const (
	// fairFactor is how much of the slots the first limits of all nodes add up to:
	// some nodes always want nothing.
	fairFactor = 1.5
	// leastLimit bounds the share of a node: slots are divided among 100 nodes or so.
	leastLimit = 0.04
	// mostPause bounds the pause after a request, in case the server has become
	// less busy meanwhile: about as long as a key stays busy.
	mostPause = 5 * time.Second
	// raise is added to the limit for each free slot that an answer reports, so
	// that a server whose keys become busy is filled within a few answers.
	raise = 0.25
	// lower is the factor of the limit with each answer of a server whose queue is
	// longer than shortQueue of its slots.
	lower      = 0.85
	shortQueue = 0.5
	// refusedLimit is the factor after a refusal for lack of room.
	refusedLimit = 0.6
)

// member is what the pool knows of one server.
type member struct {
	site.Server
	inFlight int
	limit    float64 // requests of this node at once, or the share of the time with one
	// pausedUntil is until when a limit below one lets no request go.
	pausedUntil time.Time
	mean        float64 // seconds that a request takes; 0: not known
	meanAt      time.Time
	others      float64 // requests of other nodes, as of reportAt
	reportAt    time.Time
	failure     float64 // rate of failures lately, as of failureAt
	failureAt   time.Time
	coldUntil   time.Time
	addedAt     time.Time
	// silentSince is since when it has requests of this node and has answered none.
	silentSince time.Time
	// blockedUntil is until when a server that took no connection gets no request.
	blockedUntil time.Time
	blocks       int       // connections in a row that it did not take
	probedAt     time.Time // when a connection was last tried for that reason
}

// blocked reports whether the server took no connection lately.
func (m *member) blocked(now time.Time) bool { return now.Before(m.blockedUntil) }

// Pool is one service's servers as one node sees them.
type Pool struct {
	zone    string
	penalty time.Duration // time that sending to another zone counts as
	nodes   int           // nodes that share the servers
	members map[site.ServerID]*member
	order   []*member
	queue   []*Waiter
	known   serviceTimes // zero: to be made anew
	random  *rand.Rand
}

// New returns a pool without servers for a node in a zone. penalty is what
// sending to another zone counts as, next to the time that a request takes.
func New(zone string, penalty time.Duration, random *rand.Rand) *Pool {
	return &Pool{zone: zone, penalty: penalty, nodes: 1, members: map[site.ServerID]*member{}, random: random}
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
	seen := make(map[site.ServerID]bool, len(servers))
	for _, server := range servers {
		seen[server.ID] = true
		m := p.members[server.ID]
		if m == nil {
			m = &member{limit: p.initialLimit(server), coldUntil: now.Add(server.WarmUp), addedAt: now}
			p.members[server.ID] = m
		}
		m.Server = server
	}
	p.known = serviceTimes{}
	p.order = p.order[:0]
	for id, m := range p.members {
		if !seen[id] {
			delete(p.members, id)
			continue
		}
		p.order = append(p.order, m)
	}
	slices.SortFunc(p.order, func(a, b *member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// initialLimit gives every node its share of the slots, and one request at least:
// most nodes rarely want the same server at once.
func (p *Pool) initialLimit(server site.Server) float64 {
	return max(1, math.Ceil(fairFactor*float64(server.Slots)/float64(p.nodes)))
}

// lowerLimit multiplies the limit of requests at a server.
func (m *member) lowerLimit(factor float64) { m.limit = max(leastLimit, m.limit*factor) }

// hasRoom reports whether the limit lets another request go to a server.
func (m *member) hasRoom(now time.Time) bool {
	if m.limit >= 1 {
		return float64(m.inFlight) < math.Floor(m.limit)
	}
	return m.inFlight == 0 && !now.Before(m.pausedUntil)
}

// pause keeps a limit below one after a request has ended.
func (p *Pool) pause(m *member, now time.Time) {
	if m.limit < 1 {
		// Spread, since nodes that were refused together would come back together.
		spread := 0.5 + p.random.Float64()
		m.pausedUntil = now.Add(time.Duration(spread * float64(m.pauseAfter(p.usual(m, now)))))
	}
}

// pauseAfter returns the pause after a request that takes so many seconds.
func (m *member) pauseAfter(taken float64) time.Duration {
	return min(time.Duration(taken*(1/m.limit-1)*float64(time.Second)), mostPause)
}

// NextRoom returns when a pause ends for which requests wait; waits is false if
// there is none.
func (p *Pool) NextRoom(now time.Time) (at time.Time, waits bool) {
	if len(p.queue) == 0 {
		return time.Time{}, false
	}
	for _, m := range p.order {
		isPaused := m.limit < 1 && m.inFlight == 0 && now.Before(m.pausedUntil)
		if isPaused && (!waits || m.pausedUntil.Before(at)) {
			at, waits = m.pausedUntil, true
		}
	}
	return at, waits
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
	if w.Only == "" && p.random.Float64() < untriedShare {
		if m := p.untried(w, now); m != nil {
			return m
		}
	}
	var best, bestNear *member
	bestTime, nearTime := math.Inf(1), math.Inf(1)
	for _, m := range p.order {
		if !m.takes(w, now) {
			continue
		}
		expected := p.expected(m, w, now)
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

// takes reports whether a request may be sent to a server now.
func (m *member) takes(w *Waiter, now time.Time) bool {
	return !m.Draining && !m.blocked(now) && w.accepts(m.ID) && m.hasRoom(now)
}

// untried returns the warm server of the own zone that was added last of those
// that have not answered yet, or nil.
func (p *Pool) untried(w *Waiter, now time.Time) *member {
	var newest *member
	for _, m := range p.order {
		isUntried := m.mean == 0 && m.inFlight == 0 && !now.Before(m.coldUntil) && m.Zone == p.zone
		if isUntried && m.takes(w, now) && (newest == nil || m.addedAt.After(newest.addedAt)) {
			newest = m
		}
	}
	return newest
}

// expected returns the time in seconds after which a request sent now is
// expected to be answered, varied by noise.
func (p *Pool) expected(m *member, w *Waiter, now time.Time) float64 {
	mean := p.usual(m, now)
	slots := float64(max(m.Slots, 1))
	busy := float64(m.inFlight) + m.others*fade(now.Sub(m.reportAt), reportLife)
	expected := mean * (1 + max(0, busy+1-slots)/slots)
	if now.Before(m.coldUntil) {
		expected *= coldFactor
	}
	if p.hangs(m, now) {
		expected += w.failureCost().Seconds()
	}
	expected += m.failure * fade(now.Sub(m.failureAt), failureLife) * w.failureCost().Seconds()
	if m.Zone != p.zone {
		expected += p.penalty.Seconds()
	}
	return expected * (1 + noise*(p.random.Float64()-0.5))
}

// hangs reports whether a server has requests and has answered none of this node
// for much longer than they take.
func (p *Pool) hangs(m *member, now time.Time) bool {
	return m.inFlight > 0 && p.isOverdue(m, now.Sub(m.silentSince), now)
}

// isOverdue reports whether a request without an answer for a time tells that the
// server hangs.
func (p *Pool) isOverdue(m *member, waited time.Duration, now time.Time) bool {
	return waited.Seconds() > hangFactor*p.usual(m, now)
}

// usual returns how many seconds a request takes at a server. What is known of a
// slow one loses its weight: it is not tried while others are quicker, and would
// count as slow for ever.
func (p *Pool) usual(m *member, now time.Time) float64 {
	times := p.times()
	switch {
	case m.mean == 0:
		return times.mean
	case m.mean <= times.median:
		return m.mean
	}
	return times.median + (m.mean-times.median)*fade(now.Sub(m.meanAt), slowLife)
}

// fade returns the weight of something of an age.
func fade(age, life time.Duration) float64 { return math.Exp2(-age.Seconds() / life.Seconds()) }

// serviceTimes sums up the mean times of the servers, in seconds.
type serviceTimes struct{ mean, median float64 }

// times returns the times over the servers that have one. They are kept until a
// time changes, since every choice among many servers asks for them.
func (p *Pool) times() serviceTimes {
	if p.known.mean > 0 {
		return p.known
	}
	var means []float64
	sum := 0.0
	for _, m := range p.order {
		if m.mean > 0 {
			means = append(means, m.mean)
			sum += m.mean
		}
	}
	if len(means) == 0 {
		initial := initialTime.Seconds()
		p.known = serviceTimes{initial, initial}
		return p.known
	}
	slices.Sort(means)
	p.known = serviceTimes{mean: sum / float64(len(means)), median: means[(len(means)-1)/2]}
	return p.known
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
	m.inFlight = max(0, m.inFlight-1)
	if outcome.Load != nil {
		p.takeLoad(m, *outcome.Load, now)
	}
	if !outcome.Failed && !outcome.NoRoom && !outcome.Abandoned {
		if m.mean == 0 {
			m.mean = outcome.Took.Seconds()
		}
		m.mean = p.usual(m, now)
		m.meanAt = now
		m.mean += timeWeight * (outcome.Took.Seconds() - m.mean)
		p.known = serviceTimes{}
	}
	hung := outcome.Abandoned && p.isOverdue(m, outcome.Took, now)
	if !outcome.Abandoned || hung {
		p.takeFailure(m, outcome.Failed || outcome.NoRoom || hung, now)
	}
	if !outcome.Abandoned {
		m.silentSince = now
	}
	if outcome.NotReached {
		m.block(now)
	} else if !outcome.Abandoned && !outcome.Failed {
		m.blocks = 0
	}
	p.takeRefusal(m, outcome)
	p.pause(m, now)
	return p.Admit(now)
}

// takeRefusal lowers the limit of a server that is full. One that refuses for
// lack of room is wanted by other nodes too, so that this one keeps to its share
// at once: by refusals alone 71 nodes needed four each. One that refuses with free
// slots fails for another reason.
func (p *Pool) takeRefusal(m *member, outcome Outcome) {
	isFull := outcome.Load == nil || outcome.Load.Running >= outcome.Load.Slots
	switch {
	case outcome.NoRoom && isFull:
		m.lowerLimit(refusedLimit)
		m.limit = max(leastLimit, min(m.limit, fairFactor*float64(max(m.Slots, 1))/float64(p.nodes)))
	case outcome.Reset:
		m.lowerLimit(refusedLimit)
	}
}

// Times for which a server that takes no connection is left alone.
const (
	leastBlock = 500 * time.Millisecond
	mostBlock  = 2 * time.Second
	// probeEvery is the least time between two connections to a slow server that
	// are opened to see whether it can be reached.
	probeEvery = 400 * time.Millisecond
)

// block keeps requests from a server that took no connection, longer each time.
func (m *member) block(now time.Time) {
	pause := min(leastBlock<<min(m.blocks, 4), mostBlock)
	m.blocks++
	m.blockedUntil = now.Add(pause)
}

// Probe reports whether a connection to a slow server should be tried, and
// whether the server took none lately.
func (p *Pool) Probe(id site.ServerID, now time.Time) (mustProbe, isBlocked bool) {
	m := p.members[id]
	if m == nil || m.blocked(now) {
		return false, m != nil
	}
	if now.Sub(m.probedAt) < probeEvery {
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

func (p *Pool) takeLoad(m *member, load site.Load, now time.Time) {
	// The report counts the request that it answers.
	m.others = max(0, float64(load.Total()-1-m.inFlight))
	m.reportAt = now
	slots := float64(max(load.Slots, 1))
	switch {
	case float64(load.Waiting) > shortQueue*slots:
		m.lowerLimit(lower)
	case load.Waiting == 0:
		free := max(0, slots-float64(load.Running))
		m.limit = min(m.limit+raise*free, slots)
	}
}

func (p *Pool) takeFailure(m *member, failed bool, now time.Time) {
	rate := m.failure * fade(now.Sub(m.failureAt), failureLife)
	target := 0.0
	if failed {
		target = 1
	}
	m.failure = rate + failureWeight*(target-rate)
	m.failureAt = now
}
