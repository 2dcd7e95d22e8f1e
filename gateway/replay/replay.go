package replay

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/budget"
	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// startOffset is the time from the start of the process to the begin of every replay.
const startOffset = time.Hour

// Start is the simulated time at which every replay begins. It is the same time after the start of the
// process in each run, since the slots of windows are numbered from there.
func Start() time.Time {
	now := time.Now()
	return now.Add(startOffset - clock.SinceStart(now))
}

// Zones returns the zones to which nodes are assigned in turn.
func Zones() []string { return []string{"a", "b", "c"} }

// request is the request of a caller or one of its retries.
type request struct {
	caller
	node   int
	waiter *pool.Waiter
	sent   time.Time
	server int
	id     site.ServerID // of the incarnation that it was sent to
	sends  int
}

type replay struct {
	Load
	servers []server
	// arrivals is a separate source so that every policy has the same callers.
	arrivals   *rand.Rand
	random     *rand.Rand
	slowness   *rand.Rand // of servers
	start      time.Time
	zones      []string
	now        time.Time
	events     eventQueue
	pools      []*pool.Pool
	budgets    []*budget.Budget
	waiting    map[*pool.Waiter]*request
	nextRoomAt map[int]time.Time // next scheduled admission, by node
	result     Result
	lessor     lessor
	admissions admissions
	registered []site.Server
}

// Run replays a load with the random numbers of a seed.
func Run(l Load, seed uint64) Result {
	r := &replay{Load: l, arrivals: rand.New(rand.NewPCG(seed, seed)), random: rand.New(rand.NewPCG(seed, seed+1)), start: Start(), zones: Zones(), now: Start(), waiting: map[*pool.Waiter]*request{}, nextRoomAt: map[int]time.Time{}}
	for _, s := range l.Servers {
		r.servers = append(r.servers, server{Server: s})
	}
	for i := range l.Nodes {
		r.pools = append(r.pools, pool.New(r.zones[i%len(r.zones)], 0, rand.New(rand.NewPCG(uint64(i), 1))))
		r.budgets = append(r.budgets, r.newBudget())
	}
	r.updatePools()
	for i, s := range r.servers {
		if s.CrashEvery > 0 {
			r.schedule(s.CrashEvery, func() { r.crash(i) })
		}
	}
	r.lessor.observed = make([]observed, len(l.Servers))
	r.startCallers(seed)
	r.startGuidance()
	if r.AssumedCapacity > 0 && r.Policy != NoShares {
		r.lessor.quota = quota.New()
		r.schedule(shareInterval, r.updateShares)
	}
	r.runEvents()
	return r.result
}

// startCallers schedules the first callers and the disturbances.
func (r *replay) startCallers(seed uint64) {
	if r.Rate != nil {
		r.schedule(0, func() { r.addCaller(nil) })
	}
	for i := range r.Routes {
		if r.Routes[i].Rate != nil {
			r.schedule(0, func() { r.addCaller(&r.Routes[i]) })
		}
	}
	if r.SlowShare > 0 {
		r.slowness = rand.New(rand.NewPCG(seed, seed+2))
		r.schedule(0, r.drawSlowServers)
	}
	if r.LostZone != "" {
		r.schedule(r.LostAt, r.loseZone)
	}
}

// addCaller adds a caller of a route with arrivals of its own, or of the load if it is nil, and schedules the arrival of
// the next one.
func (r *replay) addCaller(route *Route) {
	elapsed := r.now.Sub(r.start)
	if elapsed > r.Length {
		return
	}
	rate := r.Rate
	if route != nil {
		rate = route.Rate
	}
	gap := r.arrivals.ExpFloat64() / rate(elapsed)
	r.schedule(time.Duration(gap*float64(time.Second)), func() { r.addCaller(route) })
	c := caller{arrived: r.now, route: route, retriesLeft: r.Callers.Retries}
	if route == nil && len(r.Routes) > 0 {
		c.route = r.pickRoute()
	}
	switch {
	case c.route != nil:
		c.priority = c.route.Priority
	case r.LowPriorityShare > 0 && r.arrivals.Float64() < r.LowPriorityShare:
		c.priority = 1
	}
	if r.Callers.ImmediateShare > 0 && r.arrivals.Float64() < r.Callers.ImmediateShare {
		c.retriesAtOnce = true
		c.retriesLeft *= immediateRetryFactor
	}
	if r.Keyed {
		c.owner = r.arrivals.IntN(len(r.servers))
	}
	r.countCaller(c)
	r.sendRequest(c)
}

// sendRequest sends the request of a caller to a random node.
func (r *replay) sendRequest(c caller) {
	r.lessor.observed[c.owner].asked++
	r.noteCaller(c)
	req := &request{caller: c, waiter: r.newWaiter(c), node: r.random.IntN(r.Nodes)}
	if r.Resends != nil {
		r.budgets[req.node].Request(r.Nodes, r.now)
	}
	r.admit(req)
}

