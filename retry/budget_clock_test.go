package retry_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock/clocktest"
	"github.com/burdockspindle/burdockspindle/retry"
)

// Guards against spent retries that are forgotten when the time of day is set.
func TestStepsOfTheTimeOfDayDoNotRefillTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const minPerWindow = 3
	budget := retry.NewBudget(0, minPerWindow)
	start := time.Now()
	taken := 0
	for _, seconds := range []int{0, 12, 0, -12, 0, 3600} {
		now := clocktest.Step(start, seconds)
		for budget.Take(now) {
			taken++
		}
	}
	g.Expect(taken).To(gomega.Equal(minPerWindow))
}
