package budget_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/budget"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	terms = budget.Terms{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
)

// spendAll spends until the budget refuses and returns the number of sends.
func spendAll(b *budget.Budget, nodes int, now time.Time) int {
	spent := 0
	for b.Spend(nodes, now) {
		spent++
	}
	return spent
}

func TestSlackIsSharedByTheNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	total := 0
	for range 8 {
		total += spendAll(budget.New(terms, time.Time{}), 8, start)
	}
	g.Expect(total).To(gomega.BeNumerically("<=", 56))
	g.Expect(total).To(gomega.BeNumerically(">", 28))
}

func TestSlackIsUnavailableWhileTheNumberOfNodesIsUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(terms, time.Time{})
	g.Expect(spendAll(b, 0, start)).To(gomega.BeZero())
	for range 100 {
		b.Request(0, start)
	}
	g.Expect(spendAll(b, 0, start)).To(gomega.Equal(16))
}

// A new lessor knows only itself at first: its list of one node must not give every node
// the whole slack.
func TestSmallerNodeCountDoesNotReleaseSlackWithinTheWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(terms, time.Time{})
	b.Request(8, start)
	g.Expect(spendAll(b, 1, start.Add(time.Second))).To(gomega.BeNumerically("<=", 56/8))
	g.Expect(spendAll(b, 1, start.Add(12*time.Second))).To(gomega.BeNumerically(">", 56/8))
}

func TestEveryWindowStaysWithinTheRatio(t *testing.T) {
	g := gomega.NewWithT(t)
	b := budget.New(budget.Terms{Ratio: 0.2, Window: 10 * time.Second}, time.Time{})
	spent := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		b.Request(4, now)
		if b.Spend(4, now) {
			spent++
		}
	}
	g.Expect(spent).To(gomega.And(gomega.BeNumerically("<=", 200), gomega.BeNumerically(">", 120)))
}
