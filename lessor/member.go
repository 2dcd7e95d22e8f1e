package lessor

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Role is a node's part in a group.
type Role uint8

// Parts of a node in a group.
const (
	RoleNone    Role = iota
	RoleStandby      // standby lessor
	RoleLessor
)

// String names the role.
func (r Role) String() string {
	switch r {
	case RoleStandby:
		return "standby"
	case RoleLessor:
		return "lessor"
	}
	return "none"
}

// Member is this node's part in one group. It is not safe for concurrent use.
// Times passed to its methods must not decrease.
type Member struct {
	cfg   Config
	rules rules

	facts           *Facts
	shards          []topo.ShardID // see shardOrder
	shardsFrom      *Facts         // the facts that shards was built from
	turnIndex       int            // among the candidates for the next lessor; below 0 if not a candidate
	isWatcher       bool           // one of the few nodes that watch lessor and standby lessor
	observed        bool
	contact         moment // start of the latest log read that proved Facts up to date
	logFailingSince moment // start of the current series of failed log reads
	termSeen        moment // when the current term was first seen
	// superseded records when the terms of previous incarnations were first seen
	// to have ended.
	superseded supersessions
	// lessorGone and standbyGone are when the facts first reported this in the
	// current term.
	lessorGone  moment
	standbyGone moment

	role   Role
	term   topo.Term // as the lessor, or as the standby lessor
	offLog bool      // lessor under the standby's term, not recorded yet
	// settledTerm is the latest term that this incarnation knows to be settled, as
	// its lessor by the log or as the standby lessor: every lease of earlier terms
	// has ended.
	settledTerm topo.Term
	// disconnectedTerm is the latest term in which this incarnation, as the
	// lessor, asked for disconnected mode, or still had standby servers
	// activated in such a term.
	disconnectedTerm topo.Term
	askedStandbys    askedStandbys
	draining         bool // this process is shutting down

	standbyState    standbyState
	claim           claimState
	watch           watch
	unresponsive    unresponsiveRuns
	schedulingDelay schedulingDelay

	// The following fields are used only by a lessor.
	right      right
	heartbeats heartbeats
	takeover   takeover
	settling   bool // some shards may not be settled
	servers    map[topo.ServerID]*server
	settled    map[topo.ShardID]topo.Fence
	needs      map[topo.ShardID]need
	activated  map[topo.ShardID]*activation
	moves      map[topo.ShardID]*move
	submit     submission
	announced  moment // time of the latest announcement
}

// claimState is a claim of this incarnation whose record has not been observed.
type claimState struct {
	number         uint64
	inFlight       bool // the driver is processing it
	maybeWritten   bool // its record was, or may have been, written
	expected       topo.Term
	retryAt        moment // earliest time of the next claim
	standbyChanges int    // consecutive claims by which a lessor named another standby lessor
	returnedAt     moment // time of the latest claim that named a standby lessor of the group's zone again
}

// pending reports whether a claim may still take effect.
func (c claimState) pending() bool { return c.inFlight || c.maybeWritten }

// NewMember returns a member that has observed nothing.
func NewMember(cfg Config) *Member {
	m := &Member{cfg: cfg, facts: &Facts{}}
	m.resetLessor()
	m.watch = watch{}.next(0, false)
	return m
}

func (m *Member) resetLessor() {
	m.right = right{}
	m.heartbeats = heartbeats{round: m.heartbeats.round, sent: map[uint64]time.Duration{}}
	m.takeover = takeover{}
	m.servers = map[topo.ServerID]*server{}
	m.settled = map[topo.ShardID]topo.Fence{}
	m.needs = map[topo.ShardID]need{}
	m.activated = map[topo.ShardID]*activation{}
	m.moves = map[topo.ShardID]*move{}
	m.submit = submission{number: m.submit.number, undecided: map[topo.ShardID]undecidedShard{}}
	m.announced = moment{}
}

func (m *Member) self() Incarnation { return Incarnation{Node: m.cfg.Node, Boot: m.cfg.Boot} }

func (m *Member) isLessor() bool {
	g := m.facts.Group
	return m.self() == Incarnation{Node: g.Lessor, Boot: g.LessorBoot}
}

func (m *Member) isStandby() bool {
	g := m.facts.Group
	return m.self() == Incarnation{Node: g.Standby, Boot: g.StandbyBoot}
}

// highestTerm returns the highest term of the group that this incarnation knows
// to be used.
func (m *Member) highestTerm() topo.Term {
	if m.offLog {
		return m.term
	}
	return m.facts.Group.Term
}

// Observe takes the state as of facts. askedAt is the start of the latest log
// read that proved these facts up to date; known is false if there never was
// one. The caller must read askedAt before it takes the view from which it
// derives the facts: otherwise a record applied in between would be missing
// from facts that are treated as fresh. If facts is the same pointer as before,
// only the contact is renewed.
func (m *Member) Observe(now time.Duration, askedAt time.Duration, known bool, facts *Facts) {
	if known {
		m.contact = m.contact.later(momentAt(askedAt))
	}
	if facts == m.facts {
		return
	}
	old := m.facts
	before := old.Group.Term
	turns := !m.observed || old.Group != facts.Group || !sameList(old.Nodes, facts.Nodes)
	m.facts = facts
	m.settling = true
	if !m.observed || facts.Group.Term != before {
		m.observed = true
		m.termChanged(now, old.Group)
	}
	m.recordGone(now)
	if turns {
		m.turnIndex, m.isWatcher = m.turn()
	}
	m.dropSuperseded()
	if m.role == RoleLessor {
		m.expediteNewFences(old)
	}
	m.advance(now)
}

