package engine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/health"
	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/pick"
	"github.com/burdockspindle/burdockspindle/retry"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/shed"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// node is one entry VM: the production decision code, with queues in virtual time in
// place of goroutines.
type node struct {
	site   *site
	id     topo.NodeID
	boot   topo.BootID
	zone   topo.Zone
	up     bool
	refuse bool // if not up: connections are refused at once instead of timing out
	random *rand.Rand

	view    *state.View
	seenAt  time.Time // start of the latest read of the log that confirmed the view as current
	members []*groupMember

	book     *buffer.OutageTracker
	outages  map[buffer.Key]bool // keys reported to the book as failed and not yet as recovered
	waits    map[uint64]*waiter
	sequence uint64

	gates    map[topo.ServerID]*gate
	directs  map[topo.ServerID]*gate
	queued   map[topo.Service]int
	inFlight *limit.Node
	pools    map[*server]*pool
	remotes  map[topo.ServerID]*remoteLoad
	servers  map[topo.ServerID]*health.Tracker
	nodes    map[topo.NodeID]*health.Tracker
	budgets  map[topo.Service]*retry.Budget
	shed     *shed.Set
	table    *load.Table

	pickers     map[topo.Service]pick.Picker
	liveOf      *state.View
	liveServers map[topo.Service][]topo.ServerID
}

// waiter is a request that waits in the buffer.
type waiter struct {
	call *call
	key  buffer.Key
}

func newNode(s *site, id topo.NodeID, zone topo.Zone, random *rand.Rand) *node {
	return &node{
		site:     s,
		id:       id,
		boot:     topo.BootID(string(id) + "-1"),
		zone:     zone,
		up:       true,
		random:   random,
		book:     buffer.NewOutageTracker(maxBuffered),
		outages:  map[buffer.Key]bool{},
		waits:    map[uint64]*waiter{},
		gates:    map[topo.ServerID]*gate{},
		directs:  map[topo.ServerID]*gate{},
		queued:   map[topo.Service]int{},
		inFlight: limit.NewNode(settings.DefaultMaxInFlight),
		pools:    map[*server]*pool{},
		remotes:  map[topo.ServerID]*remoteLoad{},
		servers:  map[topo.ServerID]*health.Tracker{},
		nodes:    map[topo.NodeID]*health.Tracker{},
		budgets:  map[topo.Service]*retry.Budget{},
		shed:     shed.NewSet(),
		table:    load.NewTable(load.DefaultConfig()),
		pickers:  map[topo.Service]pick.Picker{},
	}
}

func (n *node) self() route.Self { return route.Self{Node: n.id, Boot: n.boot} }

// enter accepts a request unless the node is full or sheds it.
func (n *node) enter(c *call) {
	if !n.up {
		return
	}
	c.node = n
	if c.from != nil {
		c.next()
		return
	}
	now := n.site.clock.now
	n.site.measure.received++
	if latest := now.Add(c.service.Deadline); c.deadline.After(latest) {
		c.deadline = latest
	}
	share := n.shed.Share(now, n.view.Site(), c.service.Name)
	if share > 0 && n.random.Float64() < share {
		c.done(outcome.NotRun(callerapi.ReasonDependency).WithRetryAfter(time.Second))
		return
	}
	if !n.inFlight.Acquire(c.service.Name, c.hop) {
		c.done(outcome.NotRun(callerapi.ReasonBusy).WithRetryAfter(defaultRetryAfter))
		return
	}
	n.budget(c.service.Name).First(now)
	c.next()
}

// leave records the final answer to an accepted request.
func (n *node) leave(c *call, v outcome.Verdict) {
	if c.from != nil {
		return
	}
	n.inFlight.Release(c.service.Name)
	refused := v.Outcome != serverapi.OutcomeAnswered && v.Status() >= 429
	n.shed.Add(n.site.clock.now, n.view.Site(), c.service.Name, c.hop > 0, refused)
}

func (n *node) budget(service topo.Service) *retry.Budget {
	budget, exists := n.budgets[service]
	if !exists {
		budget = retry.NewBudget(settings.DefaultRetryBudget, minRetriesPerWindow)
		n.budgets[service] = budget
	}
	return budget
}

// minRetriesPerWindow is the number of retries that a service may always make in each window of its
// budget, independent of its number of requests.
const minRetriesPerWindow = 3

func (n *node) takeRetry(service topo.Service) func() bool {
	return func() bool { return n.budget(service).Take(n.site.clock.now) }
}

func (n *node) picker(service topo.Service) pick.Picker {
	picker, exists := n.pickers[service]
	if !exists {
		picker = n.site.options.Picker()
		n.pickers[service] = picker
	}
	return picker
}

func (n *node) remote(id topo.ServerID) *remoteLoad {
	known, exists := n.remotes[id]
	if !exists {
		known = &remoteLoad{}
		n.remotes[id] = known
	}
	return known
}

