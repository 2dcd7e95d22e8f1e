package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// newMixedPool returns a pool of one server with two slots, for a mixed service that admits shares.
func newMixedPool(admission guidance.Admission) *Pool {
	p := New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s", Slots: 2, Zone: "a"}}, 2, shareStart)
	p.SetGuidance("desk", guidance.Guidance{Mixed: []site.ServiceName{"desk"}, Admissions: map[site.ServiceName]guidance.Admission{"desk": admission}}, shareStart)
	return p
}

func classWaiter(priority int, now time.Time) *Waiter {
	return &Waiter{Priority: priority, ArrivedAt: now, Target: now.Add(2 * time.Second), Deadline: now.Add(5 * time.Second)}
}

// reportLoad has the server answer a request with a load.
func reportLoad(p *Pool, running, waiting int, now time.Time) {
	p.Submit(&Waiter{ArrivedAt: now, Target: now.Add(2 * time.Second), Deadline: now.Add(5 * time.Second)}, now)
	p.Done("s", Outcome{Took: 100 * time.Millisecond, Load: &site.Load{Running: running, Waiting: waiting, Slots: 2}}, now)
}

// Guards against refusals beyond the share, of other priorities, by expired guidance, or of a request that was charged
// before.
func TestNodeAdmitsTheShareOfEachPriority(t *testing.T) {
	g := gomega.NewWithT(t)
	refused := func(p *Pool, priority int, isCharged bool, now time.Time) int {
		count := 0
		for range 400 {
			w := classWaiter(priority, now)
			w.ChargedToAdmission = isCharged
			admission, refusal := p.Submit(w, now)
			switch {
			case admission != nil:
				p.Done("s", Outcome{Took: 10 * time.Millisecond}, now)
			case refusal != nil && refusal.Reason == BeyondAdmission:
				count++
			default:
				p.Remove(w)
			}
		}
		return count
	}
	p := newMixedPool(guidance.Admission{0: 1, 2: 0.25})
	g.Expect(refused(p, 2, false, shareStart)).To(gomega.BeNumerically("~", 300, 2))
	g.Expect(refused(p, 2, true, shareStart)).To(gomega.BeZero(), "charged before")
	g.Expect(refused(p, 0, false, shareStart)).To(gomega.BeZero())
	g.Expect(refused(p, 2, false, shareStart.Add(AdmissionValidity))).To(gomega.BeZero(), "the lessor is silent")
	other := newMixedPool(guidance.Admission{2: 0.25})
	other.SetGuidance("other", other.guided.Guidance, shareStart)
	g.Expect(refused(other, 2, false, shareStart)).To(gomega.BeZero(), "a service that is not mixed")
}

// Guards against less urgent requests in the queue of a server, and against urgent ones that wait behind them.
func TestLessUrgentRequestsWaitForAFreeSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newMixedPool(nil)
	now := shareStart
	reportLoad(p, 2, 3, now)
	patient := classWaiter(2, now)
	admission, refusal := p.Submit(patient, now)
	g.Expect(admission).To(gomega.BeNil())
	g.Expect(refusal).To(gomega.BeNil())
	admission, _ = p.Submit(classWaiter(0, now), now)
	g.Expect(admission).NotTo(gomega.BeNil(), "the urgent one overtakes")
	p.Done("s", Outcome{Took: 10 * time.Millisecond, Load: &site.Load{Running: 2, Waiting: 3, Slots: 2}}, now)
	var sent []Admission
	for len(sent) == 0 {
		at, found := p.NextAdmitTime(now)
		g.Expect(found).To(gomega.BeTrue())
		now, sent = at, p.Admit(at)
	}
	g.Expect(sent).To(gomega.ConsistOf(gomega.HaveField("Waiter", patient)))
	g.Expect(now.Sub(shareStart)).To(gomega.And(gomega.BeNumerically(">", reportHalfLife), gomega.BeNumerically("<", time.Second)), "once the report has lost its weight")
}

// Guards against less urgent requests that starve while others keep all servers busy: a quarter of them passes.
func TestAQuarterOfLessUrgentRequestsPasses(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newMixedPool(nil)
	now := shareStart
	for range 20 {
		reportLoad(p, 2, 1, now)
		p.Submit(classWaiter(2, now), now)
	}
	g.Expect(p.queue).To(gomega.HaveLen(20))
	now = now.Add(time.Second)
	passed := 0
	for range 20 {
		p.members["s"].otherRequests, p.members["s"].reportAt = 4, now
		for range p.Admit(now) {
			passed++
			p.members["s"].recordEnd(0, now)
		}
	}
	g.Expect(passed).To(gomega.BeNumerically("==", maxCredit))
}

// Guards against the refusal of the first less urgent request after a quiet time, whose wait is not known from the rate at
// which others were sent.
func TestFirstLessUrgentRequestAfterAQuietTimeMayWait(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newMixedPool(nil)
	p.urgency.passes.noteSent(shareStart.Add(-sentHalfLife * 20))
	reportLoad(p, 2, 3, shareStart)
	admission, refusal := p.Submit(classWaiter(2, shareStart), shareStart)
	g.Expect(admission).To(gomega.BeNil())
	g.Expect(refusal).To(gomega.BeNil())
}
