package ranges

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// world is a simulated cluster: a store, nodes that run the lessor with an Allocator, and
// servers. Calls are delayed, lost, or executed late without a response. Nodes pause and
// temporarily lose the store or servers. Servers restart under their names, and calls to an
// earlier incarnation reach the next one.
type world struct {
	random  *rand.Rand
	rules   rules
	links   saturatedLinks
	timing  Timing
	now     time.Time
	records []worldRecord
	copies  worldCopies
	nodes   []*worldNode
	servers map[site.ServerName]*worldServer
	known   map[site.ServerID]site.Server // every incarnation that was registered
	calls   []*worldCall
	fault   string // found while a call was executed
	moves   int
	claims  int
	// handOffs is the number of reports that new lessors received from previous ones.
	handOffs int
	restarts int // number of server restarts
}

const (
	worldStep    = 20 * time.Millisecond
	worldService = site.ServiceName("keyed")
	sampleCount  = 24 // keys at which ownership is checked
)

func sampleKey(i int) Key { return Key(i * int(LastKey+1) / sampleCount) }

type worldRecord struct {
	at           time.Time
	era          store.Era // in which it was written
	table        *Table    // nil for a confirmation
	node         int
	resigned     bool
	held         time.Duration // set if resigned
	uncertain    time.Duration // set if resigned
	previousHold time.Duration // how long grants of lessors before the writer may be in force
}

type worldCall struct {
	node    *worldNode
	call    Call
	address string // address to which it was sent
	// acknowledgedAt is when the server's machine acknowledges the call, and arrivesAt when
	// its process reads it; both zero: the call is lost.
	acknowledgedAt, arrivesAt time.Time
	isUnsent                  bool      // no byte of it is sent: the connection is not accepted in time
	executesAt                time.Time // late calls are executed some time after their arrival
	answered                  bool      // the node receives the response
	executed                  bool
	abandoned                 bool
}

type worldNode struct {
	id              int
	allocator       *Allocator
	loads           *Loads
	busyKey         Key       // key that receives half of the requests
	busyUntil       time.Time // when another key becomes busy
	end             Fence
	confirmedAt     time.Time
	nextConfirm     time.Time
	pausedUntil     time.Time
	storeLostUntil  time.Time
	serverLostUntil map[site.ServerName]time.Time
	// acceptsAt is when the process of each server accepts the node's connection.
	acceptsAt map[site.ServerID]time.Time
	// linkFullUntil is when the node's own link ceases to be full, and linkDelay is how
	// long bytes wait in it until then. They leave it in the order in which they were
	// written.
	linkFullUntil time.Time
	// endedLessor is the lessor that an earlier process of the node was; that process ended
	// at endedAt.
	endedLessor      Lessor
	endedAt          time.Time
	linkDelay        time.Duration
	leftLinkAt       time.Time // when the bytes that were written last leave the link
	readAt           time.Time
	readEnd          store.Offset
	readEndChangedAt time.Time
	resignAt         time.Time // when it resigns; zero: never
	copyKnowledge
}

func newWorld(seed uint64, r rules, links saturatedLinks) *world {
	w := &world{
		links:   links,
		random:  rand.New(rand.NewPCG(seed, 1)),
		rules:   r,
		timing:  DefaultTiming(),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		servers: map[site.ServerName]*worldServer{},
		known:   map[site.ServerID]site.Server{},
	}
	if !links {
		w.timing.MaxLinkDelay = 0
	}
	for i := range 3 {
		w.nodes = append(w.nodes, &worldNode{id: i, serverLostUntil: map[site.ServerName]time.Time{}, acceptsAt: map[site.ServerID]time.Time{}})
	}
	for range 3 {
		w.addServer()
	}
	return w
}

// run simulates the cluster for the given duration and describes the first time at which
// two servers hold a key. It returns "" if there is none.
func (w *world) run(length time.Duration) string {
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(worldStep) {
		w.injectFaults()
		w.restoreCopy()
		w.advanceServers()
		w.deliver()
		for _, n := range w.nodes {
			if !w.now.Before(n.pausedUntil) {
				w.step(n)
			}
		}
		if fault := w.check(); fault != "" {
			return fault
		}
	}
	return ""
}

// occurs reports whether an event with the given mean interval occurs in this step.
func (w *world) occurs(mean time.Duration) bool {
	return w.random.Float64() < float64(worldStep)/float64(mean)
}

func (w *world) randomTime(limit time.Duration) time.Time {
	return w.now.Add(time.Duration(w.random.Int64N(int64(limit))))
}

