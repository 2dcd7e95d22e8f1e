package limit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/limit"
)

// nested returns an entry that a service requests while it serves a request.
func nested(id uint64, caller string, in time.Duration) limit.Entry {
	e := entry(id, caller, in)
	e.Hop = 1
	return e
}

// finishInOrder finishes the requests in flight one after another and returns the
// order of the grants.
func finishInOrder(q *limit.Queue, running uint64, count int) []uint64 {
	var order []uint64
	now := epoch
	for range count {
		now = now.Add(10 * time.Millisecond)
		changes := q.Finish(now, running, limit.Result{Served: true})
		if len(changes.Granted) == 0 {
			return order
		}
		running = changes.Granted[0]
		order = append(order, running)
	}
	return order
}

func TestNestedRequestsGoFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 1, MaxQueued: 100})
	q.Offer(epoch, entry(1, "a", time.Hour), false)
	q.Offer(epoch, entry(2, "a", time.Minute), false)
	q.Offer(epoch, entry(3, "b", time.Minute), false)
	q.Offer(epoch, nested(4, "a", time.Hour), false)
	q.Offer(epoch, nested(5, "server", time.Hour), false)
	order := finishInOrder(q, 1, 10)
	g.Expect(order).To(gomega.HaveLen(4))
	g.Expect(order[:2]).To(gomega.ConsistOf(uint64(4), uint64(5)))
}

func TestNestedRequestsDoNotStarveCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 1, MaxQueued: 1000})
	q.Offer(epoch, entry(1, "a", time.Hour), false)
	for id := uint64(100); id < 200; id++ {
		q.Offer(epoch, nested(id, "server", time.Hour), false)
		q.Offer(epoch, entry(id+100, "a", time.Hour), false)
	}
	own := 0
	for _, id := range finishInOrder(q, 1, 80) {
		if id >= 200 {
			own++
		}
	}
	g.Expect(own).To(gomega.Equal(20))
}

func TestForecastCountsNestedRequestsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 1, MaxQueued: 1000})
	q.Offer(epoch, entry(1, "a", time.Hour), false)
	for id := uint64(2); id < 52; id++ {
		q.Offer(epoch, entry(id, "a", time.Hour), false)
	}
	soon := 200 * time.Millisecond
	g.Expect(q.Offer(epoch, entry(100, "b", soon), false).Refused).To(gomega.BeEmpty(), "it is the first entry of its share")
	g.Expect(q.Offer(epoch, nested(101, "server", soon), false).Refused).To(gomega.BeEmpty())
	for id := uint64(200); id < 250; id++ {
		q.Offer(epoch, nested(id, "server", time.Hour), false)
	}
	g.Expect(q.Offer(epoch, nested(102, "other", soon), false).Refused).To(gomega.BeEmpty(), "nested entries have shares of their own")
	late := q.Offer(epoch, entry(103, "a", 60*time.Millisecond), false)
	g.Expect(late.Refused).To(gomega.HaveLen(1))
}

func TestNestedRequestsCanBeCanceled(t *testing.T) {
	g := gomega.NewWithT(t)
	q := warmQueue(limit.Spec{Limit: 1, MaxQueued: 100})
	q.Offer(epoch, entry(1, "a", time.Hour), false)
	waiting := nested(2, "a", time.Hour)
	q.Offer(epoch, waiting, false)
	g.Expect(q.Cancel(waiting)).To(gomega.BeTrue())
	g.Expect(q.Queued()).To(gomega.BeZero())
	g.Expect(finishInOrder(q, 1, 1)).To(gomega.BeEmpty())
}
