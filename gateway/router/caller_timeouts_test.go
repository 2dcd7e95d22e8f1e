package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestRetryIsRecognizedByItsRemainingTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var timeouts callerTimeouts
	g.Expect(timeouts.elapsed(time.Second)).To(gomega.BeZero(), "no usual timeout yet")
	for range 300 {
		timeouts.record(4 * time.Second)
		timeouts.record(time.Duration(random.Int64N(int64(4 * time.Second)))) // half of the callers retry
		if random.IntN(25) == 0 {
			timeouts.record(10 * time.Second) // a few have a longer timeout
		}
	}
	g.Expect(timeouts.elapsed(4 * time.Second)).To(gomega.BeZero())
	g.Expect(timeouts.elapsed(10 * time.Second)).To(gomega.BeZero())
	g.Expect(timeouts.elapsed(3 * time.Second)).To(gomega.Equal(time.Second))
	for range 200 {
		timeouts.record(2 * time.Second) // the route's callers have changed
	}
	g.Expect(timeouts.elapsed(1500 * time.Millisecond)).To(gomega.Equal(500 * time.Millisecond))
}

func TestEvenlySpreadTimeoutsHaveNoUsualValue(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(2, 2))
	var timeouts callerTimeouts
	for range 1000 {
		timeouts.record(time.Duration(random.Int64N(int64(4 * time.Second))))
		g.Expect(timeouts.elapsed(0)).To(gomega.BeZero())
	}
}
