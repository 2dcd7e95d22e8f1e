package returns_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/returns"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var bounds = returns.Bounds{Least: 110 * time.Millisecond, Most: time.Second, Longest: 2 * time.Second}

// measured returns a schedule that has counted first attempts and admitted requests for ten seconds.
func measured(firstsPerSecond, admittedPerSecond int) (*returns.Schedule, time.Time) {
	s := new(returns.Schedule)
	now := start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		tick := int(now.Sub(start) / (10 * time.Millisecond))
		if tick*firstsPerSecond%100 < firstsPerSecond {
			s.CountFirst(now)
		}
		if tick*admittedPerSecond%100 < admittedPerSecond {
			s.CountAdmitted(now)
		}
	}
	return s, now
}

// Guards against callers that are asked to return together: promises must be as far apart as the room allows.
func TestPromisesFitTheRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := measured(10, 20)
	fitting := 0
	for range 30 {
		p := s.Promise(bounds, 0.5, now)
		g.Expect(p.Admitted).To(gomega.BeNumerically("~", 20, 2))
		if !p.Fits {
			g.Expect(p.After).To(gomega.Equal(bounds.Longest))
			continue
		}
		fitting++
		g.Expect(p.After).To(gomega.And(gomega.BeNumerically(">=", bounds.Least), gomega.BeNumerically("<=", bounds.Most)))
	}
	g.Expect(fitting).To(gomega.BeNumerically("~", 18, 2), "room for twenty callers in the second, less the least delay")
	later := s.Promise(bounds, 0.5, now.Add(5*time.Second))
	g.Expect(later.Fits).To(gomega.BeTrue(), "room of slots that have passed is free again")
}

// Guards against a schedule that promises nothing, or more than is admitted, when first attempts alone exceed the capacity.
func TestSomeReturnWhileDemandExceedsCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := measured(30, 20)
	fitting := 0
	for range 60 {
		if s.Promise(bounds, 0, now).Fits {
			fitting++
		}
	}
	g.Expect(fitting).To(gomega.BeNumerically("~", 18, 3))
}

// Guards against promises after a restart, when nothing is known, and against bounds that exclude each other.
func TestNothingIsPromisedWithoutRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	restarted := new(returns.Schedule)
	g.Expect(restarted.Promise(bounds, 0, start)).To(gomega.Equal(returns.Promise{After: bounds.Longest}))
	s, now := measured(10, 20)
	noTime := returns.Bounds{Least: 300 * time.Millisecond, Most: 200 * time.Millisecond, Longest: 2 * time.Second}
	g.Expect(s.Promise(noTime, 0, now).Fits).To(gomega.BeFalse())
}

// Guards against an order that depends on more than is known of a caller.
func TestOrderFollowsFromTheTimeWaited(t *testing.T) {
	g := gomega.NewWithT(t)
	least := 100 * time.Millisecond
	g.Expect(returns.OrderOf(0, least)).To(gomega.Equal(returns.FirstAttempt))
	g.Expect(returns.OrderOf(-time.Second, least)).To(gomega.Equal(returns.FirstAttempt))
	g.Expect(returns.OrderOf(5*time.Millisecond, least)).To(gomega.Equal(returns.ReturnedAtOnce))
	g.Expect(returns.OrderOf(least, least)).To(gomega.Equal(returns.WaitedAsTold))
}

// Guards against refused callers that return before a request can have ended, after their time, or together.
func TestDelayIsBoundedAndRandomized(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	for wait, want := range map[time.Duration]struct{ least, most time.Duration }{
		0:           {returns.MinDelay, 2 * returns.MinDelay},
		time.Second: {500 * time.Millisecond, time.Second},
		time.Minute: {returns.MaxDelay, returns.MaxDelay},
	} {
		delays := map[time.Duration]bool{}
		for range 100 {
			delay := returns.Delay(wait, random)
			g.Expect(delay).To(gomega.And(gomega.BeNumerically(">=", want.least), gomega.BeNumerically("<=", want.most)))
			delays[delay] = true
		}
		g.Expect(len(delays) > 90).To(gomega.Equal(want.least < want.most), "wait of %v", wait)
	}
}
