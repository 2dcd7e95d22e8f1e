package history

import (
	"sort"
	"sync"
)

// HeaderCallerRequest carries a caller's unique name for a request. The
// stand-in server echoes it in the body of its answer, so that an answer
// delivered to the wrong caller is detected.
const HeaderCallerRequest = "Caller-Request"

// Recorder accepts events. Record may be called concurrently and does not block for
// long.
type Recorder interface {
	Record(event Event)
}

// Discard is a Recorder that drops every event.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}

// Memory is an append-only Recorder that keeps all events in memory.
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

// Events returns a copy of all events, sorted by When; events with the same
// time stay in the order in which they were recorded.
func (m *Memory) Events() []Event {
	m.mu.Lock()
	all := make([]Event, len(m.events))
	copy(all, m.events)
	m.mu.Unlock()
	SortEvents(all)
	return all
}

// SortEvents sorts events by When, and keeps the order of events with equal times.
func SortEvents(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].When() < events[j].When() })
}

// Select returns the events of type T in their original order.
func Select[T Event](events []Event) []T {
	var selected []T
	for _, event := range events {
		if typed, is := event.(T); is {
			selected = append(selected, typed)
		}
	}
	return selected
}
