package histcheck

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/history"
)

// searchedCounter returns the result of a linearizability search over operations on one counter.
func searchedCounter(operations []counterOperation) Result {
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			value, result := state.(uint64), output.(counterResult)
			if input.(bool) {
				value++
			}
			return !result.answered || result.value == value, value
		},
	}
	var history []porcupine.Operation
	for _, o := range operations {
		history = append(history, porcupine.Operation{Input: o.write, Output: o.result, Call: o.sent, Return: o.returned})
	}
	return search(model, history, 0)
}

// drawCounter draws operations that took effect one after another, some without an
// answer, and changes the values of up to two answers.
func drawCounter(t *rapid.T) []counterOperation {
	const step = 3
	var operations []counterOperation
	value := uint64(0)
	for i := range rapid.IntRange(1, 9).Draw(t, "operations") {
		at := int64(i) * step
		o := counterOperation{
			write:    rapid.Bool().Draw(t, "write"),
			sent:     at - rapid.Int64Range(0, 3*step).Draw(t, "sent before"),
			returned: never,
		}
		if o.write {
			value++
		}
		if !o.write || rapid.IntRange(0, 2).Draw(t, "answered") > 0 {
			o.result = counterResult{answered: true, value: value}
			o.returned = at + rapid.Int64Range(0, 3*step).Draw(t, "returned after")
		}
		operations = append(operations, o)
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "changes") {
		o := &operations[i%len(operations)]
		if o.result.answered && o.result.value > 0 {
			o.result.value += rapid.SampledFrom([]uint64{0, 1, math.MaxUint64}).Draw(t, "change")
		}
	}
	return operations
}

// For every small history, the direct check and a linearizability search agree.
func TestOrderOfACounterAgreesWithASearch(t *testing.T) {
	verdicts := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		operations := drawCounter(t)
		got := isLinearizable(operations)
		verdicts[got]++
		if want := searchedCounter(operations) == Linearizable; got != want {
			t.Fatalf("direct check reports linearizable: %v, search reports %v: %+v", got, want, operations)
		}
	})
	t.Logf("%v", verdicts)
	gomega.NewWithT(t).Expect(verdicts).To(gomega.HaveLen(2))
}

// When many requests have no answer, as after the loss of a zone on a slow machine, a
// search tries every subset of those that took effect before the others and reaches
// its time limit: "counters: undecided".
func TestCounterWithManyUnansweredWritesIsDecided(t *testing.T) {
	g := gomega.NewWithT(t)
	const unanswered, limit = 24, 20 * time.Second
	var events []history.Event
	for i := range unanswered {
		w := write{name: fmt.Sprint("unanswered ", i), sent: history.Time(i), at: unanswered, runs: 1}
		events = append(events, w.events()...)
	}
	first := write{name: "x", sent: unanswered, at: unanswered + 1, runs: 1, answered: true, value: 1}
	events = append(events, first.events()...)
	history.SortEvents(events)
	g.Expect(LinearizableCounters(events, Options{}, limit)).To(gomega.Equal(Linearizable))
	second := write{name: "y", sent: unanswered + 2, at: unanswered + 3, runs: 1, answered: true, value: unanswered + 3}
	events = append(events, second.events()...)
	history.SortEvents(events)
	g.Expect(LinearizableCounters(events, Options{}, limit)).To(gomega.Equal(NotLinearizable))
}
