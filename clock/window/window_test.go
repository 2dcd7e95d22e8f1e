package window_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/clock/clocktest"
	"github.com/burdockspindle/burdockspindle/clock/window"
)

const (
	slots    = 4
	slotTime = time.Second
)

func total(s *window.Sliding[int], latest int, now time.Time) int {
	sum := 0
	for n := range s.Latest(latest, now) {
		sum += n
	}
	return sum
}

func TestCountsLeaveTheWindowAfterItsSlots(t *testing.T) {
	for name, start := range map[string]time.Time{"process": time.Now(), "before the process": time.Unix(0, 0)} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := window.New[int](slots, slotTime)
			for i := range 20 {
				now := start.Add(time.Duration(i) * slotTime)
				*s.At(now) += i
				g.Expect(total(s, 1, now)).To(gomega.Equal(i))
				if i >= slots {
					g.Expect(total(s, slots, now)).To(gomega.Equal(4*i - 6))
				}
			}
			g.Expect(total(s, slots, start.Add(20*slotTime+slots*slotTime))).To(gomega.BeZero())
		})
	}
}

// Guards against windows that lose their counts when the time of day is set.
func TestStepsOfTheTimeOfDayKeepTheCounts(t *testing.T) {
	for _, seconds := range []int{3600, 2, -2, -3600} {
		g := gomega.NewWithT(t)
		start := time.Now()
		s := window.New[int](slots, slotTime)
		*s.At(start)++
		*s.At(clocktest.Step(start, seconds))++
		*s.At(start)++
		g.Expect(total(s, slots, clocktest.Step(start, seconds))).To(gomega.Equal(3), "step of %d s", seconds)
		g.Expect(total(s, slots, start)).To(gomega.Equal(3), "step of %d s", seconds)
	}
}

// Guards against a look at an earlier slot that changes the counts of a later one.
func TestPastSlotsAreReadWithoutAChange(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	s := window.New[int](slots, slotTime)
	*s.At(start) = 1
	*s.At(start.Add(slotTime)) = 2
	g.Expect(s.Past(start)).To(gomega.Equal(1))
	g.Expect(s.Past(start.Add(slotTime))).To(gomega.Equal(2))
	g.Expect(s.Past(start.Add((1-slots)*slotTime))).To(gomega.BeZero(), "its place is taken")
	g.Expect(s.Past(start.Add(2*slotTime))).To(gomega.BeZero(), "nothing was counted")
	g.Expect(total(s, slots, start.Add(slotTime))).To(gomega.Equal(3))
}