// injectFaults starts pauses, network cuts, server losses and drains.
func (w *world) injectFaults() {
	names := slices.Sorted(maps.Keys(w.servers))
	for _, n := range w.nodes {
		if w.occurs(15 * time.Second) {
			n.pausedUntil = w.randomTime(12 * time.Second)
		}
		if w.occurs(10 * time.Second) {
			n.storeLostUntil = w.randomTime(12 * time.Second)
		}
		if w.occurs(8 * time.Second) {
			n.serverLostUntil[names[w.random.IntN(len(names))]] = w.randomTime(10 * time.Second)
		}
		if bool(w.links) && w.occurs(12*time.Second) {
			n.linkFullUntil = w.randomTime(6 * time.Second)
			n.linkDelay = time.Duration(w.random.Int64N(int64(maxSimulatedLinkDelay)))
		}
		if bool(w.links) && n.allocator != nil && w.occurs(20*time.Second) {
			n.endedLessor, n.endedAt = n.allocator.self, w.now
			n.endLease()
			n.copyKnowledge = copyKnowledge{}
		}
		if n.allocator != nil && n.resignAt.IsZero() && w.occurs(20*time.Second) {
			n.resignAt = w.now
		}
	}
	server := w.servers[names[w.random.IntN(len(names))]]
	switch {
	case w.occurs(25*time.Second) && len(names) < 8:
		w.addServer()
	case w.occurs(25*time.Second) && server.up:
		server.Draining = true
		server.registersAt = w.now
	case w.occurs(10*time.Second) && server.up:
		server.crash(w)
	case w.occurs(40*time.Second) && server.restartsAt.IsZero():
		server.up = false
	}
}

// send sends a call.
func (w *world) send(n *worldNode, call Call) {
	c := &worldCall{node: n, call: call, address: w.known[call.Server].Address, answered: true}
	latency := time.Duration(w.random.Int64N(int64(30 * time.Millisecond)))
	if w.random.IntN(12) == 0 {
		latency = time.Duration(w.random.Int64N(int64(w.timing.CallTimeout)))
	}
	w.route(c, latency)
	c.executesAt = c.arrivesAt
	if w.random.IntN(10) == 0 {
		c.executesAt = c.arrivesAt.Add(time.Duration(w.random.Int64N(int64(8 * time.Second))))
		c.answered = false
	}
	if w.now.Before(n.serverLostUntil[call.Server.Name()]) || !w.servers[call.Server.Name()].up && w.random.IntN(3) > 0 {
		c.acknowledgedAt, c.arrivesAt = time.Time{}, time.Time{}
	}
	if bool(w.links) && w.random.IntN(30) == 0 {
		c.abandoned = true // no connection
		n.done(call, Result{Failed: true, Outcome: NotSent}, w.now)
		return
	}
	w.calls = append(w.calls, c)
}

// deliver executes calls at servers, and passes responses and timeouts to nodes.
func (w *world) deliver() {
	kept := w.calls[:0]
	for _, c := range w.calls {
		timeout := w.timing.CallTimeout
		if c.call.Release {
			timeout = w.timing.ReleaseTimeout
		}
		lost := c.arrivesAt.IsZero() || c.isUnsent
		if !lost && !c.executed && !w.now.Before(c.executesAt) {
			c.executed = true
			w.execute(c)
		}
		if !c.abandoned && w.now.Sub(c.call.SentAt) >= timeout {
			c.abandoned = true
			c.node.resetConnection(c)
			c.node.done(c.call, w.result(c), w.now)
		}
		if !c.abandoned || !lost && !c.executed {
			kept = append(kept, c)
		}
	}
	w.calls = kept
}

func (n *worldNode) done(call Call, result Result, now time.Time) {
	if n.allocator != nil {
		n.allocator.Done(call, result, now)
	}
}

// append appends a record at an offset if the node can reach the store.
func (w *world) append(n *worldNode, at Fence, record worldRecord) (done, conflict bool) {
	if !w.reachesStore(n) {
		return false, false
	}
	position := store.Offset(at)
	record.at, record.era = w.now, position.Era()
	isAtEnd := int(position.Place()) == len(w.records)
	if isAtEnd {
		w.records = append(w.records, record)
	}
	if position.Era() != w.copies.era {
		w.beginReissue(n)
		return false, false
	}
	return isAtEnd, !isAtEnd
}

func (w *world) step(n *worldNode) {
	if n.allocator == nil {
		w.considerClaim(n)
		return
	}
	lease := Lease{ConfirmedAt: n.confirmedAt}
	if w.rules.noLeaseCheck {
		lease = Lease{ConfirmedAt: w.now}
	}
	for _, call := range n.allocator.Calls(w.registered(), lease, w.now) {
		w.send(n, call)
	}
	if n.reissueSince.IsZero() {
		w.change(n)
	} else {
		w.continueReissue(n)
	}
}

