package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// failuresFrom is when every request begins to fail. Until then the nodes resend none.
const failuresFrom = 20 * time.Second

// move is a time from which on only some nodes get requests.
type move struct {
	at    time.Duration
	first int // of the nodes that get requests
	count int
}

// playMoves spreads a rate of requests a second evenly over the nodes that get any, which change with each move.
func (w *world) playMoves(rate float64, end time.Duration, moves ...move) {
	used := move{count: len(w.nodes)}
	next := 0
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= end {
			return
		}
		for len(moves) > 0 && at >= moves[0].at {
			used, moves = moves[0], moves[1:]
		}
		next = (next + 1) % used.count
		node := (used.first + next) % len(w.nodes)
		if at < failuresFrom {
			w.nodes[node].Request(len(w.nodes), w.now(at))
			w.requests = append(w.requests, at)
			continue
		}
		w.request(node, at)
	}
}

// Guards against nodes that spend their parts one after the other when callers move between them: each was within its
// part of its own requests, and their sum was not within the budget.
func TestBudgetHoldsWhileCallersMoveBetweenNodes(t *testing.T) {
	at := func(seconds float64) time.Duration { return failuresFrom + time.Duration(seconds*float64(time.Second)) }
	for name, moves := range map[string]func(nodes int) []move{
		"none":                       func(int) []move { return nil },
		"half of the nodes are lost": func(n int) []move { return []move{{at(4), 0, n / 2}} },
		"most nodes are lost":        func(n int) []move { return []move{{at(4), 0, n / 4}} },
		"one set of nodes after the other": func(n int) []move {
			return []move{{at(0.5), 0, n / 4}, {at(3), n / 4, n / 4}, {at(6), n / 2, n / 4}, {at(9), 3 * n / 4, n / 4}}
		},
		"back and forth": func(n int) (moves []move) {
			for i := range 12 {
				moves = append(moves, move{at(float64(i)), i % 2 * n / 2, n / 2})
			}
			return moves
		},
		"to one node after the other": func(n int) (moves []move) {
			for i := range 10 {
				moves = append(moves, move{at(float64(i)), i % n, 1})
			}
			return moves
		},
		"to nodes that were idle": func(n int) []move {
			return []move{{0, 0, n / 2}, {at(2), n / 2, n / 2}, {at(6), 0, n / 2}}
		},
	} {
		for nodes, rate := range map[int]float64{8: 150, 12: 560, 68: 2000, 295: 6000} {
			t.Run(fmt.Sprint(name, ", ", nodes, " nodes"), func(t *testing.T) {
				w := newWorldOf(nodes)
				w.playMoves(rate, 36*time.Second, moves(nodes)...)
				w.checkWindows(t)
				t.Logf("%d resends of %d requests", len(w.resends), len(w.requests))
			})
		}
	}
}

// Guards against credit of a burst of requests that is spent together with that of the next one, in a window that holds
// the requests of one of them only.
func TestBudgetHoldsBetweenBurstsOfRequests(t *testing.T) {
	const first, burst = 18 * time.Second, 2 * time.Second
	for _, nodes := range []int{1, 12, 68, 295} {
		for gap := 500 * time.Millisecond; gap < 10*time.Second; gap += 500 * time.Millisecond {
			w := newWorldOf(nodes)
			for i := range 4000 {
				at := first + time.Duration(i%2000)*burst/2000
				if i >= 2000 {
					at += burst + gap
				}
				if at < first+burst-10*time.Millisecond { // none has failed yet
					w.nodes[i%nodes].Request(nodes, w.now(at))
					w.requests = append(w.requests, at)
					continue
				}
				w.request(i%nodes, at)
			}
			w.checkWindows(t)
		}
	}
}

// Most requests that fail for a short time are sent again.
func TestShortFailuresAreMostlySentAgain(t *testing.T) {
	const failing, failedShare = 3 * time.Second, 3
	for nodes, rate := range map[int]int{12: 560, 68: 2000, 295: 4000} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newWorldOf(nodes)
			random := rand.New(rand.NewPCG(1, 1))
			failed, sentAgain := 0, 0
			for i := range rate * 24 {
				at := time.Duration(i) * time.Second / time.Duration(rate)
				b := w.nodes[random.IntN(nodes)]
				b.Request(nodes, w.now(at))
				if at >= failuresFrom && at < failuresFrom+failing && i%failedShare == 0 {
					failed++
					if b.Spend(nodes, w.now(at)) {
						sentAgain++
					}
				}
			}
			t.Logf("%d of %d", sentAgain, failed)
			g.Expect(sentAgain).To(gomega.BeNumerically(">", failed/2))
		})
	}
}
