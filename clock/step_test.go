package clock_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/clock/clocktest"
)

func TestStepsOfTheTimeOfDayAreDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	var d clock.StepDetector
	for i, row := range []struct{ ahead, step int }{{0, 0}, {0, 0}, {12, 12}, {12, 0}, {0, -12}, {-3, -3}} {
		now := start.Add(time.Duration(i) * time.Second)
		step := d.Observe(now, clocktest.Step(now, row.ahead))
		g.Expect(step).To(gomega.Equal(time.Duration(row.step)*time.Second), "observation %d", i)
	}
}

// A suspension of the machine advances the time of day and Now alike.
func TestSuspensionIsNoStep(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	var d clock.StepDetector
	d.Observe(start, start)
	g.Expect(d.Observe(start.Add(6*time.Second), clocktest.Step(start.Add(time.Second), 5))).To(gomega.BeZero())
}
