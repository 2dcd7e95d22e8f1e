package histcheck

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

func probe(n int, key string, sent, answered history.Time, outcome serverapi.Outcome) []history.Event {
	return []history.Event{
		history.CallerSent{At: sent, CallerRequest: "p", Attempt: n, Service: "s", Key: key, Method: "GET"},
		history.CallerAnswered{At: answered, CallerRequest: "p", Attempt: n, Outcome: outcome},
	}
}

func TestUnavailable(t *testing.T) {
	ok, bad := serverapi.OutcomeAnswered, serverapi.OutcomeNotRun
	cases := map[string]struct {
		probes         [][]history.Event
		longest, total time.Duration
	}{
		"never failed": {[][]history.Event{probe(1, "k", 0, 2, ok)}, 0, 0},
		"from first failure sent to next answer": {[][]history.Event{
			probe(1, "k", 0, 2, ok), probe(2, "k", 10, 12, bad), probe(3, "k", 20, 22, bad), probe(4, "k", 30, 33, ok),
		}, 23, 23},
		"an answer to an earlier probe ends nothing": {[][]history.Event{
			probe(1, "k", 10, 12, bad), probe(2, "k", 5, 14, ok), probe(3, "k", 20, 25, ok),
		}, 15, 15},
		"open at the end": {[][]history.Event{
			probe(1, "k", 10, 12, bad), probe(2, "k", 20, 40, serverapi.OutcomeUnknown),
		}, 30, 30},
		"longest of several keys": {[][]history.Event{
			probe(1, "k", 0, 1, bad), probe(2, "k", 4, 5, ok), probe(3, "l", 10, 11, bad), probe(4, "l", 20, 30, ok),
		}, 20, 25},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var events []history.Event
			for _, pair := range tc.probes {
				events = append(events, pair...)
			}
			history.SortEvents(events)
			result := Unavailable(events, func(history.CallerSent) bool { return true })
			g := gomega.NewWithT(t)
			g.Expect(result.Longest).To(gomega.Equal(tc.longest))
			g.Expect(result.Total).To(gomega.Equal(tc.total))
		})
	}
}
