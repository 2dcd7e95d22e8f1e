package lessor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// The simulated cluster of the search has three nodes (0 is the first lessor, 1
// its standby lessor, 2 another node), two servers (0 is the owner, 1 its
// standby server), one shard and the log. Every process runs the production
// code. Every contact may happen or not at any step, so that partitions, losses
// and pauses of any length are covered.

const (
	timeUnit  = time.Millisecond // of simulated time
	nodeCount = 3
)

var (
	searchShard = topo.ShardID{Service: "svc"}
	nodeNames   = [nodeCount]topo.NodeID{"l", "b", "c"}
	serverNames = [2]topo.ServerID{"s", "t"}
	searchGroup = topo.GroupID("z/0")
)

// bounds limits the search.
type bounds struct {
	ttl, limit     time.Duration // lease TTL and MaxDisconnected
	claims         int           // records that may claim a term after the first
	assigns        int           // records of assignments
	claimers       string        // nodes that may claim
	modeRequesters string        // nodes that may request disconnected mode
	restarts       int           // of servers
	nodeRestarts   int
	lossy          bool     // replies to renewals and acknowledgements may be lost
	delayed        bool     // one message, or one record, may be held back
	relay          bool     // nodes may receive records without log contact
	prefix         []string // steps that are taken first
	followPlans    bool     // members follow their plans, at intervals
	maxFormer      int      // incarnations that the log lists; 0 for maxFormerRuns
	rules          rules
	// nodeRates and serverRates are clock speeds in parts per million of the
	// world's time; 0 is the same speed. drift is the bound that the nodes
	// assume.
	nodeRates   [nodeCount]int64
	serverRates [2]int64
	drift       int
}

const million = 1_000_000

// clockReading returns the reading of a clock with a given rate.
func clockReading(now time.Duration, rate int64) time.Duration {
	if rate == 0 {
		return now
	}
	return time.Duration(int64(now) / million * rate)
}

// searchLog is the state that results from the records of the log.
type searchLog struct {
	next          topo.Offset
	term          topo.Term
	lessor        Incarnation
	standby       Incarnation
	fence         topo.Fence
	owner         topo.ServerID
	ownerBoot     topo.BootID
	standbyServer topo.ServerID
	claims        int
	assigns       int
	boots         [nodeCount]int // of the nodes that joined
	heldSince     topo.Offset    // see state.Group.EarliestActiveTerm
	former        [maxFormerRuns]state.PreviousIncarnation
	since         topo.Offset // of former; zero if there is none
}

// maxFormerRuns is the maximum number of previous incarnations in the log: two
// of each node.
const maxFormerRuns = 2 * nodeCount

// group returns the group as package state represents it.
func (l *searchLog) group() state.Group {
	group := state.Group{
		ID: searchGroup, Term: l.term,
		Lessor: l.lessor.Node, LessorBoot: l.lessor.Boot,
		Standby: l.standby.Node, StandbyBoot: l.standby.Boot,
		EarliestActiveTerm: l.heldSince,
	}
	if l.since == 0 {
		return group
	}
	group.Previous = &state.PreviousLessors{Since: l.since}
	for _, run := range l.former {
		if run.Node != "" {
			group.Previous.Incarnations = append(group.Previous.Incarnations, run)
		}
	}
	return group
}

// applyClaim applies a claim of the group's next term, and keeps at most most
// previous incarnations.
func (l *searchLog) applyClaim(term topo.Term, lessor, standby Incarnation, settled bool, most int) {
	next := l.group().PreviousAfter(settled)
	if settled {
		l.heldSince = l.term.Offset
	}
	if l.term.IsZero() {
		l.heldSince = term.Offset
	}
	l.term, l.lessor, l.standby = term, lessor, standby
	l.former, l.since = [maxFormerRuns]state.PreviousIncarnation{}, 0
	if next == nil {
		return
	}
	l.since = next.Since
	if len(next.Incarnations) > most {
		l.since = max(l.since, next.Incarnations[most].LatestTerm().Offset+1)
		next.Incarnations = next.Incarnations[:most]
	}
	copy(l.former[:], next.Incarnations)
}

// record is one record that a node writes to the log.
type record struct {
	node   int
	claim  *Claim
	submit *Submission
	self   Incarnation
}

// message is the single message that is held back.
type message struct {
	kind      string // "renew", "renewed", "beat", "answer", "record"
	node      int    // index of its lessor
	server    int
	order     LeaseOrder
	report    LeaseReport
	heartbeat Heartbeat
	answer    HeartbeatReply
	attempt   uint64
	record    record
}

