package ceiling_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/ceiling"
	"github.com/burdockspindle/burdockspindle/jsonc"
)

// route returns a route of service "s" that is of no value after 200 ms, one time step.
func route(name string, rate, value float64) ceiling.Route {
	return ceiling.Route{Name: name, Service: "s", Rate: rate, Work: 0.1, Objective: 0.2, Deadline: 0.2, Value: value}
}

// siteOf returns a site of servers with one slot.
func siteOf(seconds int, groups []ceiling.Group, routes ...ceiling.Route) *ceiling.Site {
	return &ceiling.Site{
		Name: "test", Seconds: seconds, Routes: routes,
		Services: []ceiling.Service{{Name: "s", Slots: 1, Groups: groups}},
		Demand:   ceiling.Demand{Scale: 1, Zones: []ceiling.ZoneDemand{{Zone: "a", Share: 0.5}, {Zone: "b", Share: 0.5}}},
	}
}

func servers(count int, speed float64, present ...ceiling.Span) ceiling.Group {
	return ceiling.Group{Count: count, Speed: speed, NoiseFactor: 1, Present: present}
}

// Guards against a bound that differs from what can be calculated by hand. The step after the last second may be used as well,
// since requests of the last step can wait for it.
func TestBoundsOfKnownAnswer(t *testing.T) {
	noisy := servers(1, 1)
	noisy.NoiseFactor, noisy.NoiseShare = 3, 0.2
	slowed := servers(1, 1)
	slowed.Slow = []ceiling.Phase{{Span: ceiling.Span{From: 2, Until: 1000}, Factor: 4}}
	gone := []ceiling.Group{servers(2, 1), servers(1, 1, ceiling.Span{Until: 10}, ceiling.Span{From: 15, Until: 1000})}
	long := route("b", 10, 1.5)
	long.Work = 0.2
	for name, c := range map[string]struct {
		site  *ceiling.Site
		bound float64
		cause [3]float64 // missing servers, slow servers, demand
	}{
		"enough":              {siteOf(10, []ceiling.Group{servers(1, 1)}, route("a", 9, 1)), 1, [3]float64{}},
		"twice the demand":    {siteOf(10, []ceiling.Group{servers(1, 1)}, route("a", 20, 1)), 10.2 / 20, [3]float64{0, 0, 1}},
		"half the speed":      {siteOf(10, []ceiling.Group{servers(1, 0.5)}, route("a", 9, 1)), 5.1 / 9, [3]float64{0, 1, 0}},
		"noise":               {siteOf(10, []ceiling.Group{noisy}, route("a", 10, 1)), 10.2 * (0.8 + 0.2/3) / 10, [3]float64{0, 1, 0}},
		"slow from 2 s on":    {siteOf(10, []ceiling.Group{slowed}, route("a", 10, 1)), (2 + 8.2/4) / 10, [3]float64{0, 1, 0}},
		"the more valuable":   {siteOf(10, []ceiling.Group{servers(1, 1)}, route("a", 10, 1), route("b", 5, 2)), (10.2 - 5 + 10) / 20, [3]float64{0, 0, 1}},
		"more value per work": {siteOf(10, []ceiling.Group{servers(1, 1)}, route("a", 10, 1), long), (100 + 1.5) / 250, [3]float64{0, 0, 1}},
		"fast and slow":       {siteOf(10, []ceiling.Group{servers(1, 2), servers(1, 0.5)}, route("a", 30, 1)), 10.2 * 2.5 / 30, [3]float64{0, 1, 0}},
		// 0.4 slots are short for 5 s; work of the last step, 0.48 slot seconds, is run later.
		"a third gone": {siteOf(20, gone, route("a", 24, 1)), 1 - (0.4*5-0.48)/48, [3]float64{1, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			result := ceiling.Compute(c.site)
			g.Expect(result.Bound).To(gomega.BeNumerically("~", c.bound, 1e-4))
			g.Expect(result.Estimate).To(gomega.BeNumerically("<", result.Bound))
			if c.bound == 1 {
				g.Expect(result.Bottlenecks).To(gomega.BeEmpty())
				g.Expect(result.Worst).To(gomega.BeEmpty())
				return
			}
			b := result.Bottlenecks[0]
			g.Expect(b.Loss).To(gomega.BeNumerically("~", 1-c.bound, 1e-4))
			for i, share := range []float64{b.Missing, b.Slow, b.Demand} {
				g.Expect(share).To(gomega.BeNumerically("~", c.cause[i], 1e-3), "%+v", b)
			}
		})
	}
}

