package pool

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Guards against shares that exceed or miss the demand, and against slow servers that get requests while fast ones are idle.
func TestSharesOfServersMeetTheDemand(t *testing.T) {
	for name, c := range map[string]struct {
		rates       []float64
		utilization float64
		factor      float64
	}{
		"equal servers":              {[]float64{4, 4}, 0.5, 1},   // 2 each
		"both used":                  {[]float64{4, 1}, 0.7, 0.5}, // 3 and 0.5
		"slow one left out":          {[]float64{4, 1}, 0.4, 1},   // 2 and none
		"left out while not usable":  {[]float64{4, 0, 1}, 0.7, 0.5},
		"in proportion at full load": {[]float64{4, 1}, 1, 0},
		"no server":                  {nil, 0.9, 0},
		"no usable server":           {[]float64{0, 0}, 0.9, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			factor := spareFactor(c.rates, c.utilization)
			g.Expect(factor).To(gomega.BeNumerically("~", c.factor, 1e-9))
			sum, demand := 0.0, 0.0
			for _, rate := range c.rates {
				demand += c.utilization * rate
				sum += max(0, rate-factor*math.Sqrt(rate))
			}
			g.Expect(sum).To(gomega.BeNumerically("~", demand, 1e-9))
		})
	}
}

// Guards against servers that are drawn more or less often than by their weights, or without one.
func TestServersAreDrawnByWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	var l lottery
	a, none, b := &member{Server: site.Server{ID: "a"}}, &member{}, &member{Server: site.Server{ID: "b"}}
	g.Expect(l.total()).To(gomega.BeZero())
	l.add(a, 1)
	l.add(none, 0)
	l.add(none, -1)
	l.add(b, 3)
	g.Expect(l.total()).To(gomega.Equal(4.0))
	drawn := map[*member]int{}
	for i := range 1000 {
		drawn[l.draw(float64(i)/1000)]++
	}
	g.Expect(drawn).To(gomega.HaveLen(2))
	g.Expect(drawn[a]).To(gomega.BeNumerically("~", 250, 1))
	g.Expect(l.draw(1)).To(gomega.Equal(b), "a fraction that is rounded up")
}

// newSpreadPool returns a guided pool of two servers of the own zone, s0 half as fast as s1, and one of another.
func newSpreadPool() *Pool {
	p := newGuidedPool()
	p.Update([]site.Server{{ID: "s0", Zone: "a", Slots: 4}, {ID: "s1", Zone: "a", Slots: 4}, {ID: "s2", Zone: "b", Slots: 4}}, 1, guidedAt)
	p.SetGuidance("s", testGuidance(map[site.ServerID]float64{"s0": 2}), guidedAt)
	return p
}

// weights returns the weights of the servers of a lottery.
func (l *lottery) weights() map[site.ServerID]float64 {
	weights, before := map[site.ServerID]float64{}, 0.0
	for i, m := range l.members {
		weights[m.ID] = l.sums[i] - before
		before = l.sums[i]
	}
	return weights
}

// Guards against shares that do not follow speeds, utilization and lost servers, and against other zones that are mixed with the own one.
func TestSharesFollowSpeedAndUtilization(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSpreadPool()
	p.refreshSpread(guidedAt)
	factor := spareFactor([]float64{2, 4, 4}, initialUtilization)
	near, far := p.spread.near.weights(), p.spread.far.weights()
	g.Expect(near).To(gomega.HaveLen(2))
	g.Expect(near["s0"]).To(gomega.BeNumerically("~", 2-factor*math.Sqrt2, 1e-9))
	g.Expect(near["s1"]).To(gomega.BeNumerically("~", 4-factor*2, 1e-9))
	g.Expect(far).To(gomega.HaveLen(1))
	g.Expect(far["s2"]).To(gomega.BeNumerically("~", near["s1"], 1e-9))
	g.Expect(p.members["s1"].speed.usual).To(gomega.BeNumerically("~", 2/factor-1, 1e-9))
	for range 1000 {
		p.spread.noteUtilization(1, 4) // itself only
	}
	p.refreshSpread(guidedAt.Add(spreadInterval - time.Nanosecond))
	g.Expect(p.spread.near.weights()).To(gomega.Equal(near), "computed once in an interval")
	later := guidedAt.Add(spreadInterval)
	p.refreshSpread(later)
	g.Expect(p.spread.near.weights()).NotTo(gomega.HaveKey(site.ServerID("s0")), "idle servers: the slow one gets none")
	p.Done("s1", Outcome{Failed: true, NotReached: true}, later)
	g.Expect(p.members["s1"].blocked(later)).To(gomega.BeTrue())
	p.refreshSpread(later.Add(spreadInterval))
	g.Expect(p.spread.near.weights()).NotTo(gomega.HaveKey(site.ServerID("s1")))
}

// Guards against a utilization that one report changes, or that counts the request which reports it.
func TestUtilizationIsAMeanOfReports(t *testing.T) {
	g := gomega.NewWithT(t)
	var s spread
	g.Expect(s.load()).To(gomega.Equal(initialUtilization))
	s.noteUtilization(3, 4)
	g.Expect(s.load()).To(gomega.BeNumerically("~", initialUtilization-utilizationWeight*(initialUtilization-0.5), 1e-9))
	for range 1000 {
		s.noteUtilization(100, 4)
	}
	g.Expect(s.load()).To(gomega.BeNumerically("~", 1, 1e-6), "a queue is no more than all slots")
}

// Guards against requests to servers without capacity or that were tried, to other zones while the own one is fast, and to busy
// servers while one is idle for its share.
func TestDrawnServerIsTheLeastBusy(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newSpreadPool()
	pick := func(w *Waiter) site.ServerID {
		w.work, w.workSerial = p.workOf(w.Route), p.guided.serial
		if m := p.pickDrawn(w, guidedAt); m != nil {
			return m.ID
		}
		return ""
	}
	p.refreshSpread(guidedAt)
	p.members["s1"].otherRequests, p.members["s1"].reportAt = 30, guidedAt
	for range 20 {
		g.Expect(pick(waiterOf("short"))).To(gomega.Equal(site.ServerID("s0")), "s1 has a queue")
	}
	tried := waiterOf("short")
	tried.Tried = []site.ServerID{"s0", "s1"}
	g.Expect(pick(tried)).To(gomega.Equal(site.ServerID("s2")), "of another zone")
	tried.Tried = append(tried.Tried, "s2")
	g.Expect(pick(tried)).To(gomega.BeEmpty())
	hasty := waiterOf("short")
	hasty.Target = guidedAt.Add(100 * time.Millisecond)
	p.members["s0"].otherRequests, p.members["s0"].reportAt = 30, guidedAt
	g.Expect(pick(hasty)).To(gomega.Equal(site.ServerID("s2")), "the own zone would be late")
	g.Expect(p.pickDrawn(waiterOf("short"), guidedAt.Add(guidance.Validity))).To(gomega.BeNil(), "without guidance")
}
