package histcheck

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// write is a request with a ticket, its runs and the result that its caller received.
type write struct {
	name     string
	sent, at history.Time
	runs     int
	answered bool
	value    uint64
	late     bool // runs after its caller gave up
}

func (w write) events() []history.Event {
	fence := topo.MakeFence(1, 0)
	shard := topo.ShardID{Service: "s", Index: 1}
	events := []history.Event{history.CallerSent{At: w.sent, CallerRequest: w.name, Attempt: 1, Service: "s", Key: "k", Method: "POST", Ticket: w.name}}
	began := w.sent
	if w.late {
		began = w.at + 50
	}
	for i := range w.runs {
		id := w.name + string(rune('a'+i))
		events = append(events,
			history.RunBegan{At: began, Server: "s1", Boot: "b", RequestID: id, CallerRequest: w.name, Service: "s", Shard: shard, Fence: fence, Key: "k", Method: "POST", Ticket: w.name},
			history.RunEnded{At: began, Server: "s1", Boot: "b", RequestID: id, Committed: true})
	}
	answer := history.CallerAnswered{At: w.at, CallerRequest: w.name, Attempt: 1, Outcome: serverapi.OutcomeUnknown}
	if w.answered {
		answer.Outcome = serverapi.OutcomeAnswered
		answer.EchoRequestID = w.name + "a"
		answer.EchoValue = w.value
	}
	return append(events, answer)
}

func TestLinearizableCounters(t *testing.T) {
	cases := map[string]struct {
		writes []write
		want   Result
	}{
		"one after the other": {[]write{
			{name: "x", sent: 1, at: 2, runs: 1, answered: true, value: 1},
			{name: "y", sent: 3, at: 4, runs: 1, answered: true, value: 2},
		}, Linearizable},
		"concurrent, answered in the other order": {[]write{
			{name: "x", sent: 1, at: 5, runs: 1, answered: true, value: 2},
			{name: "y", sent: 2, at: 4, runs: 1, answered: true, value: 1},
		}, Linearizable},
		"unknown that took effect before": {[]write{
			{name: "x", sent: 1, at: 2, runs: 1},
			{name: "y", sent: 3, at: 4, runs: 1, answered: true, value: 2},
		}, Linearizable},
		"unknown that takes effect later": {[]write{
			{name: "x", sent: 1, at: 2, runs: 1, late: true},
			{name: "y", sent: 3, at: 4, runs: 1, answered: true, value: 1},
			{name: "z", sent: 60, at: 61, runs: 1, answered: true, value: 3},
		}, Linearizable},
		"ran twice": {[]write{
			{name: "x", sent: 1, at: 2, runs: 2, answered: true, value: 1},
			{name: "y", sent: 3, at: 4, runs: 1, answered: true, value: 3},
		}, NotLinearizable},
		"lost write": {[]write{
			{name: "x", sent: 1, at: 2, runs: 1, answered: true, value: 1},
			{name: "y", sent: 3, at: 4, runs: 1, answered: true, value: 1},
		}, NotLinearizable},
		"answered before it was sent": {[]write{
			{name: "x", sent: 5, at: 6, runs: 1, answered: true, value: 1},
			{name: "y", sent: 1, at: 2, runs: 1, answered: true, value: 2},
		}, NotLinearizable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var events []history.Event
			for _, w := range tc.writes {
				events = append(events, w.events()...)
			}
			history.SortEvents(events)
			gomega.NewWithT(t).Expect(LinearizableCounters(events, Options{}, 0)).To(gomega.Equal(tc.want))
		})
	}
}
