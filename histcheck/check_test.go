package histcheck

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

var settledNode = Options{Settled: []topo.NodeID{"n1"}}

func TestCleanHistoriesPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := cleanHistory(t)
		g := gomega.NewWithT(t)
		g.Expect(Check(events, settledNode)).To(gomega.BeEmpty())
		g.Expect(LinearizableOwnership(events, 0)).To(gomega.Equal(Linearizable))
		g.Expect(LinearizableAssignments(events, settledNode, 0)).To(gomega.Equal(Linearizable))
		g.Expect(LinearizableSite(events, 0, 0)).To(gomega.Equal(Linearizable))
		g.Expect(LinearizableCounters(events, settledNode, 0)).To(gomega.Equal(Linearizable))
	})
}

// injectedViolation injects a violation into a clean history. It reports false if the history
// contains no event to which the violation applies.
type injectedViolation struct {
	rule   Rule
	inject func(t *rapid.T, events []history.Event) ([]history.Event, bool)
	// model is the linearizability search that must reject the history too; nil for none.
	model func(events []history.Event) Result
}

func TestInjectedViolationsAreDetected(t *testing.T) {
	for name, fault := range injectedViolations() {
		t.Run(name, func(t *testing.T) {
			placed := 0
			rapid.Check(t, func(t *rapid.T) {
				events, fits := fault.inject(t, cleanHistory(t))
				if !fits {
					t.Skip("the history has no event for the violation")
				}
				placed++
				history.SortEvents(events)
				g := gomega.NewWithT(t)
				g.Expect(Count(Check(events, settledNode), fault.rule)).To(gomega.BeNumerically(">", 0))
				if fault.model != nil {
					g.Expect(fault.model(events)).To(gomega.Equal(NotLinearizable))
				}
			})
			gomega.NewWithT(t).Expect(placed).To(gomega.BeNumerically(">", 0))
		})
	}
}

func injectedViolations() map[string]injectedViolation {
	ownership := func(events []history.Event) Result { return LinearizableOwnership(events, 0) }
	assignments := func(events []history.Event) Result {
		return LinearizableAssignments(events, settledNode, 0)
	}
	counters := func(events []history.Event) Result { return LinearizableCounters(events, settledNode, 0) }
	return map[string]injectedViolation{
		"overlapping spans of two servers": {rule: RuleSoleOwner, inject: editOne(func(e *history.OwnerInterval) []history.Event {
			other := *e
			other.Server = "intruder"
			other.Fence = topo.MakeFence(999, 0)
			other.From = e.Until - 1
			other.Until = e.Until + 1
			return []history.Event{other}
		})},
		"two runs of one server ID": {rule: RuleSoleOwner, inject: editOne(func(e *history.OwnerInterval) []history.Event {
			other := *e
			other.Boot = "b2"
			return []history.Event{other}
		})},
		"committed run outside ownership": {rule: RuleSoleOwner, inject: editOne(func(e *history.RunBegan) []history.Event {
			e.Server = "intruder"
			return []history.Event{history.RunEnded{At: e.At + 1, Server: e.Server, Boot: e.Boot, RequestID: e.RequestID, Committed: true}}
		})},
		"run under a lower fence later": {rule: RuleSoleOwner, model: ownership, inject: lateRun(topo.MakeFence(0, 1))},
		"one fence at two servers":      {rule: RuleSoleOwner, model: ownership, inject: lateRun(topo.Fence{})},
		"ticket ran twice": {rule: RuleAtMostOnce, inject: editOne(func(e *history.RunBegan) []history.Event {
			e.Ticket = "twice"
			again := *e
			again.RequestID += "-again"
			return []history.Event{again}
		})},
		"request ran under two tickets": {rule: RuleAtMostOnce, inject: editOne(func(e *history.RunBegan) []history.Event {
			e.Ticket = "first"
			again := *e
			again.RequestID += "-again"
			again.Ticket = "second"
			return []history.Event{again}
		})},
		"write without a ticket ran twice": {rule: RuleAtMostOnce, inject: editOne(func(e *history.RunBegan) []history.Event {
			e.Ticket, e.Method = "", "POST"
			again := *e
			again.Server = "other"
			return []history.Event{again}
		})},
		"refused as not run, yet ran": {rule: RuleNotRun, inject: editOne(func(e *history.CallerAnswered) []history.Event {
			e.Outcome = serverapi.OutcomeNotRun
			return []history.Event{history.RunBegan{At: e.At, Server: "s1", Boot: "b1", RequestID: "late", CallerRequest: e.CallerRequest, Method: "GET"}}
		})},
		"answer to another request": {rule: RuleWholeAnswer, inject: editAnswered(func(e *history.CallerAnswered) {
			e.EchoCallerRequest = "c/other"
		})},
		"answer cut short": {rule: RuleWholeAnswer, inject: editAnswered(func(e *history.CallerAnswered) {
			e.Whole = false
		})},
		"answer spliced from two bodies": {rule: RuleWholeAnswer, inject: editAnswered(func(e *history.CallerAnswered) {
			e.EchoBodyDigest = "other"
		})},
		"answer for another key": {rule: RuleWholeAnswer, inject: editAnswered(func(e *history.CallerAnswered) {
			e.EchoKey = "other"
		})},
		"answer that no server gave": {rule: RuleWholeAnswer, inject: editAnswered(func(e *history.CallerAnswered) {
			e.EchoRequestID = "none"
		})},
		"answer of a run that was not committed": {rule: RuleWholeAnswer, inject: uncommitAnswered},
		"answer shows a write that nobody sent": {rule: RuleWholeAnswer, model: counters, inject: editAnswered(func(e *history.CallerAnswered) {
			e.EchoValue += 100
		})},
		"acknowledged assignment lost": {rule: RuleAssignments, model: assignments, inject: editOne(func(e *history.AssignmentKnown) []history.Event {
			lost := *e
			lost.Node = "n2"
			lost.Fence = topo.MakeFence(999, 0)
			return []history.Event{lost}
		})},
		"fence with two owners": {rule: RuleAssignments, inject: editOne(func(e *history.AssignmentKnown) []history.Event {
			other := *e
			other.Node, other.Owner = "n2", "intruder"
			return []history.Event{other}
		})},
	}
}

