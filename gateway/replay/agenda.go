package replay

import (
	"container/heap"
	"time"
)

type event struct {
	at time.Time
	do func()
}

// agenda holds what is to come, the next first.
type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) {
	if e, isEvent := x.(event); isEvent {
		*a = append(*a, e)
	}
}

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// at has something done after a while.
func (r *replay) at(after time.Duration, do func()) {
	heap.Push(&r.agenda, event{at: r.now.Add(after), do: do})
}

// runAll does all that is to come, and what that brings.
func (r *replay) runAll() {
	for len(r.agenda) > 0 {
		next := r.agenda[0]
		heap.Pop(&r.agenda)
		r.now = next.at
		next.do()
	}
}
