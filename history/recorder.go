package history

import (
	"sort"
	"sync"
)

// HeaderCallerRequest carries a caller's own, unique name for a request. The
// stand-in server echoes it in its answer's body, so that an answer that was
// given to the wrong caller is found.
const HeaderCallerRequest = "Caller-Request"

// Recorder takes events. Record may be called concurrently and never blocks for
// long.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that keeps nothing.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}

// Memory is an append-only Recorder that keeps everything.
type Memory struct {
	mu     sync.Mutex
	events []Event
}

// Record implements Recorder.
func (m *Memory) Record(event Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, event)
}

// Len returns the number of events recorded.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.events)
}

// Events returns a copy of all events, sorted by When; events of the same
// moment stay in the order in which they were recorded.
func (m *Memory) Events() []Event {
	m.mu.Lock()
	all := make([]Event, len(m.events))
	copy(all, m.events)
	m.mu.Unlock()
	SortEvents(all)
	return all
}

// SortEvents sorts events by When, keeping the order of equal ones.
func SortEvents(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].When() < events[j].When() })
}

// Select returns the events of type T in order.
func Select[T Event](events []Event) []T {
	var selected []T
	for _, event := range events {
		if typed, is := event.(T); is {
			selected = append(selected, typed)
		}
	}
	return selected
}
