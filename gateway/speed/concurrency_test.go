package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
)

const (
	simulatedStep = 2 * time.Millisecond
	simulatedWork = 0.11
	pacePeriod    = 400 * time.Millisecond
)

// machine is a simulated server with a queue.
type machine struct {
	running, waiting []float64 // work left
	isSlow           bool
	left             []int
	answers          int
}

// farm has servers whose service time grows by a factor for each number running, and machines that are three times slower for a
// share of the time.
type farm struct {
	factors       []float64
	slowShare     float64
	wave          float64
	load          float64 // relative to the largest rate of the servers
	choosesBetter bool    // requests go to the less busy one of two servers
	limits        bool    // requests beyond the limit of a server wait, at nodes in fact
	report        func(speed.Report) speed.Report

	*speed.Estimator
	random    *rand.Rand
	now       time.Time
	servers   map[site.ServerID]site.Server
	ids       []site.ServerID
	machines  []*machine
	arrivals  int
	estimates speed.Service
}

func (f *farm) start(servers int, seed uint64) {
	f.Estimator, f.random, f.now = speed.New(), rand.New(rand.NewPCG(seed, 3)), time.Unix(1e9, 0)
	f.servers = map[site.ServerID]site.Server{}
	for i := range servers {
		id := site.ServerID(fmt.Sprint("s", i))
		f.ids = append(f.ids, id)
		f.servers[id] = site.Server{ID: id, Service: "s", Slots: len(f.factors)}
		f.machines = append(f.machines, &machine{left: make([]int, len(f.factors)+1)})
	}
}

// rate returns the arrivals per second and server.
func (f *farm) rate() float64 {
	best := 0.0
	for i, factor := range f.factors {
		best = max(best, float64(i+1)/factor)
	}
	phase := 2 * math.Pi * float64(f.now.UnixNano()%int64(11*time.Second)) / float64(11*time.Second)
	return f.load * best / simulatedWork * (1 - f.slowShare*2/3) * (1 + f.wave*math.Sin(phase))
}

func (f *farm) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(simulatedStep) {
		sinceStart := f.now.Sub(time.Unix(1e9, 0))
		if sinceStart%pacePeriod == 0 {
			for _, m := range f.machines {
				m.isSlow = f.random.Float64() < f.slowShare
			}
		}
		if sinceStart%(500*time.Millisecond) == 0 {
			f.reportAll()
		}
		expected := f.rate() * float64(len(f.machines)) * simulatedStep.Seconds()
		for product := f.random.Float64(); product > math.Exp(-expected); product *= f.random.Float64() {
			f.arrive()
		}
		for i, m := range f.machines {
			f.work(m, f.limitOf(i))
		}
	}
}

func (m *machine) present() int { return len(m.running) + len(m.waiting) }

func (f *farm) arrive() {
	f.arrivals++
	i := f.random.IntN(len(f.machines))
	if f.choosesBetter {
		if j := f.random.IntN(len(f.machines)); f.machines[j].present() < f.machines[i].present() {
			i = j
		}
	}
	m := f.machines[i]
	work := simulatedWork * math.Exp(0.8*f.random.NormFloat64()-0.32)
	switch {
	case len(m.running) < f.limitOf(i):
		m.running = append(m.running, work)
	case len(m.waiting) < 4*len(f.factors):
		m.waiting = append(m.waiting, work)
	}
}

// limitOf returns how many requests of a server may run now.
func (f *farm) limitOf(i int) int {
	limit := len(f.factors)
	if e := f.estimates.Servers[f.ids[i]]; f.limits && !e.IsTrial {
		limit = f.estimates.SlotsOf(f.ids[i], limit)
	}
	return limit
}

func (f *farm) work(m *machine, limit int) {
	if len(m.running) == 0 {
		return
	}
	done := simulatedStep.Seconds() / f.factors[len(m.running)-1]
	if m.isSlow {
		done /= 3
	}
	for i := range m.running {
		m.running[i] -= done
	}
	for i := 0; i < len(m.running); {
		if m.running[i] > 0 {
			i++
			continue
		}
		m.running = append(m.running[:i], m.running[i+1:]...)
		if len(m.waiting) > 0 && len(m.running) < limit {
			m.running, m.waiting = append(m.running, m.waiting[0]), m.waiting[1:]
		}
		m.left[min(m.present(), len(f.factors))]++
		m.answers++
	}
}

func (f *farm) reportAll() {
	for i, m := range f.machines {
		answers := 0
		for _, count := range m.left {
			answers += count
		}
		if answers == 0 {
			continue
		}
		r := speed.Report{Server: f.ids[i], Route: "r", Count: answers, Time: time.Duration(answers) * 110 * time.Millisecond, Left: m.left}
		if f.report != nil {
			r = f.report(r)
		}
		f.Add("s", r, f.now)
		m.left = make([]int, len(f.factors)+1)
	}
	f.estimates = f.Update(f.servers, f.now).Services["s"]
}

