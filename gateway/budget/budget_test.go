package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	terms = budget.Terms{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
)

// spendAll spends until the budget refuses and returns how often it did not.
func spendAll(b *budget.Budget, nodes int, now time.Time) int {
	spent := 0
	for b.Spend(budget.Returned, nodes, now) {
		spent++
	}
	return spent
}

func TestSlackIsSharedByTheNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	total := 0
	for range 8 {
		total += spendAll(budget.New(terms), 8, start)
	}
	g.Expect(total).To(gomega.BeNumerically("<=", 56))
	g.Expect(total).To(gomega.BeNumerically(">", 28))
}

func TestSlackIsKeptWhileTheNumberOfNodesIsNotKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(terms)
	g.Expect(spendAll(b, 0, start)).To(gomega.BeZero())
	for range 100 {
		b.Request(0, start)
	}
	g.Expect(spendAll(b, 0, start)).To(gomega.Equal(16))
}

// A new lessor knows only itself at first: its list of one node must not give
// every node the whole slack.
func TestAShrunkNumberOfNodesDoesNotFreeSlackWithinTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(terms)
	b.Request(8, start)
	g.Expect(spendAll(b, 1, start.Add(time.Second))).To(gomega.BeNumerically("<=", 56/8))
	g.Expect(spendAll(b, 1, start.Add(12*time.Second))).To(gomega.BeNumerically(">", 56/8))
}

func TestAnyWindowStaysWithinTheRatio(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(budget.Terms{Ratio: 0.2, Window: 10 * time.Second})
	spent := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		b.Request(4, now)
		if b.Spend(budget.Returned, 4, now) {
			spent++
		}
	}
	g.Expect(spent).To(gomega.And(gomega.BeNumerically("<=", 200), gomega.BeNumerically(">", 120)))
}

// Servers shed half of what they get, at random, for longer than a window. Callers come back
// once. With a part of the budget kept for those that have, more are served in all than with
// a budget that is spent as requests come.
func TestCallersThatComeBackFindSomeOfTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	alike := servedWhileShedding(budget.Returned)
	kept := servedWhileShedding(budget.First)
	g.Expect(kept).To(gomega.BeNumerically(">", alike+0.02), "kept %v, spent as they come %v", kept, alike)
}

// servedWhileShedding returns the share of callers that are served, with first callers
// counted as told.
func servedWhileShedding(first budget.Caller) float64 {
	const (
		callers   = 4000
		perSecond = 200
		comesBack = 200 * time.Millisecond
		shed      = 0.5
	)
	random := rand.New(rand.NewPCG(1, 2))
	b := budget.New(budget.Terms{Ratio: 0.2, Window: 10 * time.Second})
	attempt := func(caller budget.Caller, now time.Time) bool {
		b.Request(1, now)
		for random.Float64() < shed {
			if !b.Spend(caller, 1, now) {
				return false
			}
		}
		return true
	}
	served := 0
	var returning []time.Time
	for i := range callers {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		for len(returning) > 0 && !returning[0].After(now) {
			returning = returning[1:]
			if attempt(budget.Returned, now) {
				served++
			}
		}
		if attempt(first, now) {
			served++
			continue
		}
		returning = append(returning, now.Add(comesBack))
	}
	return float64(served) / callers
}
