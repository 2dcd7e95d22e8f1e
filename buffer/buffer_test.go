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

// TestWaitersAreWokenOnRecovery: one of many waiting requests probes, and
// when the key is served again all of them continue.
func TestWaitersAreWokenOnRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := buffer.New(100)
		b.Failed(time.Now(), key, buffer.Unreachable)
		var mu sync.Mutex
		var woken []buffer.Wake
		var wait sync.WaitGroup
		for range 20 {
			ticket, _ := b.Join(time.Now(), key, "logs", time.Now().Add(time.Minute))
			wait.Go(func() {
				wake, err := ticket.Wait(context.Background(), nil, nil)
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
		g.Expect(b.HasOutage(key)).To(gomega.BeFalse())
	})
}

func TestNewerViewOrCanceledContextEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := buffer.New(100)
		b.Failed(time.Now(), key, buffer.Unreachable)
		deadline := time.Now().Add(time.Minute)
		changed := make(chan struct{})
		ticket, _ := b.Join(time.Now(), key, "logs", deadline)
		close(changed)
		wake, err := ticket.Wait(context.Background(), changed, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(wake).To(gomega.Equal(buffer.Wake{}))
		g.Expect(b.Stats().Waiting).To(gomega.BeZero())

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ticket, _ = b.Join(time.Now(), key, "logs", deadline)
		_, err = ticket.Wait(ctx, nil, nil)
		g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
		g.Expect(b.Stats().Waiting).To(gomega.BeZero())
	})
}

// TestLeavingProbeIsNotLost: when a request that was selected to probe leaves,
// another request can probe.
func TestLeavingProbeIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := buffer.New(100)
		b.Failed(time.Now(), key, buffer.Unreachable)
		ticket, _ := b.Join(time.Now(), key, "logs", time.Now().Add(time.Minute))
		time.Sleep(100 * time.Millisecond)
		b.Sweep(time.Now()) // selects the request to probe
		ticket.Leave()
		plan, _ := b.Plan(time.Now(), key)
		g.Expect(plan).To(gomega.Equal(buffer.Probe))
	})
}