// Guards against a loss that is attributed to seconds in which all servers are present.
func TestLossIsWhereServersAreGone(t *testing.T) {
	g := gomega.NewWithT(t)
	groups := []ceiling.Group{servers(2, 1), servers(1, 1, ceiling.Span{Until: 10}, ceiling.Span{From: 15, Until: 1000})}
	result := ceiling.Compute(siteOf(20, groups, route("a", 24, 1)))
	for _, span := range result.Bottlenecks[0].Spans {
		g.Expect(span.From).To(gomega.BeNumerically(">=", 10))
		g.Expect(span.To).To(gomega.BeNumerically("<", 15))
	}
	seconds := result.Services[0].Seconds
	g.Expect(seconds[9].Capacity).To(gomega.BeNumerically("~", 3, 1e-9))
	g.Expect(seconds[10].Capacity).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(seconds[9].Requested).To(gomega.BeNumerically("~", 2.4, 1e-9))
	g.Expect(seconds[14].Backlog).To(gomega.BeNumerically("~", 0.48, 1e-3))
}

// Guards against backlog that is dropped although its deadline allows to run it: 1 s of demand is served late in the second after it.
func TestBacklogIsCarriedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	r := route("a", 10, 1)
	r.Deadline, r.ValueLate = 5, 0.5
	site := siteOf(4, []ceiling.Group{servers(1, 1, ceiling.Span{From: 1, Until: 1000})}, r)
	site.Demand.Zones = []ceiling.ZoneDemand{{Zone: "a", Share: 1, Steps: []ceiling.Phase{{Span: ceiling.Span{From: 1, Until: 1000}}}}}
	result := ceiling.Compute(site)
	first := result.Services[0].Seconds[0]
	g.Expect(first.Backlog).To(gomega.BeNumerically("~", 1, 1e-3))
	// The last step waits for one step.
	g.Expect(first.Routes[0].Bound.InTime).To(gomega.BeNumerically("~", 0.2, 1e-3))
	g.Expect(first.Routes[0].Bound.Late).To(gomega.BeNumerically("~", 0.8, 1e-3))
	g.Expect(result.Services[0].Seconds[1].Run).To(gomega.BeNumerically("~", 1, 1e-3))
}

// Guards against an estimate that ignores that each server of a keyed service has a queue of its own.
func TestKeyedServicesAreEstimatedLower(t *testing.T) {
	g := gomega.NewWithT(t)
	site := siteOf(5, []ceiling.Group{servers(20, 1)}, route("a", 140, 1))
	pooled := ceiling.Compute(site)
	site.Services[0].Keyed = true
	keyed := ceiling.Compute(site)
	g.Expect(keyed.Bound).To(gomega.Equal(pooled.Bound))
	// M/M/1 at 0.7: the response time is exponential with a mean of 0.1 s / 0.3.
	g.Expect(keyed.Estimate).To(gomega.BeNumerically("~", 0.4512, 1e-4))
	g.Expect(pooled.Estimate).To(gomega.BeNumerically(">", 0.8))
}

// Guards against steps of one zone that count for callers of all zones.
func TestStepsOfAZoneRaiseItsDemandOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	site := siteOf(4, []ceiling.Group{servers(1, 1)}, route("a", 10, 1))
	site.Demand.Zones[1].Steps = []ceiling.Phase{{Span: ceiling.Span{From: 2, Until: 4}, Factor: 3}}
	result := ceiling.Compute(site)
	g.Expect(result.Zones[0].Name).To(gomega.Equal("b"))
	g.Expect(result.Zones[0].Offered).To(gomega.BeNumerically("~", 40, 1e-6))
	g.Expect(result.Zones[1].Offered).To(gomega.BeNumerically("~", 20, 1e-6))
	g.Expect(result.Zones[0].Bound).To(gomega.BeNumerically("<", result.Zones[1].Bound))
}

