package shed_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock/clocktest"
	"github.com/burdockspindle/burdockspindle/shed"
)

// Guards against shedding that ends because the time of day is set.
func TestStepsOfTheTimeOfDayDoNotEndShedding(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, seconds := range []int{0, 12, -12, 3600} {
		var m shed.Monitor
		now := load(&m, time.Now(), 40)
		g.Expect(m.Share(clocktest.Step(now, seconds))).To(gomega.BeNumerically("~", 0.9), "step of %d s", seconds)
	}
}
