package pool

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var guidedAt = time.Now()

// newGuidedPool returns a pool of three servers with guidance by which s0 takes twice as long and short requests have a
// work of 100 ms and long ones of 400 ms.
func newGuidedPool() *Pool {
	p := New("a", 0, rand.New(rand.NewPCG(1, 1)))
	p.Update([]site.Server{{ID: "s0", Zone: "a", Slots: 4}, {ID: "s1", Zone: "a", Slots: 4}, {ID: "s2", Zone: "a", Slots: 4}}, 1, guidedAt)
	p.SetGuidance("s", testGuidance(map[site.ServerID]float64{"s0": 2}), guidedAt)
	return p
}

func testGuidance(speeds map[site.ServerID]float64) guidance.Guidance {
	return guidance.Guidance{Mixed: []site.ServiceName{"s"}, Speeds: speeds, Work: map[string]float64{"short": 0.1, "long": 0.4}}
}

func waiterOf(route string) *Waiter {
	return &Waiter{Route: route, ArrivedAt: guidedAt, Target: guidedAt.Add(time.Minute), Deadline: guidedAt.Add(time.Minute)}
}

// answer records an answer of a server.
func (p *Pool) answer(id site.ServerID, route string, took time.Duration, load *site.Load, now time.Time) {
	p.members[id].recordSend(now.Add(-took))
	p.Done(id, Outcome{Route: route, Took: took, Load: load}, now)
}

// Guards against one mean time for routes of unlike work: a long request must not make its server look slow, and must not
// be treated as hanging after four times the time of a short one.
func TestTimesFollowTheWorkOfTheRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	m := p.members["s1"]
	p.answer("s1", "long", 400*time.Millisecond, &site.Load{Running: 1, Slots: 4}, guidedAt)
	g.Expect(p.timeFor(m, waiterOf("short"), guidedAt)).To(gomega.BeNumerically("~", 0.1, 0.001))
	g.Expect(p.timeFor(p.members["s0"], waiterOf("long"), guidedAt)).To(gomega.BeNumerically("~", 0.8, 0.001))
	p.admit(waiterOf("short"), m, guidedAt)
	p.admit(waiterOf("long"), m, guidedAt)
	g.Expect(p.isHanging(m, guidedAt.Add(1500*time.Millisecond))).To(gomega.BeFalse())
	g.Expect(p.isHanging(m, guidedAt.Add(1700*time.Millisecond))).To(gomega.BeTrue())
	g.Expect(p.MeanTimeOf("long", guidedAt)).To(gomega.BeNumerically(">", 2*p.MeanTimeOf("short", guidedAt)))
}

// Guards against a node that trusts one old answer, or does not trust many fresh ones.
func TestOwnAnswersCountByNumberAndAge(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	m := p.members["s1"]
	p.answer("s1", "short", 500*time.Millisecond, nil, guidedAt)
	g.Expect(m.relative(guidedAt.Add(10 * time.Second))).To(gomega.BeNumerically("~", 1, 0.05))
	for range 40 {
		p.answer("s1", "short", 500*time.Millisecond, &site.Load{Running: 1, Slots: 4}, guidedAt)
	}
	g.Expect(m.relative(guidedAt)).To(gomega.BeNumerically("~", 4.2, 0.3))
	g.Expect(m.relative(guidedAt.Add(20 * time.Second))).To(gomega.BeNumerically("~", 1, 0.2))
}

// Guards against a busy server that looks slow because its answers waited in its queue.
func TestOwnAnswersAreCorrectedByTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	p.usage.meanWork = 0.1
	for range 20 {
		p.answer("s1", "short", 300*time.Millisecond, &site.Load{Running: 4, Waiting: 8, Slots: 4}, guidedAt)
	}
	g.Expect(p.members["s1"].relative(guidedAt)).To(gomega.BeNumerically("~", 1, 0.05))
}

// Guards against choosing by mean speeds where the load of servers is checked before a request is sent: fewer requests of
// services without keys were answered in time.
func TestGuidedSpeedsAreNotUsedWhereLoadsAreChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	g.Expect(p.IsGuided(guidedAt)).To(gomega.BeTrue())
	p.RecordCheck("s2", &site.Load{Running: 1, Slots: 4, Slowdown: 3}, 0, false, guidedAt)
	g.Expect(p.IsGuided(guidedAt)).To(gomega.BeFalse())
}

