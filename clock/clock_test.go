package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func TestSuspensionsAddUpAndNeverFall(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newSuspensionTracker(time.Hour)
	rows := []struct{ reading, want time.Duration }{
		{time.Hour, 0},
		{time.Hour - time.Millisecond, 0}, // pause between the readings of the two clocks
		{time.Hour + minSuspension - 1, 0},
		{time.Hour + 3*time.Second, 3 * time.Second},
		{time.Hour + 2*time.Second, 3 * time.Second},
		{time.Hour + 5*time.Second, 5 * time.Second},
	}
	for _, row := range rows {
		g.Expect(s.sinceStart(row.reading)).To(gomega.Equal(row.want), "reading %v", row.reading)
	}
}

func TestNowFollowsTheRuntimeOtherwise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		began, suspended := Now(), suspensions.sinceStart(0)
		time.Sleep(7 * time.Second)
		further := suspensions.sinceStart(0) - suspended
		g.Expect(Since(began)).To(gomega.BeNumerically("~", 7*time.Second+further, time.Second))
	})
}

func TestWaitTellsWhetherTheWhileHasPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		began := time.Now()
		g.Expect(Wait(context.Background(), 3*time.Second)).To(gomega.BeTrue())
		g.Expect(time.Since(began)).To(gomega.Equal(3 * time.Second))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.Expect(Wait(ctx, time.Minute)).To(gomega.BeFalse())
		g.Expect(time.Since(began)).To(gomega.Equal(4 * time.Second))
		g.Expect(Wait(ctx, -time.Second)).To(gomega.BeFalse(), "ended before")
		g.Expect(Wait(context.Background(), -time.Second)).To(gomega.BeTrue())
	})
}
