package ring_test

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/ring"
)

func TestFullRingDropsAndCounts(t *testing.T) {
	g := NewWithT(t)
	r := ring.New[int]("drop", 1, ring.DropNew)
	ctx := context.Background()

	g.Expect(r.Put(ctx, 1)).To(Succeed())
	g.Expect(r.Put(ctx, 2)).To(Succeed())

	g.Expect(<-r.Items()).To(Equal(1))
	g.Expect(r.Stats().Dropped).To(BeEquivalentTo(1))
	g.Expect(r.Stats().Length).To(Equal(0))
}

func TestFullRingRefusesAndCounts(t *testing.T) {
	g := NewWithT(t)
	r := ring.New[int]("refuse", 1, ring.Refuse)
	ctx := context.Background()

	g.Expect(r.Put(ctx, 1)).To(Succeed())
	err := r.Put(ctx, 2)

	var full *ring.FullError
	g.Expect(err).To(BeAssignableToTypeOf(full))
	g.Expect(r.Stats().Refused).To(BeEquivalentTo(1))
}

func TestFullRingMakesTheProducerWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ring.New[int]("wait", 1, ring.Wait)
		ctx := context.Background()
		g.Expect(r.Put(ctx, 1)).To(Succeed())

		done := make(chan error, 1)
		go func() { done <- r.Put(ctx, 2) }()
		synctest.Wait()
		g.Expect(done).NotTo(Receive())
		g.Expect(r.Stats().Waited).To(BeEquivalentTo(1))

		g.Expect(<-r.Items()).To(Equal(1))
		g.Expect(<-done).To(Succeed())
		g.Expect(<-r.Items()).To(Equal(2))
	})
}

func TestWaitingProducerEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := ring.New[int]("cancel", 1, ring.Wait)
		g.Expect(r.Put(context.Background(), 1)).To(Succeed())
		ctx, cancel := context.WithCancel(context.Background())

		done := make(chan error, 1)
		go func() { done <- r.Put(ctx, 2) }()
		synctest.Wait()
		cancel()

		g.Expect(<-done).To(MatchError(context.Canceled))
	})
}
