package limit_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/topo"
)

// TestConcurrentRequestsRespectTheLimitAndReleaseEverySlot runs many requests that
// wait, are served, are canceled or reach their deadline at the same time. It
// guards against exceeding the limit and against slots that are never released.
func TestConcurrentRequestsRespectTheLimitAndReleaseEverySlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		set := limit.NewSet(50)
		gate := set.Gate("logs", "s1", limit.Spec{Limit: 4, MaxQueued: 50, Ramp: 200 * time.Millisecond})
		random := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		held, peak, served := 0, 0, 0
		var wait sync.WaitGroup
		for i := range 500 {
			arrival := time.Duration(random.IntN(1000)) * time.Millisecond
			deadline := time.Duration(20+random.IntN(400)) * time.Millisecond
			busy := time.Duration(5+random.IntN(20)) * time.Millisecond
			wait.Go(func() {
				time.Sleep(arrival)
				ctx, cancel := context.WithTimeout(context.Background(), deadline)
				defer cancel()
				permit, err := gate.Acquire(ctx, limit.Entry{Caller: string(rune('a' + i%3)), Deadline: time.Now().Add(deadline)})
				if err != nil {
					return
				}
				mu.Lock()
				held++
				served++
				peak = max(peak, held)
				mu.Unlock()
				time.Sleep(busy)
				mu.Lock()
				held--
				mu.Unlock()
				permit.Release(limit.Result{Served: true})
				permit.Release(limit.Result{Served: true}) // the second call has no effect
			})
		}
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
					set.Sweep(time.Now())
				}
			}
		}()
		wait.Wait()
		close(done)
		g.Expect(peak).To(gomega.BeNumerically("<=", 4))
		g.Expect(served).To(gomega.BeNumerically(">", 100))
		stats := gate.Stats()
		g.Expect(stats.InFlight).To(gomega.BeZero())
		g.Expect(stats.Queued).To(gomega.BeZero())
		g.Expect(stats.Peak).To(gomega.Equal(peak))
		g.Expect(stats.Counts.Served).To(gomega.Equal(uint64(served)))
	})
}

// TestQueuedRequestsOfAServiceAreLimited checks that the limit applies to the sum
// over all servers of a service.
func TestQueuedRequestsOfAServiceAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		set := limit.NewSet(3)
		ctx, cancel := context.WithCancel(context.Background())
		spec := limit.Spec{Limit: 1, MaxQueued: 3}
		refused := make(chan error, 10)
		for i := range 10 {
			server := []string{"s1", "s2"}[i%2]
			gate := set.Gate("logs", "s1", spec)
			if server == "s2" {
				gate = set.Gate("logs", "s2", spec)
			}
			go func() {
				_, err := gate.Acquire(ctx, limit.Entry{Caller: string(rune('a' + i)), Deadline: time.Now().Add(time.Hour)})
				refused <- err
			}()
			synctest.Wait()
		}
		g.Expect(refused).To(gomega.HaveLen(2 + 5))
		full := 0
		for range 7 {
			var refusal *limit.RefusedError
			if errors.As(<-refused, &refusal) {
				g.Expect(refusal.Reason).To(gomega.Equal(callerapi.ReasonQueueFull))
				g.Expect(refusal.RetryAfter).To(gomega.BeNumerically(">", 0))
				full++
			}
		}
		g.Expect(full).To(gomega.Equal(5))
		cancel()
		synctest.Wait()
		g.Expect(set.Gate("logs", "s1", spec).Queued() + set.Gate("logs", "s2", spec).Queued()).To(gomega.BeZero())
	})
}

func TestOneServiceCannotFillTheNode(t *testing.T) {
	g := gomega.NewWithT(t)
	node := limit.NewNode(100)
	held := 0
	for node.Acquire("greedy", 0) {
		held++
	}
	g.Expect(held).To(gomega.BeNumerically("<", 80), "one service cannot fill the node")
	g.Expect(node.Acquire("modest", 0)).To(gomega.BeTrue())
	for node.Acquire("third", 0) || node.Acquire("fourth", 0) || node.Acquire("fifth", 0) {
		held++
	}
	g.Expect(node.Acquire("modest", 1)).To(gomega.BeTrue(), "slots are reserved for requests of a backend server")
	before := node.InFlight()
	node.Release("modest")
	g.Expect(node.InFlight()).To(gomega.Equal(before - 1))
}

// BenchmarkSweepIdle measures the regular sweep of 1,000 idle queues.
func BenchmarkSweepIdle(b *testing.B) {
	set := limit.NewSet(100)
	for i := range 1000 {
		set.Gate("logs", topo.ServerID(fmt.Sprint(i)), limit.Spec{Limit: 4, MaxQueued: 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		set.Sweep(time.Now())
	}
}

// BenchmarkAcquire measures acquiring and releasing a slot without waiting.
func BenchmarkAcquire(b *testing.B) {
	gate := limit.NewSet(100).Gate("logs", "s1", limit.Spec{Limit: 4, MaxQueued: 100})
	b.ReportAllocs()
	for b.Loop() {
		permit, err := gate.Acquire(context.Background(), limit.Entry{Caller: "caller", Deadline: time.Now().Add(time.Second)})
		if err != nil {
			b.Fatal(err)
		}
		permit.Release(limit.Result{Served: true})
	}
}