func (n *node) serverHealth(id topo.ServerID) *health.Tracker {
	tracker, exists := n.servers[id]
	if !exists {
		tracker = &health.Tracker{}
		n.servers[id] = tracker
	}
	return tracker
}

func (n *node) nodeHealth(id topo.NodeID) *health.Tracker {
	tracker, exists := n.nodes[id]
	if !exists {
		tracker = &health.Tracker{}
		n.nodes[id] = tracker
	}
	return tracker
}

func (n *node) lessorEjected(id topo.NodeID) bool {
	return n.nodeHealth(id).Ejected(n.site.clock.now)
}

func (n *node) observe(id topo.ServerID, o health.Observation) {
	if n.serverHealth(id).Observe(n.site.clock.now, o) {
		n.site.measure.ejections++
	}
}

// recordFailure records an attempt without an answer and reports whether the
// server is ejected now.
func (n *node) recordFailure(id topo.ServerID, f outcome.Failure, lasted time.Duration) bool {
	seen := health.Broken
	switch {
	case !f.Sent && f.Deadline:
		return false
	case !f.Sent:
		seen = health.Unreachable
	case f.Deadline && lasted < minUnresponsiveTime:
		return n.serverHealth(id).Ejected(n.site.clock.now)
	case f.Stalled, f.Deadline:
		seen = health.Unresponsive
	}
	n.observe(id, seen)
	return n.serverHealth(id).Ejected(n.site.clock.now)
}

// loadOf returns the load of a server, measured at this node as its admission point.
func (n *node) loadOf(id topo.ServerID) float64 {
	g, exists := n.gates[id]
	if !exists {
		return 0
	}
	return g.load()
}

// loadAs returns the load of a server, measured as its admission point or as a deputy.
func (n *node) loadAs(d route.Decision) float64 {
	if g, exists := n.directs[d.Server]; exists && d.Path == route.PathDeputy {
		return g.load()
	}
	return n.loadOf(d.Server)
}

// join queues a request in the buffer or refuses it.
func (n *node) join(c *call, key buffer.Key) {
	n.sequence++
	id := n.sequence
	refusal, refused := n.book.Join(n.site.clock.now, key, buffer.Waiter{
		ID: id, Service: c.service.Name, Deadline: c.deadline,
	})
	if refused {
		c.finish(outcome.NotRun(refusal.Reason).WithRetryAfter(refusal.RetryAfter))
		return
	}
	n.waits[id] = &waiter{call: c, key: key}
}

// failed reports to the buffer that a key cannot be served.
func (n *node) failed(key buffer.Key, cause buffer.Cause) {
	n.outages[key] = true
	n.book.Failed(n.site.clock.now, key, cause, n.random.Float64())
}

// recovered reports to the buffer that keys are served again; the requests that waited
// for them are routed again.
func (n *node) recovered(keys ...buffer.Key) {
	for _, key := range keys {
		delete(n.outages, key)
		for _, w := range n.book.Recovered(n.site.clock.now, key) {
			n.wake(w.ID, func(c *call) { c.next() })
		}
	}
}

func (n *node) wake(id uint64, then func(*call)) {
	w, waits := n.waits[id]
	if !waits {
		return
	}
	delete(n.waits, id)
	n.site.clock.after(0, func() { then(w.call) })
}

// sweep refuses buffered requests that cannot be served in time and selects those that probe.
func (n *node) sweep() {
	if !n.up {
		return
	}
	for _, id := range sortedKeys(n.gates) {
		n.gates[id].sweep()
	}
	for _, id := range sortedKeys(n.directs) {
		n.directs[id].sweep()
	}
	if n.book.Outages() == 0 {
		return
	}
	swept := n.book.Sweep(n.site.clock.now)
	slices.SortFunc(swept, func(a, b buffer.Swept) int { return cmp.Compare(a.ID, b.ID) })
	for _, found := range swept {
		n.wake(found.ID, func(c *call) {
			if found.Probe {
				c.probe = &found.Key
				c.next()
				return
			}
			c.finish(outcome.NotRun(found.Refusal.Reason).WithRetryAfter(found.Refusal.RetryAfter))
		})
	}
}

// applyView installs a newer view; buffered requests are routed again.
func (n *node) applyView(view *state.View) {
	if !n.up || (n.view != nil && view.Applied() <= n.view.Applied()) {
		return
	}
	n.view = view
	for _, id := range sortedKeys(n.waits) {
		n.book.Leave(n.waits[id].key, id)
		n.wake(id, func(c *call) { c.next() })
	}
	for _, m := range n.members {
		m.observe()
	}
	n.site.planning.changed(n)
}

func sortedKeys[K cmp.Ordered, V any](entries map[K]V) []K {
	keys := make([]K, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
