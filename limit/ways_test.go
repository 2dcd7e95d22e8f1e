package limit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The comparison of docs/design/admission.md: three ways in which many nodes
// may keep one server's concurrency limit, driven by the same seeded arrivals.
const (
	wayNodes    = 12
	wayLimit    = 4
	wayBusy     = 10 * time.Millisecond // mean, exponential
	wayOneWay   = 1500 * time.Microsecond
	wayDeadline = 200 * time.Millisecond
	wayRequests = 40_000
)

// wayEvent is something due at a time.
type wayEvent struct {
	at time.Duration
	do func()
}

type wayEvents []wayEvent

func (e wayEvents) Len() int           { return len(e) }
func (e wayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e wayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *wayEvents) Push(x any)        { *e = append(*e, x.(wayEvent)) }
func (e *wayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// wayRun is one run of one way.
type wayRun struct {
	events   wayEvents
	now      time.Duration
	random   *rand.Rand
	held     int
	peak     int
	refused  int // by the server, which held its limit
	late     int
	answered []time.Duration
}

func (r *wayRun) after(wait time.Duration, do func()) {
	heap.Push(&r.events, wayEvent{at: r.now + wait, do: do})
}

func (r *wayRun) run() {
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(wayEvent)
		r.now = next.at
		next.do()
	}
}

// serve offers a request to the server and calls done when its place is free.
func (r *wayRun) serve(arrived time.Duration, done func()) {
	r.peak = max(r.peak, r.held+1)
	if r.held >= wayLimit {
		r.refused++
		done()
		return
	}
	r.held++
	r.after(time.Duration(r.random.ExpFloat64()*float64(wayBusy)), func() {
		r.held--
		r.answered = append(r.answered, r.now-arrived)
		done()
	})
}

func (r *wayRun) hopeless(arrived time.Duration) bool {
	if r.now-arrived+wayBusy <= wayDeadline {
		return false
	}
	r.late++
	return true
}

// waiting is a node's queue of arrival times.
type waiting []time.Duration

// shares gives each node a fixed share of at least one.
func shares(r *wayRun) func(node int) {
	var queues [wayNodes]waiting
	var busy [wayNodes]bool
	var start func(node int)
	start = func(node int) {
		for !busy[node] && len(queues[node]) > 0 {
			arrived := queues[node][0]
			queues[node] = queues[node][1:]
			if r.hopeless(arrived) {
				continue
			}
			busy[node] = true
			r.serve(arrived, func() { busy[node] = false; r.after(0, func() { start(node) }) })
		}
	}
	return func(node int) {
		queues[node] = append(queues[node], r.now)
		start(node)
	}
}

// lending has a token for each place. A node keeps a token while it has work,
// then lends it to the node that has asked for longest, one way away.
func lending(r *wayRun) func(node int) {
	var queues [wayNodes]waiting
	var asked []int           // nodes that wait for a token
	idle := []int{0, 1, 2, 3} // nodes that hold one without work
	var use func(node int)
	pass := func(node int) {
		if len(asked) == 0 {
			idle = append(idle, node)
			return
		}
		next := asked[0]
		asked = asked[1:]
		r.after(wayOneWay, func() { use(next) })
	}
	use = func(node int) {
		for len(queues[node]) > 0 {
			arrived := queues[node][0]
			queues[node] = queues[node][1:]
			if !r.hopeless(arrived) {
				r.serve(arrived, func() { use(node) })
				return
			}
		}
		pass(node)
	}
	return func(node int) {
		queues[node] = append(queues[node], r.now)
		if at := slices.Index(idle, node); at >= 0 {
			idle = slices.Delete(idle, at, at+1)
			use(node)
			return
		}
		if len(idle) > 0 {
			idle = idle[1:]
			r.after(2*wayOneWay, func() { use(node) })
			return
		}
		asked = append(asked, node)
	}
}

// single sends every request through one node, one way there and one way back.
func single(r *wayRun) func(node int) {
	var queue waiting
	held := 0
	var start func()
	start = func() {
		for held < wayLimit && len(queue) > 0 {
			arrived := queue[0]
			queue = queue[1:]
			if r.hopeless(arrived) {
				continue
			}
			held++
			r.serve(arrived-wayOneWay, func() { held--; start() })
		}
	}
	return func(node int) {
		arrived := r.now
		distance := wayOneWay
		if node == 0 {
			distance = 0
		}
		r.after(distance, func() { queue = append(queue, arrived); start() })
	}
}

// BenchmarkAdmissionWays reports, for each way and load, the most requests that
// reached the server at once, the share of requests answered of what the server
// could have, the share refused by the server, and the time to the answer.
func BenchmarkAdmissionWays(b *testing.B) {
	ways := []struct {
		name string
		make func(*wayRun) func(int)
	}{{"shares", shares}, {"lending", lending}, {"single", single}}
	for _, load := range []float64{0.5, 0.9, 1.5} {
		for _, way := range ways {
			b.Run(fmt.Sprintf("%s/load=%.1f", way.name, load), func(b *testing.B) {
				for b.Loop() {
					r := &wayRun{random: rand.New(rand.NewPCG(1, 2))}
					arrive := way.make(r)
					arrivals := rand.New(rand.NewPCG(3, 4))
					rate := load * wayLimit / wayBusy.Seconds()
					at := time.Duration(0)
					for range wayRequests {
						at += time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
						node := arrivals.IntN(wayNodes)
						r.after(at, func() { arrive(node) })
					}
					r.run()
					slices.Sort(r.answered)
					possible := min(float64(wayRequests), at.Seconds()*wayLimit/wayBusy.Seconds())
					b.ReportMetric(float64(r.peak), "peak")
					b.ReportMetric(100*float64(len(r.answered))/possible, "goodput-%")
					b.ReportMetric(100*float64(r.refused)/wayRequests, "refused-%")
					b.ReportMetric(r.answered[len(r.answered)/2].Seconds()*1000, "p50-ms")
					b.ReportMetric(r.answered[len(r.answered)*99/100].Seconds()*1000, "p99-ms")
				}
			})
		}
	}
}