// Guards against use of old guidance, of one without work (the lessor does not learn), and of one of a site that is not
// mixed: the pool must go by its own means then.
func TestExpiredOrMissingGuidanceIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	p.answer("s1", "long", 400*time.Millisecond, nil, guidedAt)
	expired := guidedAt.Add(guidance.Validity)
	g.Expect(p.IsGuided(expired.Add(-time.Millisecond))).To(gomega.BeTrue())
	g.Expect(p.work(waiterOf("short"), expired)).To(gomega.BeZero())
	g.Expect(p.serviceTime(p.members["s0"], expired)).To(gomega.Equal(0.4))
	g.Expect(p.MeanTimeOf("short", expired)).To(gomega.Equal(p.MeanServiceTime()))
	for _, unused := range []guidance.Guidance{{}, {Mixed: []site.ServiceName{"s"}}, {Work: map[string]float64{"short": 0.1}}} {
		p.SetGuidance("s", unused, guidedAt)
		g.Expect(p.IsGuided(guidedAt)).To(gomega.BeFalse(), "%v", unused)
	}
}

// Guards against a server or route that is new to the lessor and gets no requests or an absurd time.
func TestUnknownServersAreTypicalAndUnknownRoutesAreLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	p.Update([]site.Server{{ID: "s0", Zone: "a", Slots: 4}, {ID: "new", Zone: "a", Slots: 4}}, 1, guidedAt)
	g.Expect(p.members["new"].relative(guidedAt)).To(gomega.Equal(1.0))
	g.Expect(p.members["s0"].relative(guidedAt)).To(gomega.Equal(2.0))
	p.admit(waiterOf("long"), p.members["new"], guidedAt)
	g.Expect(p.work(waiterOf("unknown"), guidedAt)).To(gomega.Equal(0.4), "the mean work")
	p.answer("s0", "unknown", 600*time.Millisecond, &site.Load{Running: 1, Slots: 4}, guidedAt)
	g.Expect(p.work(waiterOf("unknown"), guidedAt)).To(gomega.BeNumerically("~", 0.3, 0.001))
}

// Guards against a mixture of the guidance of a former lessor with that of the next, which starts with what its own node
// has and may name fewer servers and routes.
func TestGuidanceOfTheNextLessorReplacesTheFormer(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newGuidedPool()
	w := waiterOf("long")
	g.Expect(p.work(w, guidedAt)).To(gomega.Equal(0.4))
	next := testGuidance(map[site.ServerID]float64{"s1": 0.5})
	next.Work["long"] = 0.5
	p.SetGuidance("s", next, guidedAt.Add(25*time.Second))
	now := guidedAt.Add(40 * time.Second)
	g.Expect(p.IsGuided(now)).To(gomega.BeTrue(), "30 s from the later receipt")
	g.Expect(p.work(w, now)).To(gomega.Equal(0.5), "of a request that waits since before")
	g.Expect(p.members["s0"].relative(now)).To(gomega.Equal(1.0))
	g.Expect(p.members["s1"].relative(now)).To(gomega.Equal(0.5))
}

// Guards against nodes that all send their requests to the servers that the guidance calls fast.
func TestSharesLeaveRoomAtFastServers(t *testing.T) {
	g := gomega.NewWithT(t)
	rates := []float64{1, 1, 4}
	share := func(rate, utilization float64) float64 {
		return max(0, (rate-spareFactor(rates, utilization)*math.Sqrt(rate))/(utilization*6))
	}
	g.Expect(share(4, 0.1)).To(gomega.BeNumerically("~", 1, 0.001), "an idle site uses the fast server alone")
	g.Expect(share(4, 0.8)).To(gomega.BeNumerically("~", 0.71, 0.02))
	g.Expect(share(1, 0.999)).To(gomega.BeNumerically("~", 1.0/6, 0.01), "a full site uses all in proportion")
	g.Expect(spareFactor(nil, 0.5)).To(gomega.BeZero())
	g.Expect(spareFactor([]float64{0, 0}, 0.5)).To(gomega.BeZero())
}
