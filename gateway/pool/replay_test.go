package pool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// load is a replayed pattern: several nodes, each with a pool of the same
// servers, and callers that arrive at random.
type load struct {
	nodes   int
	servers []replayServer
	rate    func(at time.Duration) float64 // arrivals a second over all nodes
	length  time.Duration
	target  time.Duration
	patient time.Duration
	only    bool // every request is for the first server
	// blind sends to a random server at once, to compare with.
	blind bool
	// renamed gives each run of a server a name of its own.
	renamed bool
}

// replayServer runs requests in slots, the others wait in a queue; when that is
// full it refuses.
type replayServer struct {
	zone             string
	slots            int
	queue            int
	work             time.Duration // mean
	shares           float64       // share of requests that it refuses
	hangs            float64       // share of requests that it never answers
	running, waiting int
	backlog          []*replayRequest
	// crashEvery is how often it ends and takes its requests with it; 0: never. It
	// starts again after down.
	crashEvery, down time.Duration
	isDown           bool
	starts           int // runs that have ended
	inRun            []*replayRequest
}

type replayRequest struct {
	node    int
	waiter  *pool.Waiter
	arrived time.Time
	sent    time.Time
	server  int
	id      site.ServerID // of the run that it was sent to
}

type result struct{ lost, notReached, asked, inTime, late, refused, overflow, crossZone, hung int }

func (r result) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused, %d times a server was full, %d to another zone", r.asked, r.inTime, r.late, r.refused, r.overflow, r.crossZone)
}

type event struct {
	at time.Time
	do func()
}

type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type replay struct {
	load
	random  *rand.Rand
	now     time.Time
	agenda  agenda
	pools   []*pool.Pool
	waiting map[*pool.Waiter]*replayRequest
	wakes   map[int]time.Time // by node
	result  result
}

var zones = []string{"a", "b", "c"}

func run(l load) result {
	r := &replay{load: l, random: rand.New(rand.NewPCG(7, 7)), now: start, waiting: map[*pool.Waiter]*replayRequest{}, wakes: map[int]time.Time{}}
	r.servers = append([]replayServer{}, l.servers...)
	for i := range l.nodes {
		r.pools = append(r.pools, pool.New(zones[i%len(zones)], 0, rand.New(rand.NewPCG(uint64(i), 1))))
	}
	r.register()
	for i, s := range r.servers {
		if s.crashEvery > 0 {
			r.at(s.crashEvery, func() { r.crash(i) })
		}
	}
	r.at(0, r.arrive)
	for len(r.agenda) > 0 {
		next := heap.Pop(&r.agenda).(event)
		r.now = next.at
		next.do()
	}
	return r.result
}

// register has every pool see the present runs.
func (r *replay) register() {
	var list []site.Server
	for i, s := range r.servers {
		list = append(list, site.Server{ID: r.runID(i), Zone: s.zone, Slots: s.slots})
	}
	for _, p := range r.pools {
		p.Update(list, r.nodes, r.now)
	}
}

// runID names the present run of a server.
func (r *replay) runID(i int) site.ServerID {
	runs := r.servers[i].starts
	switch {
	case runs == 0:
		return serverID(i)
	case r.renamed:
		return serverID(i) + site.ServerID(fmt.Sprintf("-%d", runs))
	}
	return site.RunID(site.ServerName(serverID(i)), start.Add(time.Duration(runs)*time.Second))
}

// registerLag is how long after its start nodes see a run.
const registerLag = 300 * time.Millisecond

// crash ends a server with the requests that it has.
func (r *replay) crash(i int) {
	s := &r.servers[i]
	lost := slices.Concat(s.inRun, s.backlog)
	s.inRun, s.backlog, s.running, s.waiting = nil, nil, 0, 0
	s.isDown = true
	s.starts++
	for _, request := range lost {
		r.result.lost++
		r.finish(request, pool.Outcome{Failed: true, Reset: true, Took: r.now.Sub(request.sent)})
	}
	r.at(s.down, func() { s.isDown = false })
	r.at(s.down+registerLag, r.register)
	if r.now.Sub(start) < r.length {
		r.at(s.crashEvery, func() { r.crash(i) })
	}
}

func serverID(i int) site.ServerID { return site.ServerID(fmt.Sprintf("s%02d", i)) }

func (r *replay) at(after time.Duration, do func()) {
	heap.Push(&r.agenda, event{at: r.now.Add(after), do: do})
}

