package pool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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
}

type replayRequest struct {
	node    int
	waiter  *pool.Waiter
	arrived time.Time
	sent    time.Time
	server  int
}

type result struct{ asked, inTime, late, refused, overflow, crossZone, hung int }

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
	var list []site.Server
	for i, s := range r.servers {
		list = append(list, site.Server{ID: serverID(i), Zone: s.zone, Slots: s.slots})
	}
	for i := range l.nodes {
		p := pool.New(zones[i%len(zones)], 0, rand.New(rand.NewPCG(uint64(i), 1)))
		p.Update(list, l.nodes, start)
		r.pools = append(r.pools, p)
	}
	r.at(0, r.arrive)
	for len(r.agenda) > 0 {
		next := heap.Pop(&r.agenda).(event)
		r.now = next.at
		next.do()
	}
	return r.result
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
		if serverID(i) == server.ID {
			request.server = i
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
	work := float64(s.work) * (0.5 + r.random.Float64())
	r.at(time.Duration(work), func() {
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
	r.deliver(request.node, r.pools[request.node].Done(serverID(request.server), outcome, r.now))
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
