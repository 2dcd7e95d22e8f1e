package health_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/health"
)

var epoch = time.Unix(1_000_000, 0)

func TestConsecutiveFailuresEject(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker health.Tracker
	g.Expect(tracker.Observe(epoch, health.Unresponsive)).To(gomega.BeFalse())
	g.Expect(tracker.Observe(epoch, health.Answered)).To(gomega.BeFalse())
	g.Expect(tracker.Observe(epoch, health.Unresponsive)).To(gomega.BeFalse())
	g.Expect(tracker.Observe(epoch, health.Unreachable)).To(gomega.BeFalse())
	g.Expect(tracker.Observe(epoch, health.Broken)).To(gomega.BeTrue())
	g.Expect(tracker.Weight(epoch)).To(gomega.BeZero())
}

// TestReportsDoNotAffectEjection checks that a server that reports itself healthy
// stays ejected, and that one that reports itself unhealthy is not ejected.
func TestReportsDoNotAffectEjection(t *testing.T) {
	g := gomega.NewWithT(t)
	var failing, fine health.Tracker
	for range 3 {
		failing.Observe(epoch, health.Unresponsive)
		failing.SetReport(health.Report{At: epoch, Load: 0})
		fine.Observe(epoch, health.Answered)
		fine.SetReport(health.Report{At: epoch, Load: 99, Draining: true})
	}
	g.Expect(failing.Ejected(epoch)).To(gomega.BeTrue())
	g.Expect(fine.Weight(epoch)).To(gomega.Equal(1.0))
	g.Expect(fine.Reported().Load).To(gomega.Equal(99.0))
}

func TestWarmUpAndLongerEjections(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker health.Tracker
	now := epoch
	last := time.Duration(0)
	for range 4 {
		for !tracker.Ejected(now) {
			tracker.Observe(now, health.Unresponsive)
		}
		lasts := tracker.Until().Sub(now)
		g.Expect(lasts).To(gomega.BeNumerically(">", last))
		last = lasts
		now = tracker.Until()
		g.Expect(tracker.Weight(now)).To(gomega.BeNumerically("~", 0.1))
		now = now.Add(time.Second)
		g.Expect(tracker.Observe(now, health.Unresponsive)).To(gomega.BeTrue(), "one failure during warm-up ejects again")
		now = tracker.Until().Add(2500 * time.Millisecond)
		g.Expect(tracker.Weight(now)).To(gomega.BeNumerically("~", 0.55, 0.01))
	}
	now = now.Add(2 * time.Minute)
	tracker.Observe(now, health.Answered)
	g.Expect(tracker.Ejections()).To(gomega.BeZero())
	g.Expect(tracker.Weight(now)).To(gomega.Equal(1.0))
}

func TestHighFailureRateEjects(t *testing.T) {
	g := gomega.NewWithT(t)
	var tracker health.Tracker
	ejected := false
	for i := 0; i < 200 && !ejected; i++ {
		seen := health.Unresponsive
		if i%3 == 2 {
			seen = health.Answered
		}
		ejected = tracker.Observe(epoch, seen)
	}
	g.Expect(ejected).To(gomega.BeTrue())
}

func TestWeightIsBetween0And1(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker health.Tracker
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			seen := rapid.SampledFrom([]health.Observation{health.Answered, health.Unresponsive, health.Broken}).Draw(t, "seen")
			tracker.Observe(now, seen)
			weight := tracker.Weight(now)
			if weight < 0 || weight > 1 || tracker.Ejected(now) != (weight == 0) {
				t.Fatalf("weight %v, ejected %v", weight, tracker.Ejected(now))
			}
			if tracker.Until().Sub(now) > 30*time.Second {
				t.Fatalf("ejected for %v", tracker.Until().Sub(now))
			}
		}
	})
}

func TestSetRetain(t *testing.T) {
	g := gomega.NewWithT(t)
	set := health.NewSet[string]()
	for range 3 {
		set.Observe(epoch, "s1", health.Unresponsive)
	}
	g.Expect(set.EjectedUntil(epoch)).To(gomega.HaveKey("s1"))
	g.Expect(set.Ejected(epoch, "s2")).To(gomega.BeFalse())
	set.Retain(func(id string) bool { return id != "s1" })
	g.Expect(set.Ejected(epoch, "s1")).To(gomega.BeFalse())
}
