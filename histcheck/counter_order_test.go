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

// searchedCounter is what a search says of operations on one counter.
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

// drawCounter draws operations that took effect in turn, some without an answer, and
// changes what a few of them say.
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

// Every small history gets the verdict that a search for an order gives.
func TestOrderOfACounterAgreesWithASearch(t *testing.T) {
	verdicts := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		operations := drawCounter(t)
		got := ordered(operations)
		verdicts[got]++
		if want := searchedCounter(operations) == Linearizable; got != want {
			t.Fatalf("ordered %v, a search says %v: %+v", got, want, operations)
		}
	})
	t.Logf("%v", verdicts)
	gomega.NewWithT(t).Expect(verdicts).To(gomega.HaveLen(2))
}

// Where requests stay without an answer, as when a zone is lost on a slow machine, a
// search tried every choice of those that took effect before the others, and was ended
// by its limit: "counters: undecided".
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
