package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var shareStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newSharedPool returns a pool of one server with a share that is valid for ten seconds.
func newSharedPool(share float64) *Pool {
	p := New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s", Slots: 4, Zone: "a"}}, 295, shareStart)
	p.SetShares(quota.Shares{"s": share}, shareStart.Add(10*time.Second))
	return p
}

// countAdmitted submits the given number of requests one after the other and returns how many
// were admitted, or -1 if one was refused for another reason than the share.
func countAdmitted(p *Pool, times int, target time.Duration, now time.Time) int {
	count := 0
	for range times {
		w := &Waiter{OnlyServer: "s", ArrivedAt: now, Target: now.Add(target), Deadline: now.Add(5 * time.Second)}
		admission, refusal := p.Submit(w, now)
		if admission == nil {
			if refusal.Reason != OverShare {
				return -1
			}
			continue
		}
		count++
		p.Done("s", Outcome{Took: 100 * time.Millisecond, Load: &site.Load{Running: 4, Waiting: 16, Slots: 4}}, now)
	}
	return count
}

func TestNodeSendsItsShareAndRefusesTheRest(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(countAdmitted(newSharedPool(0.25), 400, time.Second, shareStart)).To(gomega.BeNumerically("~", 100, 1), "whatever queue the server reports")
}

// Shares that are not renewed expire, because the node may not reach the lessor.
func TestSharesExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSharedPool(0.01)
	now := shareStart.Add(11 * time.Second)
	admission, _ := p.Submit(&Waiter{OnlyServer: "s", ArrivedAt: now, Target: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}, now)
	g.Expect(admission).NotTo(gomega.BeNil())
}

// Late requests take no slot from those that can be answered in time.
func TestRequestsWithinTargetTakePrecedence(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSharedPool(0.2)
	inTime, late := 0, 0
	for range 200 {
		inTime += countAdmitted(p, 1, time.Second, shareStart)
		late += countAdmitted(p, 1, 0, shareStart)
	}
	g.Expect(inTime).To(gomega.BeNumerically("~", 80, 2))
	g.Expect(late).To(gomega.BeNumerically("<", 3))
	g.Expect(countAdmitted(newSharedPool(0.2), 200, 0, shareStart)).To(gomega.BeNumerically(">", 30), "late requests alone use most of the share")
}

// Requests that are queued when a share arrives, because the node's own limit admitted none,
// are charged to the share like new ones. On 295 nodes such requests kept an owner's queue
// full for six seconds after the share arrived.
func TestWaitingRequestsCountAgainstNewShare(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSharedPool(1)
	p.SetShares(nil, shareStart)
	now := shareStart
	for range 20 { // the server is full, and the limit decreases
		w := &Waiter{OnlyServer: "s", ArrivedAt: now, Target: now.Add(time.Hour), Deadline: now.Add(time.Hour)}
		if admission, _ := p.Submit(w, now); admission != nil {
			p.Done("s", Outcome{NoCapacity: true}, now)
		}
	}
	g.Expect(p.queue).To(gomega.HaveLen(19))
	p.SetShares(quota.Shares{"s": 0.1}, now.Add(10*time.Second))
	g.Expect(p.Admit(now)).To(gomega.BeEmpty())
	g.Expect(p.Evict(now)).To(gomega.HaveLen(17), "all but two, a tenth of the waiting requests")
	g.Expect(p.Admit(now)).To(gomega.HaveLen(2))
}

// Guards against a third of the keys of a service, taken over cold from a lost zone, that takes the places of the warm ones: each
// request for them takes several times as long, and is late in any case.
func TestRequestsForWarmKeysTakePrecedence(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSharedPool(0.5)
	admitted := map[bool]int{}
	for i := range 600 {
		w := &Waiter{OnlyServer: "s", ArrivedAt: shareStart, Target: shareStart.Add(time.Second), Deadline: shareStart.Add(5 * time.Second), IsForColdKey: i%3 == 0}
		if admission, _ := p.Submit(w, shareStart); admission != nil {
			admitted[w.IsForColdKey]++
			p.Done("s", Outcome{Took: 100 * time.Millisecond, Load: &site.Load{Running: 4, Waiting: 16, Slots: 4}}, shareStart)
		}
	}
	g.Expect(admitted[false]).To(gomega.BeNumerically("~", 300, 2), "the share, of 400")
	g.Expect(admitted[true]).To(gomega.BeNumerically("<", 3))
}
