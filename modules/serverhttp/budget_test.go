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

func TestBudgetGivesOutNoMoreThanItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBudget(func() {})
		b.setLimit(3)
		var mu sync.Mutex
		using, peak, served := 0, 0, 0
		var wait sync.WaitGroup
		for i := range 20 {
			wait.Go(func() {
				if !b.takePlace(t.Context()) {
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
				b.givePlace()
			})
		}
		wait.Wait()
		g.Expect(served).To(gomega.Equal(20))
		g.Expect(peak).To(gomega.Equal(3))
		limit, places, open := b.read()
		g.Expect([]int{limit, places, open}).To(gomega.Equal([]int{3, 0, 0}))
	})
}

func TestBudgetWaitsEndWithTheirContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBudget(func() {})
		b.setLimit(1)
		g.Expect(b.takePlace(t.Context())).To(gomega.BeTrue())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(b.takePlace(ctx)).To(gomega.BeFalse())
		_, places, _ := b.read()
		g.Expect(places).To(gomega.Equal(1))
	})
}

// TestIdleConnectionsMakeWay: a connection becomes idle only some time after
// the wait for its place began, and must be found all the same.
func TestIdleConnectionsMakeWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var b *budget
		var idle atomic.Bool
		b = newBudget(func() {
			if idle.CompareAndSwap(true, false) {
				b.closedConn()
			}
		})
		b.setLimit(1)
		g.Expect(b.openConn(t.Context())).To(gomega.BeTrue())
		time.AfterFunc(10*time.Millisecond, func() { idle.Store(true) })
		g.Expect(b.openConn(t.Context())).To(gomega.BeTrue())
		_, _, open := b.read()
		g.Expect(open).To(gomega.Equal(1))
	})
}

func TestLoweredShareClosesIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	asked := 0
	b := newBudget(func() { asked++ })
	b.setLimit(2)
	g.Expect(b.openConn(t.Context())).To(gomega.BeTrue())
	g.Expect(b.openConn(t.Context())).To(gomega.BeTrue())
	b.setLimit(2)
	g.Expect(asked).To(gomega.BeZero())
	b.setLimit(1)
	g.Expect(asked).To(gomega.Equal(1))
}