// editOne picks an event of type T, passes it to edit for modification, and adds the
// events that edit returns.
func editOne[T history.Event](edit func(e *T) []history.Event) func(*rapid.T, []history.Event) ([]history.Event, bool) {
	return func(t *rapid.T, events []history.Event) ([]history.Event, bool) {
		var places []int
		for i, event := range events {
			if _, is := event.(T); is {
				places = append(places, i)
			}
		}
		if len(places) == 0 {
			return nil, false
		}
		i := rapid.SampledFrom(places).Draw(t, "place")
		chosen := events[i].(T)
		added := edit(&chosen)
		events[i] = chosen
		return append(events, added...), true
	}
}

// editAnswered modifies one complete answer.
func editAnswered(edit func(e *history.CallerAnswered)) func(*rapid.T, []history.Event) ([]history.Event, bool) {
	return func(_ *rapid.T, events []history.Event) ([]history.Event, bool) {
		for i, event := range events {
			answer, is := event.(history.CallerAnswered)
			if is && answer.Outcome == serverapi.OutcomeAnswered {
				edit(&answer)
				events[i] = answer
				return events, true
			}
		}
		return nil, false
	}
}

func uncommitAnswered(_ *rapid.T, events []history.Event) ([]history.Event, bool) {
	answered := map[string]bool{}
	for _, answer := range history.Select[history.CallerAnswered](events) {
		answered[answer.EchoRequestID] = answer.Outcome == serverapi.OutcomeAnswered
	}
	for i, event := range events {
		ended, is := event.(history.RunEnded)
		if is && answered[ended.RequestID] {
			ended.Committed = false
			events[i] = ended
			return events, true
		}
	}
	return nil, false
}

// lateRun repeats the last committed run at another server, later and under the given
// fence; the zero fence selects the original run's fence.
func lateRun(fence topo.Fence) func(*rapid.T, []history.Event) ([]history.Event, bool) {
	return func(_ *rapid.T, events []history.Event) ([]history.Event, bool) {
		runs := collectRuns(events)
		if len(runs) == 0 {
			return nil, false
		}
		last := runs[len(runs)-1]
		began, ended := last.began, last.ended
		began.Server, ended.Server = "intruder", "intruder"
		began.At, ended.At = last.ended.At+1, last.ended.At+2
		began.RequestID, ended.RequestID = "intruding", "intruding"
		if !fence.IsZero() {
			began.Fence = fence
		}
		return append(events, began, ended), true
	}
}

// Settled nodes must know the assignments acknowledged up to the record that they had
// applied when they caught up, and none of the later ones.
func TestAssignmentsAfterTheSettledOffset(t *testing.T) {
	shard := topo.ShardID{Service: "s", Index: 1}
	known := func(node topo.NodeID, at history.Time, offset topo.Offset) history.Event {
		return history.AssignmentKnown{
			At: at, Node: node, Shard: shard, Fence: topo.MakeFence(offset, 0), Owner: "s1", Acknowledged: true,
		}
	}
	events := []history.Event{known("n1", 1, 10), known("n2", 2, 20)}
	for _, row := range []struct {
		settledAt topo.Offset
		holds     bool
	}{{0, false}, {10, true}, {19, true}, {20, false}} {
		options := Options{Settled: []topo.NodeID{"n1"}, SettledAt: row.settledAt}
		g := gomega.NewWithT(t)
		g.Expect(Assignments(events, options) == nil).To(gomega.Equal(row.holds), "settled at %d", row.settledAt)
		result := LinearizableAssignments(events, options, 0)
		g.Expect(result == Linearizable).To(gomega.Equal(row.holds), "settled at %d", row.settledAt)
	}
}