// change appends a planned change, a resignation or a confirmation.
func (w *world) change(n *worldNode) {
	if w.random.IntN(3) > 0 {
		n.loads.Count(worldService, sampleKey(w.random.IntN(6)), 3)
	}
	if !w.now.Before(n.busyUntil) {
		n.busyKey = sampleKey(w.random.IntN(sampleCount))
		n.busyUntil = w.now.Add(time.Duration(w.random.Int64N(int64(2 * time.Second))))
	}
	n.loads.Count(worldService, n.busyKey, 1)
	n.loads.Decay(w.now)
	for _, s := range w.servers {
		n.loads.ReportServiceTime(s.ID, 200*time.Millisecond)
	}
	w.dropRules(n)
	record := worldRecord{node: n.id, previousHold: n.allocator.PreviousHeldFor(w.now)}
	change := n.allocator.Plan(w.site(n), w.fence(store.Offset(n.end)), w.now)
	w.moves += len(n.allocator.Moves())
	switch {
	case change != nil:
		record.table = change.Table
	case !n.resignAt.IsZero():
		record.resigned = true
		record.held = n.allocator.HeldFor(w.now)
		record.uncertain = n.allocator.UncertainFor(w.now)
	case w.now.Before(n.nextConfirm):
		return
	}
	done, conflict := w.append(n, n.end, record)
	if conflict {
		n.endLease()
		return
	}
	if n.allocator == nil || !n.reissueSince.IsZero() {
		return
	}
	if !done {
		if change != nil {
			n.discardPlan()
		}
		return
	}
	w.confirmed(n, change, record)
}

// dropRules applies the disabled rules to the lessor of a node.
func (w *world) dropRules(n *worldNode) {
	for _, l := range n.allocator.leases[worldService] {
		w.rules.drop(n.allocator, l, w.registered(), w.now)
	}
}

// discardPlan discards a change that the store did not accept; it is planned again.
func (n *worldNode) discardPlan() { n.allocator.Discard() }

func (w *world) confirmed(n *worldNode, change *Change, record worldRecord) {
	n.end++
	n.confirmedAt = w.now
	n.nextConfirm = w.now.Add(500 * time.Millisecond)
	if !w.now.Before(n.leftLinkAt) {
		n.allocator.Answered(w.now, w.now)
	}
	if change != nil {
		n.allocator.Appended(change)
	}
	if record.resigned {
		n.endLease()
	}
}

func (w *world) site(n *worldNode) Site {
	return Site{
		Services: map[site.ServiceName]site.Service{worldService: {Name: worldService, Keyed: true}},
		Servers:  w.registered(),
		Known:    w.known,
		Writable: w.now.Sub(n.confirmedAt) < 1200*time.Millisecond,
		Settled:  true,
		Load:     n.loads,
	}
}

// considerClaim claims the lease when the topic has been idle, as package duty does.
func (w *world) considerClaim(n *worldNode) {
	if !w.reachesStore(n) || w.now.Sub(n.readAt) < 400*time.Millisecond {
		return
	}
	n.readAt = w.now
	w.observeEra(n)
	if w.end() != n.readEnd || n.readEndChangedAt.IsZero() {
		n.readEnd = w.end()
		n.readEndChangedAt = w.now
	}
	resigned := len(w.records) > 0 && w.records[len(w.records)-1].resigned && w.records[len(w.records)-1].era == w.copies.era
	if !resigned && w.now.Sub(n.readEndChangedAt) < 1200*time.Millisecond || w.random.IntN(4) > 0 {
		return
	}
	table, older := w.newestTable(n)
	if w.awaitsHolds(n) {
		return
	}
	if w.rules.noFreshTable {
		table = older
	}
	at := w.fence(w.end())
	next := table.Refenced(Lessor{Boot: fmt.Sprint(n.id, at)}, at)
	before := time.Duration(0)
	if len(w.records) > 0 {
		before = w.records[len(w.records)-1].previousHold
	}
	previousHold := w.previousHold(resigned, w.now.Sub(n.readEndChangedAt))
	w.records = append(w.records, worldRecord{at: w.now, era: w.copies.era, table: next, node: n.id, previousHold: previousHold})
	w.claims++
	n.allocator = NewAllocator(next, w.timing, previousHold, w.now)
	clear(n.acceptsAt)
	if resigned {
		n.allocator.LimitUncertain(w.records[len(w.records)-2].uncertain, w.now) // the record before the claim
	}
	n.loads = NewLoads()
	n.end = Fence(w.end())
	n.confirmedAt = w.now
	w.handOff(n, table.Lessor, before)
}

func (w *world) previousHold(resigned bool, idle time.Duration) time.Duration {
	switch {
	case w.rules.noPreviousWait:
		return w.timing.maxTimeInForce(w.timing.Hold)
	case resigned && w.rules.noResignedHolds:
		return 0
	case resigned:
		return w.records[len(w.records)-1].held
	}
	return w.timing.PreviousHoldAfterIdle(idle)
}

// check describes the first key that two servers hold, or that a server has taken under a
// fence that is too low.
func (w *world) check() string {
	if w.fault != "" {
		return w.fault
	}
	for i := range sampleCount {
		var holders []site.ServerID
		for _, s := range w.servers {
			if s.up && w.now.Before(s.heldUntil[i]) {
				holders = append(holders, s.ID)
			}
		}
		if len(holders) > 1 {
			slices.Sort(holders)
			return fmt.Sprintf("key %d is held by %v at %v", sampleKey(i), holders, w.now.Format("05.000"))
		}
	}
	return ""
}

// heldShare returns the share of keys that a server holds.
func (w *world) heldShare() float64 {
	count := 0
	for i := range sampleCount {
		for _, s := range w.servers {
			if s.up && w.now.Before(s.heldUntil[i]) {
				count++
				break
			}
		}
	}
	return float64(count) / sampleCount
}
