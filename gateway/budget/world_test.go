package budget_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock/clocktest"
	"github.com/burdockspindle/burdockspindle/gateway/budget"
)

// siteTerms are the terms of a site whose slack is most of the budget while there are few
// requests.
var siteTerms = budget.Terms{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}

// siteNodes is the number of nodes that share the budget.
const siteNodes = 12

// world simulates nodes that share a budget for one service. Every request fails, so each
// node spends all that its budget allows.
type world struct {
	start    time.Time
	nodes    []*budget.Budget
	step     func(at time.Duration) int // of the nodes' time of day, in seconds; nil: none
	requests []time.Duration            // when they arrived, since the start
	resends  []time.Duration
}

func newWorld() *world { return newWorldOf(siteNodes) }

func newWorldOf(nodes int) *world {
	w := &world{start: time.Now()}
	for range nodes {
		w.nodes = append(w.nodes, budget.New(siteTerms, time.Time{}))
	}
	return w
}

// now returns what the nodes read from their clock at a time since the start.
func (w *world) now(at time.Duration) time.Time {
	now := w.start.Add(at)
	if w.step == nil {
		return now
	}
	return clocktest.Step(now, w.step(at))
}

// request lets a node send one request and then resend it as often as the budget allows.
func (w *world) request(node int, at time.Duration) {
	now := w.now(at)
	w.nodes[node].Request(len(w.nodes), now)
	w.requests = append(w.requests, at)
	for w.nodes[node].Spend(len(w.nodes), now) {
		w.resends = append(w.resends, at)
	}
}

// play sends a request from each node once per interval until the end.
func (w *world) play(interval, end time.Duration) {
	for at := time.Duration(0); at < end; at += interval {
		for node := range w.nodes {
			w.request(node, at)
		}
	}
}

// checkWindows checks the terms in every window that begins with a resend.
func (w *world) checkWindows(t *testing.T) {
	t.Helper()
	g := gomega.NewWithT(t)
	for _, from := range slices.Compact(slices.Clone(w.resends)) {
		requests := max(w.requestsIn(from), w.requestsIn(from-siteTerms.Window/2), w.requestsIn(from-siteTerms.Window))
		allowed := siteTerms.Ratio*float64(requests) + siteTerms.Slack
		resends := countIn(w.resends, from)
		g.Expect(float64(resends)).To(gomega.BeNumerically("<=", allowed), "resends in the window from %v, for %d requests", from, requests)
	}
}

func (w *world) requestsIn(from time.Duration) int { return countIn(w.requests, from) }

// countIn counts the times in the window that begins at from. The times are in order.
func countIn(times []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+siteTerms.Window)
	return end - first
}

// Guards against spent retries that are forgotten when the time of day is set.
func TestStepsOfTheTimeOfDayDoNotRefillTheBudget(t *testing.T) {
	for name, seconds := range map[string]int{"ahead": 12, "back": -12} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			w.step = func(at time.Duration) int {
				for _, begin := range []time.Duration{4 * time.Second, 7 * time.Second, 10 * time.Second} {
					if at >= begin && at < begin+1500*time.Millisecond {
						return seconds
					}
				}
				return 0
			}
			w.play(100*time.Millisecond, 20*time.Second)
			w.checkWindows(t)
		})
	}
}

// Guards against a bucket that is dropped before its retries are a window old.
func TestBurstsLessThanAWindowApartShareOneBudget(t *testing.T) {
	const apart = 9900 * time.Millisecond
	for offset := time.Duration(0); offset < time.Second; offset += 25 * time.Millisecond {
		w := newWorld()
		for node := range w.nodes {
			w.request(node, offset)
		}
		for node := range w.nodes {
			w.request(node, offset+apart)
		}
		w.checkWindows(t)
	}
}

// Guards against resends that wait for a slot and arrive after their part of the budget is
// available again.
func TestResendCountsFromWhenItIsSent(t *testing.T) {
	const wait = time.Second
	w := newWorld()
	for i, at := range []time.Duration{0, siteTerms.Window + 600*time.Millisecond} {
		for _, b := range w.nodes {
			b.Request(len(w.nodes), w.now(at))
			w.requests = append(w.requests, at)
			for b.Spend(len(w.nodes), w.now(at)) {
				sentAt := at
				if i == 0 {
					sentAt += wait
					b.Postpone(w.now(at), w.now(sentAt))
				}
				w.resends = append(w.resends, sentAt)
			}
		}
	}
	w.checkWindows(t)
}

// Guards against restarted nodes that spend the slack which they spent before the restart.
func TestRestartsDoNotRefillTheSlack(t *testing.T) {
	w := newWorld()
	for _, at := range []time.Duration{0, 3 * time.Second, 6 * time.Second, 9 * time.Second} {
		for node := range w.nodes {
			w.nodes[node] = budget.New(siteTerms, w.now(at))
			w.request(node, at)
			w.request(node, at+time.Second)
		}
	}
	slices.Sort(w.requests)
	slices.Sort(w.resends)
	w.checkWindows(t)
}

// Guards against a change of the window that forgets what was spent of the slack.
func TestChangeOfTheWindowDoesNotRefillTheSlack(t *testing.T) {
	for _, changed := range []time.Duration{5 * time.Second, 20 * time.Second} {
		w := newWorld()
		for node := range w.nodes {
			w.request(node, 0)
		}
		terms := siteTerms
		for i, at := range []time.Duration{time.Second, 2 * time.Second, 7 * time.Second} {
			terms.Window = []time.Duration{changed, siteTerms.Window}[i%2]
			for node, b := range w.nodes {
				b.SetTerms(terms, w.now(at))
				w.request(node, at)
				w.request(node, at+900*time.Millisecond)
			}
		}
		slices.Sort(w.requests)
		slices.Sort(w.resends)
		w.checkWindows(t)
	}
}
