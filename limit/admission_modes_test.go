package limit_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the comparison in docs/design/admission.md: three modes in which
// many nodes can enforce one server's concurrency limit, simulated with the same
// seeded arrivals.
const (
	modeNodes       = 12
	modeLimit       = 4
	modeMeanBusy    = 10 * time.Millisecond // mean, exponential
	modeOneWayDelay = 1500 * time.Microsecond
	modeDeadline    = 200 * time.Millisecond
	modeRequests    = 40_000
)

// simEvent is an action that is due at a simulated time.
type simEvent struct {
	at     time.Duration
	action func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one simulated run of one mode.
type simulation struct {
	events   simEvents
	now      time.Duration
	random   *rand.Rand
	held     int
	peak     int
	refused  int // by the server because its limit was reached
	late     int
	answered []time.Duration
}

func (sim *simulation) schedule(wait time.Duration, do func()) {
	heap.Push(&sim.events, simEvent{at: sim.now + wait, action: do})
}

func (sim *simulation) runAll() {
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(simEvent)
		sim.now = next.at
		next.action()
	}
}

// serve sends a request to the server and calls done when its slot is free.
func (sim *simulation) serve(arrived time.Duration, done func()) {
	sim.peak = max(sim.peak, sim.held+1)
	if sim.held >= modeLimit {
		sim.refused++
		done()
		return
	}
	sim.held++
	sim.schedule(time.Duration(sim.random.ExpFloat64()*float64(modeMeanBusy)), func() {
		sim.held--
		sim.answered = append(sim.answered, sim.now-arrived)
		done()
	})
}

func (sim *simulation) refuseLate(arrived time.Duration) bool {
	if sim.now-arrived+modeMeanBusy <= modeDeadline {
		return false
	}
	sim.late++
	return true
}

// arrivalQueue is a node's queue of requests, represented by their arrival times.
type arrivalQueue []time.Duration

// fixedShares gives each node a fixed share of at least one.
func fixedShares(sim *simulation) func(node int) {
	var queues [modeNodes]arrivalQueue
	var busy [modeNodes]bool
	var start func(node int)
	start = func(node int) {
		for !busy[node] && len(queues[node]) > 0 {
			arrived := queues[node][0]
			queues[node] = queues[node][1:]
			if sim.refuseLate(arrived) {
				continue
			}
			busy[node] = true
			sim.serve(arrived, func() { busy[node] = false; sim.schedule(0, func() { start(node) }) })
		}
	}
	return func(node int) {
		queues[node] = append(queues[node], sim.now)
		start(node)
	}
}

// lentTokens has a token for each slot. A node keeps a token while it has work,
// then lends it to the node that has waited longest, which takes a one-way delay.
func lentTokens(sim *simulation) func(node int) {
	var queues [modeNodes]arrivalQueue
	var waitingNodes []int              // nodes that wait for a token, longest first
	idleTokenNodes := []int{0, 1, 2, 3} // nodes that hold a token without work
	var serveNext func(node int)
	release := func(node int) {
		if len(waitingNodes) == 0 {
			idleTokenNodes = append(idleTokenNodes, node)
			return
		}
		next := waitingNodes[0]
		waitingNodes = waitingNodes[1:]
		sim.schedule(modeOneWayDelay, func() { serveNext(next) })
	}
	serveNext = func(node int) {
		for len(queues[node]) > 0 {
			arrived := queues[node][0]
			queues[node] = queues[node][1:]
			if !sim.refuseLate(arrived) {
				sim.serve(arrived, func() { serveNext(node) })
				return
			}
		}
		release(node)
	}
	return func(node int) {
		queues[node] = append(queues[node], sim.now)
		if at := slices.Index(idleTokenNodes, node); at >= 0 {
			idleTokenNodes = slices.Delete(idleTokenNodes, at, at+1)
			serveNext(node)
			return
		}
		if len(idleTokenNodes) > 0 {
			idleTokenNodes = idleTokenNodes[1:]
			sim.schedule(2*modeOneWayDelay, func() { serveNext(node) })
			return
		}
		waitingNodes = append(waitingNodes, node)
	}
}

// singleNode sends every request through one node, with a one-way delay in each
// direction.
func singleNode(sim *simulation) func(node int) {
	var queue arrivalQueue
	held := 0
	var start func()
	start = func() {
		for held < modeLimit && len(queue) > 0 {
			arrived := queue[0]
			queue = queue[1:]
			if sim.refuseLate(arrived) {
				continue
			}
			held++
			sim.serve(arrived-modeOneWayDelay, func() { held--; start() })
		}
	}
	return func(node int) {
		arrived := sim.now
		distance := modeOneWayDelay
		if node == 0 {
			distance = 0
		}
		sim.schedule(distance, func() { queue = append(queue, arrived); start() })
	}
}

// BenchmarkAdmissionModes reports, for each mode and load, the maximum number of
// requests at the server at once, the answered requests as a percentage of what
// the server could answer, the percentage that the server refused, and the
// response time.
func BenchmarkAdmissionModes(b *testing.B) {
	modes := []struct {
		name string
		make func(*simulation) func(int)
	}{{"shares", fixedShares}, {"lending", lentTokens}, {"single", singleNode}}
	for _, load := range []float64{0.5, 0.9, 1.5} {
		for _, mode := range modes {
			b.Run(fmt.Sprintf("%s/load=%.1f", mode.name, load), func(b *testing.B) {
				for b.Loop() {
					sim := &simulation{random: rand.New(rand.NewPCG(1, 2))}
					arrive := mode.make(sim)
					arrivals := rand.New(rand.NewPCG(3, 4))
					rate := load * modeLimit / modeMeanBusy.Seconds()
					at := time.Duration(0)
					for range modeRequests {
						at += time.Duration(arrivals.ExpFloat64() / rate * float64(time.Second))
						node := arrivals.IntN(modeNodes)
						sim.schedule(at, func() { arrive(node) })
					}
					sim.runAll()
					slices.Sort(sim.answered)
					possible := min(float64(modeRequests), at.Seconds()*modeLimit/modeMeanBusy.Seconds())
					b.ReportMetric(float64(sim.peak), "peak")
					b.ReportMetric(100*float64(len(sim.answered))/possible, "goodput-%")
					b.ReportMetric(100*float64(sim.refused)/modeRequests, "refused-%")
					b.ReportMetric(sim.answered[len(sim.answered)/2].Seconds()*1000, "p50-ms")
					b.ReportMetric(sim.answered[len(sim.answered)*99/100].Seconds()*1000, "p99-ms")
				}
			})
		}
	}
}
