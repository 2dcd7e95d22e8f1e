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

// Guards against a slot that is dropped before its retries are a window old.
func TestBurstsLessThanAWindowApartShareOneBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const minPerWindow = 3
	for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
		budget := retry.NewBudget(0, minPerWindow)
		taken := 0
		for _, at := range []time.Duration{0, 9900 * time.Millisecond} {
			for budget.Take(epoch.Add(offset + at)) {
				taken++
			}
		}
		g.Expect(taken).To(gomega.Equal(minPerWindow), "bursts at %v and 9.9 s later", offset)
	}
}
