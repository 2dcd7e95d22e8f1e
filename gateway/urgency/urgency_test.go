package urgency

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixed are estimates of a service whose requests of all priorities take 100 ms.
type fixed struct {
	slots     float64
	isUnknown bool
}

func (f fixed) Work(site.ServiceName, int) (float64, bool) { return 0.1, !f.isUnknown }
func (f fixed) Capacity(site.ServiceName) (float64, bool)  { return f.slots, f.slots > 0 }
func asked(first0, first2, returned2 float64) []Demand {
	return []Demand{{Priority: 0, First: first0}, {Priority: 2, First: first2, Returned: returned2}}
}

var (
	busy = Load{Queued: 0.4, Busy: 0.95, IsKnown: true}
	idle = Load{Queued: 0.01, Busy: 0.5, IsKnown: true}
)

// settle updates a service for some rounds and returns the last decision.
func settle(c *Controller, rounds int, demands []Demand, load Load, estimates Estimates) Decision {
	var decision Decision
	for i := range rounds {
		decision = c.Update("s", demands, load, estimates, start.Add(time.Duration(i+1)*UpdateInterval))
	}
	return decision
}

// Guards against shares that refuse urgent requests first, starve the less urgent, or exceed the capacity where it suffices
// for more than the least shares.
func TestTheMostUrgentAreAdmittedFirst(t *testing.T) {
	for _, row := range []struct {
		name                    string
		first0, first2, slots   float64
		wantUrgent, wantPatient float64
	}{
		{"capacity for all", 300, 300, 100, 1, 1},
		{"the less urgent get what is left", 300, 900, 100, 1, 60.0 / 90},
		{"a quarter at least", 800, 900, 100, 67.5 / 80, 0.25},
		{"quarters above the capacity", 4000, 4000, 100, 0.25, 0.25},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			decision := settle(New(nil, time.Time{}), 20, asked(row.first0, row.first2, 0), busy, fixed{slots: row.slots})
			if row.wantPatient == 1 {
				g.Expect(decision.Admission).To(gomega.BeEmpty())
				return
			}
			g.Expect(decision.Admission[0]).To(gomega.BeNumerically("~", row.wantUrgent, 0.01))
			g.Expect(decision.Admission[2]).To(gomega.BeNumerically("~", row.wantPatient, 0.01))
		})
	}
}

// Guards against refusals because of wrong estimates, of work or capacity, while servers have free slots, and without any
// estimate.
func TestNothingIsRefusedWithoutMeasuredOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	overload := asked(300, 3000, 0)
	g.Expect(settle(New(nil, time.Time{}), 20, overload, idle, fixed{slots: 100}).Admission).To(gomega.BeEmpty())
	g.Expect(settle(New(nil, time.Time{}), 20, overload, busy, fixed{}).Admission).To(gomega.BeEmpty(), "capacity unknown")
	g.Expect(settle(New(nil, time.Time{}), 20, overload, busy, fixed{slots: 100, isUnknown: true}).Admission).To(gomega.BeEmpty(), "work unknown")
	g.Expect(settle(New(nil, time.Time{}), 20, overload, Load{}, fixed{slots: 100}).Admission).To(gomega.BeEmpty(), "no reports")
}

// Guards against a share that stays low when servers are idle, one that does not follow a surge, and one that jumps back.
func TestSharesFallFastAndRiseSlowly(t *testing.T) {
	g := gomega.NewWithT(t)
	c := New(nil, time.Time{})
	g.Expect(settle(c, 3, asked(300, 2000, 0), busy, fixed{slots: 100}).Admission[2]).To(gomega.BeNumerically("<", 0.4), "1.5 s after the surge")
	settle(c, 10, asked(300, 2000, 0), busy, fixed{slots: 100})
	before := c.services["s"].shares[2]
	g.Expect(settle(c, 2, asked(300, 300, 0), busy, fixed{slots: 100}).Admission[2]).To(gomega.BeNumerically("~", before+2*maxRise, 0.001))
	g.Expect(settle(c, 4, asked(300, 300, 0), idle, fixed{slots: 100}).Admission).To(gomega.BeEmpty())
}

// returning updates a service whose refused requests return twice, and returns the last share and all requests a second.
func returning(c *Controller, rounds int, first float64) (share, all float64) {
	share = 1
	for range rounds {
		refused := 1 - share
		again := first * (refused + refused*refused)
		decision := settle(c, 1, asked(300, first, again), busy, fixed{slots: 100})
		share, all = 1, first+again
		if len(decision.Admission) > 0 {
			share = decision.Admission[2]
		}
	}
	return share, all
}

