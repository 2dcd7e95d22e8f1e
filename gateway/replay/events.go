package replay

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Time
	run func()
}

// eventQueue is a heap of the pending events, ordered by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	if e, isEvent := x.(event); isEvent {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule queues a function to run after a delay.
func (r *replay) schedule(delay time.Duration, run func()) {
	heap.Push(&r.events, event{at: r.now.Add(delay), run: run})
}

// runEvents runs all pending events in order, including those that are scheduled meanwhile.
func (r *replay) runEvents() {
	for len(r.events) > 0 {
		next := r.events[0]
		heap.Pop(&r.events)
		r.now = next.at
		next.run()
	}
}
