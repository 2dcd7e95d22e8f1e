// Package engine runs the production decision code of the project against
// simulated servers on a virtual clock: arrivals, service times, delays
// and faults are events in one queue, so that a run depends only on its seed
// and not on the speed of the machine.
//
// All decisions are made by the production code: package state applies the
// records, route chooses the server, limit admits, buffer holds requests while
// a shard moves, retry, outcome, health and shed evaluate attempts, pick chooses among the
// servers of unkeyed services, lease implements the ownership of shards by servers,
// and load and balance plan moves. The engine itself adds only delays and
// bookkeeping.
package engine

import (
	"container/heap"
	"time"
)

// epoch is the start of the virtual clock. It differs from the zero time, which the
// production code interprets as "never".
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a queue of events in virtual time.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

type event struct {
	at       time.Time
	sequence uint64 // orders events with equal times by their creation
	run      func()
}

func newClock() *clock { return &clock{now: epoch} }

// after schedules run; a negative delay is treated as 0.
func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now.Add(max(delay, 0)), sequence: c.sequence, run: run})
}

// every schedules run at a fixed interval, for the first time after one interval, until the
// end of the run.
func (c *clock) every(interval time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		c.after(interval, tick)
	}
	c.after(interval, tick)
}

// elapsed returns the virtual time since the start.
func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }

// step runs the next event unless it is later than end; it reports whether it
// ran one.
func (c *clock) step(end time.Time) bool {
	if len(c.events) == 0 || c.events[0].at.After(end) {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.run()
	return true
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
