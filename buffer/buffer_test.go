package buffer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/buffer"
)

// TestWaitersAreWokenOnRecovery: many wait, one probes, and when the key is
// served again all of them go on.
func TestWaitersAreWokenOnRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := buffer.New(100)
		b.Failed(time.Now(), key, buffer.Unreachable)
		var mu sync.Mutex
		var woken []buffer.Wake
		var wait sync.WaitGroup
		for range 20 {
			place, _ := b.Join(time.Now(), key, "logs", time.Now().Add(time.Minute))
			wait.Go(func() {
				wake, err := place.Wait(context.Background(), nil, nil)
				mu.Lock()
				defer mu.Unlock()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				woken = append(woken, wake)
			})
		}
		g.Expect(b.Stats().Waiting).To(gomega.Equal(20))
		time.Sleep(100 * time.Millisecond)
		b.Sweep(time.Now())
		synctest.Wait()
		g.Expect(woken).To(gomega.HaveLen(1))
		g.Expect(woken[0].Probe).To(gomega.BeTrue())
		b.Sweep(time.Now())
		synctest.Wait()
		g.Expect(woken).To(gomega.HaveLen(1), "one probe at a time")
		b.Recovered(time.Now(), key)
		wait.Wait()
		g.Expect(woken).To(gomega.HaveLen(20))
		g.Expect(b.Stats().Waiting).To(gomega.BeZero())
		g.Expect(b.Out(key)).To(gomega.BeFalse())
	})
}

func TestNewerViewOrEndOfContextEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := buffer.New(100)
		b.Failed(time.Now(), key, buffer.Unreachable)
		deadline := time.Now().Add(time.Minute)
		changed := make(chan struct{})
		place, _ := b.Join(time.Now(), key, "logs", deadline)
		close(changed)
		wake, err := place.Wait(context.Background(), changed, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(wake).To(gomega.Equal(buffer.Wake{}))
		g.Expect(b.Stats().Waiting).To(gomega.BeZero())

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		place, _ = b.Join(time.Now(), key, "logs", deadline)
		_, err = place.Wait(ctx, nil, nil)
		g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		g.Expect(b.Stats().Waiting).To(gomega.BeZero())
	})
}

// TestLeavingProbeIsNotLost: a request that was chosen to probe and leaves hands
// the probe to the next.
func TestLeavingProbeIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := buffer.New(100)
		b.Failed(time.Now(), key, buffer.Unreachable)
		place, _ := b.Join(time.Now(), key, "logs", time.Now().Add(time.Minute))
		time.Sleep(100 * time.Millisecond)
		b.Sweep(time.Now()) // chooses it
		place.Leave()
		plan, _ := b.Plan(time.Now(), key)
		g.Expect(plan).To(gomega.Equal(buffer.Probe))
	})
}