func (r *replay) arrive() {
	elapsed := r.now.Sub(start)
	if elapsed > r.length {
		return
	}
	gap := r.random.ExpFloat64() / r.rate(elapsed)
	r.at(time.Duration(gap*float64(time.Second)), r.arrive)
	r.result.asked++
	w := &pool.Waiter{Since: r.now, Target: r.now.Add(r.target), Deadline: r.now.Add(r.patient)}
	if r.only {
		w.Only = serverID(0)
	}
	request := &replayRequest{node: r.random.IntN(r.nodes), waiter: w, arrived: r.now}
	if r.blind {
		request.server = r.random.IntN(len(r.servers))
		r.reach(request)
		return
	}
	admission, refusal := r.pools[request.node].Ask(w, r.now)
	switch {
	case refusal != nil:
		r.result.refused++
	case admission != nil:
		r.send(request, admission.Server)
	default:
		r.waiting[w] = request
		r.wakeAtNextRoom(request.node)
	}
}

// wakeAtNextRoom has what waits for the end of a pause sent then.
func (r *replay) wakeAtNextRoom(node int) {
	p := r.pools[node]
	at, waits := p.NextRoom(r.now)
	if !waits || r.wakes[node].After(r.now) && !at.Before(r.wakes[node]) {
		return
	}
	r.wakes[node] = at
	r.at(at.Sub(r.now), func() { r.deliver(node, p.Admit(r.now)) })
}

// deliver sends what has got a place and drops what waits in vain.
func (r *replay) deliver(node int, admissions []pool.Admission) {
	for _, a := range admissions {
		next := r.waiting[a.Waiter]
		delete(r.waiting, a.Waiter)
		r.send(next, a.Server)
	}
	for _, e := range r.pools[node].Evict(r.now) {
		delete(r.waiting, e.Waiter)
		r.result.refused++
	}
	r.wakeAtNextRoom(node)
}

func (r *replay) send(request *replayRequest, server site.Server) {
	for i := range r.servers {
		if serverID(i).Name() == server.ID.Name() || strings.HasPrefix(string(server.ID), string(serverID(i))+"-") {
			request.server = i
			request.id = server.ID
		}
	}
	r.reach(request)
}

func (r *replay) reach(request *replayRequest) {
	s := &r.servers[request.server]
	request.sent = r.now
	if s.zone != zones[request.node%len(zones)] {
		r.result.crossZone++
	}
	switch {
	case s.isDown:
		r.result.notReached++
		r.finish(request, pool.Outcome{Failed: true, NotReached: true})
	case s.hangs > 0 && r.random.Float64() < s.hangs:
		r.result.hung++
		r.at(r.patient-r.now.Sub(request.arrived), func() {
			r.finish(request, pool.Outcome{Abandoned: true, Took: r.now.Sub(request.sent)})
		})
	case r.random.Float64() < s.shares:
		r.finish(request, pool.Outcome{NoRoom: true})
	case s.running < s.slots:
		r.start(request)
	case s.waiting < s.queue:
		s.waiting++
		s.backlog = append(s.backlog, request)
	default:
		r.result.overflow++
		r.finish(request, pool.Outcome{NoRoom: true})
	}
}

func (r *replay) start(request *replayRequest) {
	s := &r.servers[request.server]
	s.running++
	s.inRun = append(s.inRun, request)
	runs := s.starts
	work := float64(s.work) * (0.5 + r.random.Float64())
	r.at(time.Duration(work), func() {
		if s.starts != runs {
			return // lost
		}
		s.inRun = slices.DeleteFunc(s.inRun, func(other *replayRequest) bool { return other == request })
		loadNow := site.Load{Running: s.running, Waiting: s.waiting, Slots: s.slots}
		s.running--
		if len(s.backlog) > 0 {
			next := s.backlog[0]
			s.backlog = s.backlog[1:]
			s.waiting--
			r.start(next)
		}
		took := r.now.Sub(request.arrived)
		switch {
		case took <= r.target:
			r.result.inTime++
		case took <= r.patient:
			r.result.late++
		}
		r.finish(request, pool.Outcome{Took: r.now.Sub(request.sent), Load: &loadNow})
	})
}

func (r *replay) finish(request *replayRequest, outcome pool.Outcome) {
	if r.blind {
		return
	}
	r.deliver(request.node, r.pools[request.node].Done(request.id, outcome, r.now))
}

// eight returns eight servers in three zones whose speeds differ by a factor of
// two.
func eight() []replayServer {
	var servers []replayServer
	for i := range 8 {
		work := 60 * time.Millisecond
		if i%2 == 1 {
			work = 120 * time.Millisecond
		}
		servers = append(servers, replayServer{zone: zones[i%3], slots: 4, queue: 16, work: work})
	}
	return servers
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// compare runs a pattern with the pool and with requests sent blindly.
func compare(t *testing.T, l load) (pooled, blind result) {
	t.Helper()
	pooled = run(l)
	l.blind = true
	blind = run(l)
	t.Logf("with the pool: %v; sent at random: %v", pooled, blind)
	return pooled, blind
}
