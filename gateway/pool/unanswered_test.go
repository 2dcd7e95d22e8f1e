package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// singleOwnerPool is a pool with only the owner of a key, with a limit of one request at a
// time.
type singleOwnerPool struct {
	*Pool
	t   *testing.T
	now time.Time
}

const usualServiceTime = 100 * time.Millisecond

func newSingleOwnerPool(t *testing.T) *singleOwnerPool {
	t.Helper()
	p := &singleOwnerPool{Pool: New("a", 0, rand.New(rand.NewPCG(1, 1))), t: t, now: time.Unix(1000, 0)}
	p.Update([]site.Server{{ID: "owner", Service: "s", Zone: "a", Slots: 4}}, 40, p.now)
	for range 10 {
		p.send()
		p.answer(usualServiceTime, site.Load{Running: 4, Slots: 4}) // all slots busy, so that the limit stays at one
	}
	return p
}

// send submits a request and reports whether it was admitted.
func (p *singleOwnerPool) send() bool {
	p.t.Helper()
	w := &Waiter{ArrivedAt: p.now, Target: p.now.Add(time.Minute), Deadline: p.now.Add(time.Hour), OnlyServer: "owner"}
	admission, refusal := p.Submit(w, p.now)
	gomega.NewWithT(p.t).Expect(refusal).To(gomega.BeNil())
	if admission == nil {
		p.Remove(w)
	}
	return admission != nil
}

// answer ends the request that was sent the given time ago.
func (p *singleOwnerPool) answer(after time.Duration, load site.Load) {
	p.now = p.now.Add(after)
	p.Done("owner", Outcome{Took: after, Load: &load}, p.now)
}

// Servers run their requests and report free slots, while a third of the responses are lost:
// nodes refused requests for the servers' keys until the callers of the lost responses left.
func TestRequestWithLostResponseFreesItsSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSingleOwnerPool(t)
	p.members["owner"].limit = 2
	g.Expect(p.send()).To(gomega.BeTrue(), "its response is lost")
	p.now = p.now.Add(time.Millisecond)
	g.Expect(p.send()).To(gomega.BeTrue())
	p.answer(usualServiceTime, site.Load{Running: 1, Slots: 4})
	p.members["owner"].limit = 1
	g.Expect(p.send()).To(gomega.BeFalse(), "the first request may still be running")
	p.now = p.now.Add(3 * usualServiceTime)
	g.Expect(p.send()).To(gomega.BeTrue(), "a later request was answered, and the server has no queue")
	g.Expect(p.members["owner"].inFlight()).To(gomega.Equal(2), "the first request continues")
	g.Expect(p.send()).To(gomega.BeFalse(), "the limit applies to the other requests")
}

func TestSlotsStayTakenWithoutEvidenceOfLoss(t *testing.T) {
	long := 20 * usualServiceTime
	t.Run("no response since", func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := newSingleOwnerPool(t)
		g.Expect(p.send()).To(gomega.BeTrue())
		p.now = p.now.Add(long)
		g.Expect(p.send()).To(gomega.BeFalse(), "the server may be stalled and would get all requests when it continues")
	})
	t.Run("requests wait at the server", func(t *testing.T) {
		g := gomega.NewWithT(t)
		p := newSingleOwnerPool(t)
		p.members["owner"].limit = 2
		g.Expect(p.send()).To(gomega.BeTrue())
		p.now = p.now.Add(time.Millisecond)
		g.Expect(p.send()).To(gomega.BeTrue())
		p.answer(usualServiceTime, site.Load{Running: 4, Waiting: 3, Slots: 4})
		p.members["owner"].limit = 1
		p.now = p.now.Add(long)
		g.Expect(p.send()).To(gomega.BeFalse(), "the request may be in the server's queue")
	})
}

// The end of a request frees its own slot, whichever was sent first.
func TestEndOfRequestRemovesTheMatchingSend(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1000, 0)
	m := &member{}
	for i := range 3 {
		m.recordSend(start.Add(time.Duration(i) * time.Second))
	}
	m.recordEnd(time.Second, start.Add(2*time.Second+time.Millisecond)) // the second
	g.Expect(m.sentAt).To(gomega.Equal([]time.Time{start, start.Add(2 * time.Second)}))
	m.recordEnd(0, start.Add(3*time.Second)) // abandoned before it was sent
	g.Expect(m.sentAt).To(gomega.Equal([]time.Time{start}))
	m.recordEnd(time.Hour, start.Add(3*time.Second)) // no send matches the duration
	m.recordEnd(time.Second, start.Add(3*time.Second))
	g.Expect(m.inFlight()).To(gomega.BeZero())
}
