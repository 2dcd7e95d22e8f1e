package serverhttp

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func TestBudgetGrantsNoMoreThanItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBudget(func() {})
		b.setLimit(3)
		var mu sync.Mutex
		using, peak, served := 0, 0, 0
		var wait sync.WaitGroup
		for i := range 20 {
			wait.Go(func() {
				if !b.acquireSlot(t.Context()) {
					return
				}
				mu.Lock()
				using++
				served++
				peak = max(peak, using)
				mu.Unlock()
				time.Sleep(time.Duration(i%4+1) * time.Millisecond)
				mu.Lock()
				using--
				mu.Unlock()
				b.releaseSlot()
			})
		}
		wait.Wait()
		g.Expect(served).To(gomega.Equal(20))
		g.Expect(peak).To(gomega.Equal(3))
		limit, slots, open := b.read()
		g.Expect([]int{limit, slots, open}).To(gomega.Equal([]int{3, 0, 0}))
	})
}

func TestBudgetWaitsEndWithTheirContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBudget(func() {})
		b.setLimit(1)
		g.Expect(b.acquireSlot(t.Context())).To(gomega.BeTrue())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(b.acquireSlot(ctx)).To(gomega.BeFalse())
		_, slots, _ := b.read()
		g.Expect(slots).To(gomega.Equal(1))
	})
}

// TestConnectionIdledDuringWaitIsClosed: a connection that becomes idle only
// after the wait for its slot began must still be closed to make room.
func TestConnectionIdledDuringWaitIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var b *budget
		var idle atomic.Bool
		b = newBudget(func() {
			if idle.CompareAndSwap(true, false) {
				b.releaseConn()
			}
		})
		b.setLimit(1)
		g.Expect(b.acquireConn(t.Context())).To(gomega.BeTrue())
		time.AfterFunc(10*time.Millisecond, func() { idle.Store(true) })
		g.Expect(b.acquireConn(t.Context())).To(gomega.BeTrue())
		_, _, open := b.read()
		g.Expect(open).To(gomega.Equal(1))
	})
}

func TestLoweredShareClosesIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	asked := 0
	b := newBudget(func() { asked++ })
	b.setLimit(2)
	g.Expect(b.acquireConn(t.Context())).To(gomega.BeTrue())
	g.Expect(b.acquireConn(t.Context())).To(gomega.BeTrue())
	b.setLimit(2)
	g.Expect(asked).To(gomega.BeZero())
	b.setLimit(1)
	g.Expect(asked).To(gomega.Equal(1))
}