// Guards against requests that are refused, return and are admitted beyond the capacity, and against those that raise the
// demand and keep the share low after the surge.
func TestReturningRequestsCountAsFarAsTheyAreAdmitted(t *testing.T) {
	g := gomega.NewWithT(t)
	c := New(nil, time.Time{})
	share, all := returning(c, 100, 900)
	g.Expect(share*all).To(gomega.BeNumerically("~", 600, 30), "the less urgent have 60 slots for 100 ms each")
	share, _ = returning(c, 20, 580)
	g.Expect(share).To(gomega.Equal(1.0), "88 of 90 slots are wanted")
}

// Guards against a capacity that is calculated too high or whose servers have long queues: the correction lowers it, but
// refuses none of the most urgent.
func TestLongQueuesLowerTheCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	full := Load{Queued: 3, Busy: 1, IsKnown: true}
	decision := settle(New(nil, time.Time{}), 20, asked(300, 500, 0), full, fixed{slots: 100})
	g.Expect(decision.Admission[2]).To(gomega.BeNumerically("<", 0.5))
	g.Expect(decision.Admission[0]).To(gomega.Equal(1.0))
}

// Guards against a surge after the change of the lessor: it goes on with the shares that its node had, as long as nodes
// would.
func TestANewLessorGoesOnWithTheShares(t *testing.T) {
	g := gomega.NewWithT(t)
	c := New(map[site.ServiceName]guidance.Admission{"s": {0: 1, 2: 0.4}}, start)
	g.Expect(c.Update("s", nil, Load{}, fixed{}, start.Add(seedValidity-1)).Admission[2]).To(gomega.Equal(0.4))
	g.Expect(c.Update("s", nil, Load{}, fixed{}, start.Add(seedValidity)).Admission).To(gomega.BeEmpty())
}

// reportRound reports half a second of answers, of 100 ms each, by the servers of some zones.
func reportRound(m *Meter, servers []site.Server, zones string, now time.Time) {
	for i := range 5 {
		at := now.Add(time.Duration(i-4) * 100 * time.Millisecond)
		for _, server := range servers {
			if server.Zone == zones || zones == "" {
				m.Answer("s", server.ID, 2, Answers{Count: 2, Total: 200 * time.Millisecond, WithLoad: 2, WasServed: true}, at)
			}
		}
		m.Count("s", 2, 100, 20, at)
	}
}

func twoZones() []site.Server {
	var servers []site.Server
	for i := range 20 {
		servers = append(servers, site.Server{ID: site.ServerID(fmt.Sprintf("s%d", i)), Zone: string("ab"[i%2]), Slots: 3})
	}
	return servers
}

// Guards against a capacity that counts a lost zone for longer than two seconds, and against one that is lost because all
// reports are late.
func TestALostZoneIsNotPartOfTheCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	m, servers, now := NewMeter(), twoZones(), start
	m.Usable("s", servers, now)
	for range 10 {
		now = now.Add(UpdateInterval)
		reportRound(m, servers, "", now)
	}
	g.Expect(m.Usable("s", servers, now.Add(2*time.Second))).To(gomega.Equal(20), "no report at all")
	for range 3 {
		now = now.Add(UpdateInterval)
		reportRound(m, servers, "a", now)
	}
	g.Expect(m.Usable("s", servers, now)).To(gomega.Equal(10))
	slots, known := m.Capacity("s")
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(slots).To(gomega.Equal(30.0))
	servers[0].Draining = true
	g.Expect(m.Usable("s", servers, now)).To(gomega.Equal(9), "one leaves")
}

// Guards against a wrong scale of what is measured: rates, work without the wait, and busy slots.
func TestMeterMeasuresRatesAndWork(t *testing.T) {
	g := gomega.NewWithT(t)
	m, servers, now := NewMeter(), twoZones()[:1], start
	m.Usable("s", servers, now)
	for range 100 { // 10 answers a second of 0.3 s, 0.1 s of which waiting
		now = now.Add(100 * time.Millisecond)
		m.Answer("s", "s0", 2, Answers{Count: 1, Total: 300 * time.Millisecond, WithLoad: 1, Queued: 1, WasServed: true}, now)
		m.Count("s", 2, 10, 4, now)
	}
	m.Usable("s", servers, now)
	work, known := m.Work("s", 2)
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(work).To(gomega.BeNumerically("~", 0.2, 0.02))
	g.Expect(m.Load("s", now)).To(gomega.And(gomega.HaveField("Busy", gomega.BeNumerically("~", 2.0/3, 0.07)), gomega.HaveField("Queued", gomega.BeNumerically("~", 1.0/3, 0.01))))
	demands := m.Demands("s", now)
	g.Expect(demands).To(gomega.HaveLen(1))
	g.Expect(demands[0].First).To(gomega.BeNumerically("~", 60, 4))
	g.Expect(demands[0].Returned).To(gomega.BeNumerically("~", 40, 3))
}