// Guards against errors in the formula that shift every estimate; values from tables of M/M/c.
func TestErlangC(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		slots      int
		load, want float64
	}{{1, 0.5, 0.5}, {2, 1, 1.0 / 3}, {5, 4, 0.5541}, {10, 8, 0.4092}, {3, 3, 1}, {4, 0, 0}} {
		g.Expect(ceiling.ErlangC(c.slots, c.load)).To(gomega.BeNumerically("~", c.want, 1e-4), "%+v", c)
	}
}

const valid = `{"name": "n", "period": "2s",
"services": {"s": {"slots": 1, "servers": [{"count": 1}]}},
"routes": {"r": {"service": "s", "rate": 1, "work": "100ms", "objective": "1s", "deadline": "2s", "value": 1}},
"demand": {"zones": {"a": {"share": 1}}}}`

// Guards against input that is taken for something else than its author meant.
func TestInvalidInputIsReportedWithItsPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := ceiling.Parse([]byte(valid), "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, c := range [][3]string{
		{`"2s",`, `"2500ms",`, "f:1: period: must be whole seconds"},
		{`"count": 1`, `"count": 0`, "f:2: services.s.servers[0].count: must be between 1"},
		{`"slots": 1, "servers": [{"count": 1}]`, `"slots": 10000, "servers": [{"count": 1000}, {"count": 1}]`, "f:2: services.s.servers: must have at most 10000000 slots in all, not 10010000"},
		{`"count": 1`, `"count": 1, "sped": 1`, "f:2: services.s.servers[0].sped: unknown field"},
		{`"count": 1`, `"count": 1, "present": [{"from": "2s", "until": "1s"}]`, "f:2: services.s.servers[0].present[0].until: must be after from"},
		{`"service": "s"`, `"service": "t"`, "f:3: routes.r.service: no service has this name"},
		{`"deadline": "2s"`, `"deadline": "500ms"`, "f:3: routes.r.deadline: must not be below the objective"},
		{`"value": 1`, `"value": 1, "valueLate": 2`, "f:3: routes.r.valueLate: must not be above"},
		{`"share": 1`, `"share": 0.5`, "f:4: demand.zones: the shares of the zones must add up to 1"},
	} {
		_, err := ceiling.Parse([]byte(strings.Replace(valid, c[0], c[1], 1)), "f")
		var problem *jsonc.Problem
		g.Expect(errors.As(err, &problem)).To(gomega.BeTrue(), fmt.Sprint(c))
		g.Expect(problem.Error()).To(gomega.HavePrefix(c[2]))
	}
}

// Guards against requests that the rounding of work loses: few and short ones are all answered.
func TestRareAndShortRequestsAreNotLost(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, rate := range []float64{1e-6, 0.002, 0.013, 1.001} {
		r := route("a", rate, 1)
		r.Work = 0.001
		result := ceiling.Compute(siteOf(2, []ceiling.Group{servers(1, 1)}, r))
		g.Expect(result.Bound).To(gomega.BeNumerically("~", 1, 1e-9), "rate %v", rate)
		g.Expect(result.Bottlenecks).To(gomega.BeEmpty(), "rate %v", rate)
	}
}

// Guards against results that depend on the unit of values, and against work of less value that runs earlier since it may wait longer.
func TestUnitOfValuesDoesNotMatter(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, unit := range []float64{1e-9, 1e-6, 1, 900} {
		patient, other := route("a", 10, unit), route("b", 10, 1.01*unit)
		patient.Objective, patient.Deadline = 60, 60
		result := ceiling.Compute(siteOf(4, []ceiling.Group{servers(1, 1, ceiling.Span{Until: 4})}, patient, other))
		g.Expect(result.Bound).To(gomega.BeNumerically("~", 1.01/2.01, 1e-4), "unit %v", unit)
	}
}

// Guards against a demand so large that its work is no whole number of 64 bits.
func TestGreatestDemandIsServedAsFarAsPossible(t *testing.T) {
	g := gomega.NewWithT(t)
	r := route("a", 1e6, 1)
	r.Work = 60
	site := siteOf(2, []ceiling.Group{servers(1, 1)}, r)
	site.Demand.Scale = 1000
	for i := range site.Demand.Zones {
		site.Demand.Zones[i].Steps = []ceiling.Phase{{Span: ceiling.Span{Until: 1000}, Factor: 1000}}
	}
	g.Expect(ceiling.Compute(site).Services[0].Seconds[0].Run).To(gomega.BeNumerically("~", 1, 1e-6))
}