type searchServer struct {
	holder   *lease.Holder
	started  time.Duration
	restarts int
}

type searchNode struct {
	member *Member
	boots  int
	// submitted is the offset of the record in flight, if it is in the log.
	submitted topo.Offset
	number    uint64
}

type world struct {
	b           *bounds
	now         time.Duration
	log         searchLog
	nodes       [nodeCount]searchNode
	servers     [2]searchServer
	heldMessage *message
	facts       *factsCache
	// ownedNodes and ownedServers mark what this world does not share with
	// another.
	ownedNodes   [nodeCount]bool
	ownedServers [2]bool
}

// factsCache shares the facts of each state of the log among all worlds.
type factsCache struct {
	b    *bounds
	mu   sync.Mutex
	made map[searchLog]*Facts
}

func nodeBoot(node, number int) topo.BootID {
	return topo.BootID(fmt.Sprintf("%s%d", nodeNames[node], number))
}

func serverBoot(server, number int) topo.BootID {
	return topo.BootID(fmt.Sprintf("%s%d", serverNames[server], number))
}

func (b *bounds) config(node, run int) Config {
	config := Config{
		Node:  nodeNames[node],
		Boot:  nodeBoot(node, run),
		Zone:  "z",
		Group: searchGroup,
		Lease: lease.Timing{TTL: b.ttl, DriftPPM: b.drift},
		// Every action is due at any time; the search chooses among them.
		MoveTimeout: time.Hour,
	}
	if b.followPlans {
		config.RenewEvery = b.ttl / 4
		config.HeartbeatEvery = b.ttl / 12
		config.SuspectAfter = b.ttl / 3
		config.StandInAfter = b.ttl / 4
		config.RetryAfter = b.ttl / 12
	}
	return config
}

func (c *factsCache) of(log searchLog) *Facts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if facts, exists := c.made[log]; exists {
		return facts
	}
	policy := &Policy{ChecksFencing: true, MaxDisconnected: c.b.limit, TakeoverLimit: c.b.limit}
	shard := Shard{
		Assignment: state.Assignment{
			Shard: searchShard, Fence: log.fence, Owner: log.owner, OwnerBoot: log.ownerBoot, Standby: log.standbyServer,
		},
		StandbyHere: log.standbyServer != "",
		Policy:      policy,
	}
	facts := &Facts{
		Applied:             log.next - 1,
		Group:               log.group(),
		Servers:             map[topo.ServerID]Server{},
		Shards:              map[topo.ShardID]Shard{searchShard: shard},
		ShardsOf:            map[topo.ServerID][]topo.ShardID{log.owner: {searchShard}},
		LongestDisconnected: c.b.limit,
		Targets:             map[topo.Service][]Target{},
	}
	for _, id := range serverNames {
		facts.Servers[id] = Server{Server: state.Server{ID: id, Address: "x", Phase: state.PhaseLive}}
		facts.Targets["svc"] = append(facts.Targets["svc"], Target{ID: id, Zone: "z", Group: searchGroup})
	}
	for i, id := range nodeNames {
		facts.Nodes = append(facts.Nodes, state.Node{ID: id, Boot: nodeBoot(i, log.boots[i]), Zone: "z"})
	}
	c.made[log] = facts
	return facts
}

// newSearchWorld returns a stable cluster: the first lessor is settled and has
// granted the shard to the first server.
func newSearchWorld(b *bounds) *world {
	w := &world{b: b, facts: &factsCache{b: b, made: map[searchLog]*Facts{}}}
	first := searchLog{next: 10, owner: serverNames[0], ownerBoot: serverBoot(0, 1), standbyServer: serverNames[1],
		fence: topo.MakeFence(9, 0), boots: [nodeCount]int{1, 1, 1}}
	w.log = first
	for i := range w.nodes {
		w.nodes[i] = searchNode{member: NewMember(b.config(i, 1)), boots: 1}
		w.ownedNodes[i] = true
		w.nodes[i].member.rules = b.rules
		w.nodes[i].member.rules.eager = !b.followPlans
		w.readLog(i, true)
	}
	for i := range w.servers {
		w.servers[i].holder = lease.NewHolder(serverBoot(i, 1))
	}
	if !w.claim(0) {
		panic("the first lessor could not claim")
	}
	w.log.claims = 0
	w.log.standby = w.incarnation(1)
	for i := range w.nodes {
		w.readLog(i, true)
	}
	for range 2 { // the first gets a stamp, the second the lease
		for s := range w.servers {
			w.renew(0, s, "")
		}
	}
	w.firstHeartbeat("")
	return w
}

