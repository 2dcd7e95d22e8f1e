package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// singleOwnerPool is a pool with the one owner of a key, which a node may send one request at a time.
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
		p.answer(usualServiceTime, site.Load{Running: 4, Slots: 4}) // at work, so that the limit stays at one
	}
	return p
}

// send asks for a place and reports whether there was one.
func (p *singleOwnerPool) send() bool {
	p.t.Helper()
	w := &Waiter{Since: p.now, Target: p.now.Add(time.Minute), Deadline: p.now.Add(time.Hour), Only: "owner"}
	admission, refusal := p.Ask(w, p.now)
	gomega.NewWithT(p.t).Expect(refusal).To(gomega.BeNil())
	if admission == nil {
		p.Leave(w)
	}
	return admission != nil
}

// answer ends the request that was sent a while ago.
func (p *singleOwnerPool) answer(after time.Duration, load site.Load) {
	p.now = p.now.Add(after)
	p.Done("owner", Outcome{Took: after, Load: &load}, p.now)
}

// Servers on a day of lost answers run what they get and tell free slots, while a third of
// the answers do not come: nodes refused requests for their keys for as long as the
// callers of the lost ones stayed.
func TestRequestWithLostResponseFreesItsSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newSingleOwnerPool(t)
	o.members["owner"].limit = 2
	g.Expect(o.send()).To(gomega.BeTrue(), "its answer will not come")
	o.now = o.now.Add(time.Millisecond)
	g.Expect(o.send()).To(gomega.BeTrue())
	o.answer(usualServiceTime, site.Load{Running: 1, Slots: 4})
	o.members["owner"].limit = 1
	g.Expect(o.send()).To(gomega.BeFalse(), "the first may still be at work")
	o.now = o.now.Add(3 * usualServiceTime)
	g.Expect(o.send()).To(gomega.BeTrue(), "a later one was answered, and nothing waits there")
	g.Expect(o.members["owner"].inFlight()).To(gomega.Equal(2), "the first goes on")
	g.Expect(o.send()).To(gomega.BeFalse(), "the limit holds for the others")
}

func TestSlotsStayTakenWithoutEvidenceOfLoss(t *testing.T) {
	long := 20 * usualServiceTime
	t.Run("nothing was answered since", func(t *testing.T) {
		g := gomega.NewWithT(t)
		o := newSingleOwnerPool(t)
		g.Expect(o.send()).To(gomega.BeTrue())
		o.now = o.now.Add(long)
		g.Expect(o.send()).To(gomega.BeFalse(), "it may stand still, and get all of them when it goes on")
	})
	t.Run("requests wait there", func(t *testing.T) {
		g := gomega.NewWithT(t)
		o := newSingleOwnerPool(t)
		o.members["owner"].limit = 2
		g.Expect(o.send()).To(gomega.BeTrue())
		o.now = o.now.Add(time.Millisecond)
		g.Expect(o.send()).To(gomega.BeTrue())
		o.answer(usualServiceTime, site.Load{Running: 4, Waiting: 3, Slots: 4})
		o.members["owner"].limit = 1
		o.now = o.now.Add(long)
		g.Expect(o.send()).To(gomega.BeFalse(), "it may be among those that wait")
	})
}

// The end of a request frees its own place, whichever was sent first.
func TestEndOfRequestRemovesTheMatchingSend(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(1000, 0)
	m := &member{}
	for i := range 3 {
		m.recordSend(start.Add(time.Duration(i) * time.Second))
	}
	m.recordEnd(time.Second, start.Add(2*time.Second+time.Millisecond)) // the second
	g.Expect(m.sentAt).To(gomega.Equal([]time.Time{start, start.Add(2 * time.Second)}))
	m.recordEnd(0, start.Add(3*time.Second)) // given up before it was sent
	g.Expect(m.sentAt).To(gomega.Equal([]time.Time{start}))
	m.recordEnd(time.Hour, start.Add(3*time.Second)) // times that do not fit
	m.recordEnd(time.Second, start.Add(3*time.Second))
	g.Expect(m.inFlight()).To(gomega.BeZero())
}