// LogFailing reports whether the latest log read failed. It is a hint for when
// to change the mode; no right depends on it.
func (m *Member) LogFailing(now time.Duration, failing bool) {
	switch {
	case !failing:
		m.logFailingSince = moment{}
	case !m.logFailingSince.set:
		m.logFailingSince = momentAt(now)
	}
}

func (m *Member) recordGone(now time.Duration) {
	if m.facts.LessorGone && !m.lessorGone.set {
		m.lessorGone = momentAt(now)
	}
	if m.facts.StandbyGone && !m.standbyGone.set {
		m.standbyGone = momentAt(now)
	}
}

// termChanged takes this node's part in the new current term.
func (m *Member) termChanged(now time.Duration, before state.Group) {
	supersededAt := now
	if m.rules.noSupersession {
		supersededAt = m.termSeen.at
	}
	m.superseded = m.superseded.next(supersededAt, m.facts.Group)
	m.termSeen = momentAt(now)
	m.lessorGone, m.standbyGone = moment{}, moment{}
	m.watch = m.watch.next(now, m.role == RoleLessor && m.isOutsider())
	switch {
	case m.isLessor():
		m.becomeLessor(now, before)
	case m.isStandby():
		m.stepDown()
		m.role = RoleStandby
		m.term = m.facts.Group.Term
		m.standbyState = newStandbyState(now)
	default:
		m.stepDown()
	}
	m.claim = claimState{number: m.claim.number, retryAt: m.claim.retryAt, standbyChanges: m.claim.standbyChanges, returnedAt: m.claim.returnedAt}
}

// stepDown drops this node's part in the group.
func (m *Member) stepDown() {
	m.role = RoleNone
	m.term = topo.Term{}
	m.offLog = false
	m.standbyState = standbyState{}
	m.resetLessor()
}

// becomeLessor starts a term that this incarnation claimed.
func (m *Member) becomeLessor(now time.Duration, before state.Group) {
	next := m.takeoverAfter(now, before)
	carried := next.basis == basisSelf
	if !carried {
		m.resetLessor()
		m.takeover = next
	}
	m.role = RoleLessor
	m.term = m.facts.Group.Term
	m.offLog = false
	m.right = right{}
	m.heartbeats.sent = map[uint64]time.Duration{}
	if carried {
		m.carryOver()
	}
	m.standbyState = standbyState{}
}

// carryOver keeps what this incarnation knew as the lessor of the previous
// term. Records of that term can no longer change anything, so planned moves
// whose record was in flight are submitted again.
func (m *Member) carryOver() {
	if m.takeover.before == math.MaxUint64 {
		m.takeover.before = m.term.Offset
	}
	for _, s := range m.servers {
		s.newTerm()
	}
	for _, a := range m.activated {
		a.reportedRound = 0
	}
	if len(m.activated) > 0 {
		m.disconnectedTerm = m.term // no record reports the activations yet
	}
	for _, mv := range m.moves {
		mv.submitted = false
	}
	m.submit = submission{number: m.submit.number + 1, undecided: map[topo.ShardID]undecidedShard{}}
}

// dropSuperseded drops entries that later assignments have superseded.
func (m *Member) dropSuperseded() {
	for id, fence := range m.settled {
		if m.facts.Shards[id].Fence != fence {
			delete(m.settled, id)
		}
	}
	for id, n := range m.needs {
		if m.facts.Shards[id].Fence != n.fence {
			delete(m.needs, id)
		}
	}
	for id, a := range m.activated {
		if m.facts.Shards[id].Fence != a.fence {
			delete(m.activated, id)
		}
	}
	m.dropFinishedMoves()
	m.dropDecided()
	for id := range m.servers {
		if _, exists := m.facts.Servers[id]; !exists {
			delete(m.servers, id)
		}
	}
}

// Role returns this node's part in the group.
func (m *Member) Role() Role { return m.role }

// Term returns the term in which this node is the lessor; zero if it is not the
// lessor.
func (m *Member) Term() topo.Term {
	if m.role != RoleLessor {
		return topo.Term{}
	}
	return m.term
}

// SetDraining makes a lessor hand its term over to its standby lessor, and
// keeps any other member from claiming.
func (m *Member) SetDraining() { m.draining = true }

// MayRenew reports whether this node is the lessor and may currently renew
// leases for at least one kind of service.
func (m *Member) MayRenew(now time.Duration) bool {
	until, has := m.RightUntil()
	return has && now < until
}

// RightUntil returns the time until which this node may act as the lessor, as
// far as it knows now; false if it may not.
func (m *Member) RightUntil() (time.Duration, bool) {
	if m.role != RoleLessor {
		return 0, false
	}
	return m.rightUntil(m.facts.LongestDisconnected)
}

// rightUntil is RightUntil for services with a limit on the disconnected time.
func (m *Member) rightUntil(limit time.Duration) (time.Duration, bool) {
	limited := m.disconnectedEnd(limit)
	if m.offLog {
		return limited.at, limited.set
	}
	end := moment{}
	if m.right.promise.set && limited.set {
		end = momentAt(min(m.right.promise.at+m.cfg.Lease.TTL, limited.at))
	}
	if m.right.mode == ModeConnected && m.contact.set {
		end = end.later(momentAt(m.contact.at + m.cfg.Lease.TTL))
	}
	return end.at, end.set
}

// disconnectedEnd returns when a limit on the disconnected time ends the right
// of a lessor that gets no new log contact.
func (m *Member) disconnectedEnd(limit time.Duration) moment {
	switch {
	case limit == siteconfig.Forever:
		return momentAt(math.MaxInt64)
	case !m.contact.set:
		return moment{}
	}
	return momentAt(m.contact.at + limit)
}
