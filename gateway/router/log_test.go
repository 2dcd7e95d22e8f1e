package router

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock/clocktest"
)

// Guards against a limit of log lines that begins anew whenever the time of day is set.
func TestStepsOfTheTimeOfDayDoNotRefillTheLogLines(t *testing.T) {
	g := gomega.NewWithT(t)
	var b lineBudget
	start := time.Now()
	written := 0
	for i := range 100 {
		if allowed, _ := b.take(true, clocktest.Step(start, i%2)); allowed {
			written++
		}
	}
	g.Expect(written).To(gomega.Equal(maxFailedLines))
}
