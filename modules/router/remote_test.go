package router

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock/clocktest"
)

// Guards against an outdated load that stays in use because the time of day was set back.
func TestStepsOfTheTimeOfDayDoNotKeepAnOutdatedLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	var loads remoteLoads
	start := time.Now()
	loads.store(start, "s", 0.9)
	later := start.Add(2 * remoteLoadTTL)
	for _, seconds := range []int{0, -3600, 3600} {
		g.Expect(loads.load(clocktest.Step(later, seconds), "s", 4)).To(gomega.BeZero(), "step of %d s", seconds)
	}
	g.Expect(loads.load(clocktest.Step(start, 3600), "s", 4)).To(gomega.BeNumerically("~", 0.9), "current load")
}