// Guards against requests that are reported as lost where there are none.
func TestRouteWithoutRequestsLosesNone(t *testing.T) {
	g := gomega.NewWithT(t)
	result := ceiling.Compute(siteOf(2, []ceiling.Group{servers(1, 1)}, route("a", 0, 1), route("b", 1, 1)))
	idle := result.Services[0].Seconds[0].Routes[0]
	g.Expect(idle.Bound).To(gomega.Equal(ceiling.Shares{}))
	g.Expect(idle.Estimate).To(gomega.Equal(ceiling.Shares{}))
}

// Guards against servers that count twice where their times overlap, and against slow phases that replace each other.
func TestOverlappingTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	twice := servers(8, 1, ceiling.Span{Until: 2}, ceiling.Span{From: 1, Until: 3})
	twice.Slow = []ceiling.Phase{{Span: ceiling.Span{Until: 1.5}, Factor: 2}, {Span: ceiling.Span{From: 1, Until: 2}, Factor: 4}}
	result := ceiling.Compute(siteOf(4, []ceiling.Group{twice}, route("a", 1, 1)))
	for second, want := range []float64{4, 8 * (0.5/8 + 0.5/4), 8, 0} {
		g.Expect(result.Services[0].Seconds[second].Capacity).To(gomega.BeNumerically("~", want, 1e-9), "second %d", second)
	}
}

// Guards against service times that grow since a server is present for a part of the second only: for three of five steps it is
// M/M/1 at a load of 0.42.
func TestServerThatIsPresentForAPartOfASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, isKeyed := range []bool{true, false} {
		site := siteOf(1, []ceiling.Group{servers(1, 1, ceiling.Span{Until: 0.6})}, route("a", 4.2, 1))
		site.Services[0].Keyed = isKeyed
		share := ceiling.Compute(site).Services[0].Seconds[0].Routes[0].Estimate.InTime
		g.Expect(share).To(gomega.BeNumerically("~", 0.6*(1-math.Exp(-5.8*0.2)), 1e-4), "keyed: %v", isKeyed)
	}
}

// Guards against bottlenecks that hide behind smaller ones, seconds without loss between two that are named, and a site that differs
// after the computation.
func TestBottlenecksAreOrderedWithTheirSeconds(t *testing.T) {
	g := gomega.NewWithT(t)
	gone := servers(1, 2, ceiling.Span{Until: 1}, ceiling.Span{From: 2, Until: 3}, ceiling.Span{From: 4, Until: 1000})
	large := route("b", 30, 1)
	large.Service = "t"
	site := siteOf(10, []ceiling.Group{gone}, route("a", 5, 1), large)
	site.Services = append(site.Services, ceiling.Service{Name: "t", Slots: 1, Groups: []ceiling.Group{servers(1, 1)}})
	result := ceiling.Compute(site)
	g.Expect(result.Bottlenecks).To(gomega.HaveLen(2))
	g.Expect(result.Bottlenecks[0].Service).To(gomega.Equal("t"))
	g.Expect(result.Bottlenecks[1].Spans).To(gomega.Equal([]ceiling.Range{{From: 1, To: 1}, {From: 3, To: 3}}))
	g.Expect(result.Bottlenecks[1].Missing).To(gomega.BeNumerically("~", 1, 1e-3))
	g.Expect(result.Worst).To(gomega.HaveLen(5))
	g.Expect(ceiling.Compute(site)).To(gomega.Equal(result))
}

// Guards against phases that are read with other times than the file states.
func TestPhasesKeepTheirTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	text := strings.Replace(valid, `"count": 1`, `"count": 1, "slow": [{"from": "500ms", "until": "1500ms", "factor": 3}]`, 1)
	site, err := ceiling.Parse([]byte(text), "f")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(site.Services[0].Groups[0].Slow).To(gomega.Equal([]ceiling.Phase{{Span: ceiling.Span{From: 0.5, Until: 1.5}, Factor: 3}}))
}