func (w *world) incarnation(node int) Incarnation { return w.nodes[node].member.self() }

// clone returns a copy that shares members and holders until they are modified.
func (w *world) clone() *world {
	next := *w
	next.ownedNodes = [nodeCount]bool{}
	next.ownedServers = [2]bool{}
	return &next
}

// member returns a node's member for modification.
func (w *world) member(node int) *Member {
	if !w.ownedNodes[node] {
		w.ownedNodes[node] = true
		w.nodes[node].member = w.nodes[node].member.clone()
	}
	return w.nodes[node].member
}

// holder returns a server's holder for modification.
func (w *world) holder(server int) *lease.Holder {
	if !w.ownedServers[server] {
		w.ownedServers[server] = true
		w.servers[server].holder = w.servers[server].holder.Clone()
	}
	return w.servers[server].holder
}

func (m *Member) clone() *Member {
	next := *m
	next.standbyState.activated = copyMap(m.standbyState.activated)
	next.standbyState.undecided = copyMap(m.standbyState.undecided)
	next.watch.nodes = map[topo.NodeID]*watched{}
	next.heartbeats.sent = copyMap(m.heartbeats.sent)
	next.servers = make(map[topo.ServerID]*server, len(m.servers))
	for id, s := range m.servers {
		copied := *s
		copied.revoked = copyMap(s.revoked)
		next.servers[id] = &copied
	}
	next.settled = copyMap(m.settled)
	next.needs = copyMap(m.needs)
	next.activated = make(map[topo.ShardID]*activation, len(m.activated))
	for id, a := range m.activated {
		copied := *a
		next.activated[id] = &copied
	}
	next.moves = make(map[topo.ShardID]*move, len(m.moves))
	for id, mv := range m.moves {
		copied := *mv
		next.moves[id] = &copied
	}
	next.submit.undecided = copyMap(m.submit.undecided)
	return &next
}

// copyMap is maps.Clone without its cost for empty maps.
func copyMap[K comparable, V any](from map[K]V) map[K]V {
	if len(from) == 0 {
		return map[K]V{}
	}
	return maps.Clone(from)
}

// readLog lets a node apply every record, by contact with the log or through
// another node.
func (w *world) readLog(node int, contact bool) {
	n := &w.nodes[node]
	if n.submitted > 0 && n.submitted < w.log.next {
		w.member(node).Observe(w.clock(node), w.clock(node), contact, w.facts.of(w.log))
		w.member(node).SubmitDone(w.clock(node), n.number, n.submitted)
		n.submitted = 0
		return
	}
	w.member(node).Observe(w.clock(node), w.clock(node), contact, w.facts.of(w.log))
}

// claim begins a claim and appends its record.
func (w *world) claim(node int) bool {
	claim, _, allowed := w.member(node).BeginClaim(w.clock(node))
	if !allowed {
		return false
	}
	return w.append(record{node: node, claim: &claim, self: w.incarnation(node)})
}

// append applies a record as state.Apply does.
func (w *world) append(r record) bool {
	offset := w.log.next
	w.log.next++
	if r.claim != nil {
		if r.claim.Expected != w.log.term {
			return false
		}
		w.log.applyClaim(topo.MakeTerm(offset, 0), r.self, r.claim.Standby, r.claim.Settled, cmp.Or(w.b.maxFormer, maxFormerRuns))
		w.log.claims++
		return true
	}
	if r.submit.Term != w.log.term {
		return false
	}
	for _, a := range r.submit.Assigns {
		if a.Expected != w.log.fence || a.Shard != searchShard {
			return false
		}
		w.log.fence = topo.MakeFence(offset, 0)
		w.log.owner, w.log.ownerBoot, w.log.standbyServer = a.Owner, a.OwnerBoot, a.Standby
	}
	w.log.assigns++
	return true
}

// clock returns the reading of a node's clock.
func (w *world) clock(node int) time.Duration { return clockReading(w.now, w.b.nodeRates[node]) }

// serverNow returns the reading of a server's clock, measured from its start.
func (w *world) serverNow(server int) time.Duration {
	return clockReading(w.now-w.servers[server].started, w.b.serverRates[server])
}

// owners returns the number of servers that would serve the shard now.
func (w *world) owners() int {
	count := 0
	for i := range w.servers {
		s := &w.servers[i]
		if !s.holder.Valid(w.serverNow(i)) {
			continue
		}
		if slices.ContainsFunc(s.holder.Grants(), func(h lease.Held) bool { return h.Shard == searchShard }) {
			count++
		}
	}
	return count
}