// limited returns how many servers are limited, by their limit.
func (f *farm) limited() map[int]int {
	limits := map[int]int{}
	for _, e := range f.estimates.Servers {
		if e.Concurrency > 0 {
			limits[e.Concurrency]++
		}
	}
	return limits
}

var (
	slowing  = []float64{1, 1.1, 2, 3}
	constant = []float64{1, 1, 1, 1}
)

// Guards against machines that are slow at times, waves of demand and long requests that look like servers which slow down
// under load.
func TestServersThatDoNotSlowDownAreNotLimited(t *testing.T) {
	const servers = 100
	for _, row := range []struct {
		name string
		farm
		most int // servers that may be limited, over all loads
	}{
		{"without noise", farm{factors: constant, wave: 0.15}, 0},
		{"noise", farm{factors: constant, slowShare: 0.2, wave: 0.15}, 4},
		{"noise and a high wave", farm{factors: constant, slowShare: 0.2, wave: 0.55}, 4},
		{"noise and two slots", farm{factors: constant[:2], slowShare: 0.2, wave: 0.15}, 4},
		{"noise and the better of two", farm{factors: constant, slowShare: 0.2, wave: 0.55, choosesBetter: true}, 4},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			count := 0
			for _, load := range []float64{0.6, 0.8, 0.95, 1.1} {
				f := row.farm
				f.load = load
				f.start(servers, uint64(100*load))
				f.run(2 * time.Minute)
				for _, limited := range f.limited() {
					count += limited
				}
			}
			t.Logf("%d of %d limited", count, 4*servers)
			gomega.NewWithT(t).Expect(count).To(gomega.BeNumerically("<=", row.most))
		})
	}
}

// Guards against servers that run as many requests as they have slots although they complete less work then.
func TestServersThatSlowDownCompleteMoreWithALimit(t *testing.T) {
	for load, gain := range map[float64]float64{0.6: 1, 0.8: 1, 1: 1.15, 1.1: 1.15} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			answers, demand := map[bool]int{}, 0
			for _, limits := range []bool{false, true} {
				f := farm{factors: slowing, slowShare: 0.2, wave: 0.15, load: 0.6, limits: limits}
				f.start(60, 7)
				f.run(4 * time.Minute)
				t.Logf("limited %v", f.limited())
				if limits {
					g.Expect(f.limited()[2]).To(gomega.BeNumerically(">=", 40))
				}
				for _, m := range f.machines {
					m.answers = 0
				}
				f.load, f.arrivals = load, 0
				f.run(time.Minute)
				demand = f.arrivals
				for _, m := range f.machines {
					answers[limits] += m.answers
				}
			}
			t.Logf("%d answers in a minute with limits, %d without", answers[true], answers[false])
			g.Expect(float64(answers[true])).To(gomega.BeNumerically(">=", gain*float64(answers[false])))
			if load < 1 {
				g.Expect(answers[true]).To(gomega.BeNumerically(">=", 0.95*float64(demand)), "servers with room answer nearly all")
			}
		})
	}
}

// Guards against a limit of a server that does not slow down any more.
func TestALimitEndsWhenTheServerHasRecovered(t *testing.T) {
	g := gomega.NewWithT(t)
	f := farm{factors: slowing, wave: 0.15, load: 0.6, limits: true}
	f.start(40, 5)
	f.run(4 * time.Minute)
	before := f.limited()
	f.factors = constant
	f.load = 0.5
	f.run(5 * time.Minute)
	after := f.limited()
	t.Logf("limited %v, 5 min after the change %v", before, after)
	g.Expect(before[2]).To(gomega.BeNumerically(">=", 25))
	g.Expect(after[1] + after[2] + after[3]).To(gomega.BeNumerically("<=", 4))
}

// Guards against a limit that outlives a restart, reports without load or with an impossible one, and one that a new lessor forgets.
func TestLimitsWithoutABasisEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	f := farm{factors: slowing, load: 0.6, report: func(r speed.Report) speed.Report {
		switch r.Server {
		case "s1":
			r.Left = nil
		case "s2":
			r.Left = []int{1, 2, 3, 4, 5, 6, 7}
		case "s3":
			r.Left = []int{-1, -5, -5, -5, -1}
		}
		return r
	}}
	f.start(6, 5)
	f.Start(nil, nil, f.now)
	f.StartLimits(map[site.ServerID]int{"s0": 2, "s5": 2})
	f.run(5 * time.Second)
	g.Expect(f.estimates.SlotsOf("s0", 4)).To(gomega.Equal(2), "by the guidance of the earlier lessor")
	f.Forget("s0")
	f.run(5 * time.Second)
	g.Expect(f.estimates.SlotsOf("s0", 4)).To(gomega.Equal(4), "after a restart")
	f.run(4 * time.Minute)
	for _, id := range []site.ServerID{"s1", "s2", "s3"} {
		g.Expect(f.estimates.SlotsOf(id, 4)).To(gomega.Equal(4), string(id))
	}
	g.Expect(f.Update(f.servers, f.now.Add(2*time.Minute)).Services["s"].SlotsOf("s5", 4)).To(gomega.Equal(4), "no reports")
}
