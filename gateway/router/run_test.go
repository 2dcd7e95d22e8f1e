package router

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
)

// A server that has become slow always has a queue; its pace must show all the
// same, and the queue must not be taken for slowness.
func TestWorkOfAServerLeavesItsQueueOut(t *testing.T) {
	g := gomega.NewWithT(t)
	answered := func(took time.Duration, load *site.Load) sent {
		return sent{answer: &upstream.Answer{Load: load}, took: took}
	}
	g.Expect(workOf(answered(100*time.Millisecond, nil))).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(workOf(answered(100*time.Millisecond, &site.Load{Running: 2, Slots: 4}))).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(workOf(answered(300*time.Millisecond, &site.Load{Running: 4, Waiting: 8, Slots: 4}))).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(workOf(answered(2*time.Second, &site.Load{Running: 4, Waiting: 4, Slots: 4}))).To(gomega.Equal(time.Second))
}

func TestLinesOfFailedRequestsAreBoundedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	var b lineBudget
	now := time.Unix(1000, 0)
	written := 0
	for range 100 {
		if allowed, _ := b.take(true, now); allowed {
			written++
		}
	}
	g.Expect(written).To(gomega.Equal(failedLines))
	allowed, _ := b.take(false, now)
	g.Expect(allowed).To(gomega.BeTrue(), "answered ones have lines of their own")
	allowed, dropped := b.take(true, now.Add(time.Second))
	g.Expect(allowed).To(gomega.BeTrue())
	g.Expect(dropped).To(gomega.Equal(100 - failedLines))
}
