package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestAReturningCallerIsKnownByTheTimeThatItHasLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var p patience
	g.Expect(p.waited(time.Second)).To(gomega.BeZero(), "nothing is known")
	for range 300 {
		p.note(4 * time.Second)
		p.note(time.Duration(random.Int64N(int64(4 * time.Second)))) // half of the callers come back
		if random.IntN(25) == 0 {
			p.note(10 * time.Second) // a few are more patient
		}
	}
	g.Expect(p.waited(4 * time.Second)).To(gomega.BeZero())
	g.Expect(p.waited(10 * time.Second)).To(gomega.BeZero())
	g.Expect(p.waited(3 * time.Second)).To(gomega.Equal(time.Second))
	for range 200 {
		p.note(2 * time.Second) // the route's callers have changed
	}
	g.Expect(p.waited(1500 * time.Millisecond)).To(gomega.Equal(500 * time.Millisecond))
}

func TestCallersOfEveryPatienceHaveNoUsualOne(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(2, 2))
	var p patience
	for range 1000 {
		p.note(time.Duration(random.Int64N(int64(4 * time.Second))))
		g.Expect(p.waited(0)).To(gomega.BeZero())
	}
}
