package clocktest_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock/clocktest"
)

func TestStepChangesOnlyTheTimeOfDay(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	for _, seconds := range []int{12, -12, 86_400} {
		stepped := clocktest.Step(now, seconds)
		g.Expect(stepped.Unix()-now.Unix()).To(gomega.Equal(int64(seconds)), "time of day")
		g.Expect(stepped.Sub(now)).To(gomega.BeZero(), "monotonic reading")
		g.Expect(stepped.Add(time.Second).Sub(now)).To(gomega.Equal(time.Second), "later reading")
	}
}

func TestStepRejectsTimesWithoutAMonotonicReading(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(func() { clocktest.Step(time.Unix(0, 0), 1) }).To(gomega.Panic())
}