// newWaiter returns the request as the pool sees it.
func (r *replay) newWaiter(c caller) *pool.Waiter {
	w := &pool.Waiter{Priority: c.priority, ArrivedAt: r.now, Target: c.arrived.Add(r.targetOf(c)), Deadline: c.arrived.Add(r.timeoutOf(c)), Waited: r.waited(c)}
	if c.route != nil {
		w.Route = c.route.Name
	}
	if r.OnlyFirst || r.Keyed {
		w.OnlyServer = serverID(c.owner)
	}
	switch r.Policy {
	case FirstCome:
		w.Priority = 0
		w.Target = w.Deadline
	case NoRefusal:
		w.Deadline = w.Deadline.Add(time.Hour)
	}
	return w
}

// admit asks the node's pool for a server. The pool admits the request, queues it or
// refuses it.
func (r *replay) admit(req *request) {
	if r.Policy == RandomServer {
		req.server = r.random.IntN(len(r.servers))
		r.receive(req)
		return
	}
	r.check(req)
	admission, refusal := r.pools[req.node].Submit(req.waiter, r.now)
	switch {
	case refusal != nil:
		r.countRefusal(&req.caller)
		r.retryLater(req.caller, refusal.RetryAfter)
	case admission != nil:
		r.send(req, admission.Server)
	default:
		r.waiting[req.waiter] = req
		r.scheduleTimeout(req)
		if p := r.pools[req.node]; p.IsMixed(r.now) {
			r.deliver(req.node, p.Admit(r.now))
		}
		r.scheduleNextRoom(req.node)
	}
}

// scheduleTimeout removes a caller from the queue of its node at its timeout.
func (r *replay) scheduleTimeout(req *request) {
	r.schedule(req.arrived.Add(r.timeoutOf(req.caller)).Sub(r.now), func() {
		if r.waiting[req.waiter] == req {
			delete(r.waiting, req.waiter)
			r.pools[req.node].Remove(req.waiter)
			r.countTimeout(req)
		}
	})
}

// countTimeout counts a caller that has left.
func (r *replay) countTimeout(req *request) {
	r.result.Left++
	r.result.Unserved += min(r.timeoutOf(req.caller), r.now.Sub(req.waiter.ArrivedAt))
}

// scheduleNextRoom schedules the admission of waiting requests at the end of a pause.
func (r *replay) scheduleNextRoom(node int) {
	p := r.pools[node]
	at, waits := p.NextAdmitTime(r.now)
	if !waits || r.nextRoomAt[node].After(r.now) && !at.Before(r.nextRoomAt[node]) {
		return
	}
	r.nextRoomAt[node] = at
	r.schedule(at.Sub(r.now), func() { r.deliver(node, p.Admit(r.now)) })
}

// deliver sends admitted requests and evicts those that would wait in vain.
func (r *replay) deliver(node int, admissions []pool.Admission) {
	for _, a := range admissions {
		req := r.waiting[a.Waiter]
		delete(r.waiting, a.Waiter)
		r.send(req, a.Server)
	}
	if r.Policy != NoEviction {
		r.evict(node)
	}
	r.scheduleNextRoom(node)
}

// evict refuses requests that would wait in vain.
func (r *replay) evict(node int) {
	for _, e := range r.pools[node].Evict(r.now) {
		evicted := r.waiting[e.Waiter]
		delete(r.waiting, e.Waiter)
		r.countRefusal(&evicted.caller)
		r.result.Unserved += r.now.Sub(e.Waiter.ArrivedAt)
		r.retryLater(evicted.caller, e.Refusal.RetryAfter)
	}
}

func (r *replay) send(req *request, to site.Server) {
	req.server, req.id = r.indexOf(to.ID), to.ID
	r.receive(req)
}

// indexOf returns the index of the server of an incarnation.
func (r *replay) indexOf(id site.ServerID) int {
	for i := range r.servers {
		if serverID(i).Name() == id.Name() || strings.HasPrefix(string(id), string(serverID(i))+"-") {
			return i
		}
	}
	return 0
}

// complete reports the outcome of a request at a server to the node.
func (r *replay) complete(ended *request, outcome pool.Outcome) {
	if r.Policy != RandomServer {
		r.deliver(ended.node, r.pools[ended.node].Done(ended.id, r.reportedOutcome(ended, outcome), r.now))
	}
	if outcome.NoCapacity || outcome.NotReached {
		r.resend(ended)
	}
}

// reportedOutcome returns the outcome that the pool receives. With AtLeastOne it contains
// nothing that would change a limit.
func (r *replay) reportedOutcome(ended *request, outcome pool.Outcome) pool.Outcome {
	if ended.route != nil {
		outcome.Route = ended.route.Name
	}
	if r.Policy != AtLeastOne {
		return outcome
	}
	if outcome.NoCapacity || outcome.Reset {
		return pool.Outcome{Abandoned: true}
	}
	outcome.Load = nil
	return outcome
}
