package speed_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/speed"
)

// world reports the answers of ten servers to the estimator, answersPerStep of each in half a second.
type world struct {
	*speed.Estimator
	random    *rand.Rand
	now       time.Time
	servers   map[site.ServerID]site.Server
	relative  map[site.ServerID]float64
	report    func(speed.Report) speed.Report // changes reports; nil: not
	silent    map[site.ServerID]bool
	longShare map[site.ServerID]float64 // share of the long requests
}

const (
	shortWork = 0.088
	longWork  = 0.440
	// Four slots are enough for so many requests, also of a server that has become five times slower.
	slots          = 4
	answersPerStep = 3
	answerRate     = 2 * answersPerStep
	fast, slow     = 0.6, 1 / 0.6
)

func newWorld() *world { return seededWorld(1) }

func seededWorld(seed uint64) *world {
	w := &world{Estimator: speed.New(), random: rand.New(rand.NewPCG(seed, 2)), now: time.Now(), servers: map[site.ServerID]site.Server{}, relative: map[site.ServerID]float64{}, silent: map[site.ServerID]bool{}, longShare: map[site.ServerID]float64{}}
	for i := range 10 {
		id := site.ServerID(fmt.Sprint("s", i))
		w.servers[id] = site.Server{ID: id, Service: "s", Slots: slots}
		w.relative[id] = []float64{fast, slow}[i%2]
		w.longShare[id] = 0.3
	}
	return w
}

func (w *world) run(length time.Duration) speed.Estimates {
	for range int(length / (500 * time.Millisecond)) {
		w.now = w.now.Add(500 * time.Millisecond)
		for _, id := range slices.Sorted(maps.Keys(w.servers)) { // the same order in each run
			for range answersPerStep {
				w.answer(id)
			}
		}
		w.Update(w.servers, w.now)
	}
	return w.Update(w.servers, w.now)
}

// answer reports one answer of a server without a queue, whose slots are taken by Little's law.
func (w *world) answer(id site.ServerID) {
	work, route := shortWork, "short"
	if w.random.Float64() < w.longShare[id] {
		work, route = longWork, "long"
	}
	mean := (shortWork + w.longShare[id]*(longWork-shortWork)) * w.relative[id]
	took := work * w.relative[id] * math.Exp(0.5*w.random.NormFloat64()-0.125)
	r := speed.Report{Server: id, Route: route, Count: 1, Time: time.Duration(took * float64(time.Second)), HasWait: true, Loads: 1}
	if w.random.Float64() < min(mean*answerRate/slots, 1) {
		r.Busy = slots
	}
	if w.report != nil {
		r = w.report(r)
	}
	if !w.silent[id] {
		w.Add("s", r, w.now)
	}
}

func (w *world) relativeOf(id site.ServerID) float64 {
	return w.Update(w.servers, w.now).Services["s"].Servers[id].Relative
}

// Guards against judging a server by the kind of its requests, and a route by the servers that got it.
func TestKindOfWorkDoesNotChangeTheEstimate(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	for id := range w.longShare {
		w.longShare[id] = 0.1
	}
	w.longShare["s0"], w.longShare["s1"] = 0.45, 0.45
	result := w.run(40 * time.Second)
	for id, want := range w.relative {
		g.Expect(result.Services["s"].Servers[id].Relative).To(gomega.BeNumerically("~", want, 0.2*want), string(id))
	}
	g.Expect(result.Work["short"]).To(gomega.BeNumerically("~", shortWork, 0.15*shortWork))
	g.Expect(result.Work["long"]).To(gomega.BeNumerically("~", longWork, 0.15*longWork))
}

// Guards against judging a server by its queue, by reports that are lost on the way, by impossible and by false loads.
func TestLoadOfAServer(t *testing.T) {
	const queue = 3 // requests waiting, which at six answers a second wait for 0.5 s
	withQueue := func(r speed.Report, isReported bool) speed.Report {
		r.Time += 500 * time.Millisecond
		if isReported {
			r.Queued = queue
		}
		return r
	}
	for name, row := range map[string]struct {
		report     func(speed.Report) speed.Report
		from, upTo float64 // factors of the true value
	}{
		"the queue is reported": {func(r speed.Report) speed.Report { return withQueue(r, true) }, 0.75, 1.3},
		"nothing is reported": {func(r speed.Report) speed.Report {
			r.Loads, r.Busy = 0, 0
			return r
		}, 0.85, 1.15},
		"more slots than there are": {func(r speed.Report) speed.Report {
			r.Busy, r.Queued = 1000, 1000
			return r
		}, 0.85, 1.15},
		"negative": {func(r speed.Report) speed.Report {
			r.Busy, r.Queued = -5, -5
			return r
		}, 0.7, 1.3},
		"a false queue": {func(r speed.Report) speed.Report {
			r.Queued = 1_000_000
			return r
		}, 0.2, 4},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newWorld()
			w.report = func(r speed.Report) speed.Report {
				if r.Server == "s1" {
					return row.report(r)
				}
				return r
			}
			w.run(40 * time.Second)
			g.Expect(w.relativeOf("s1") / w.relative["s1"]).To(gomega.And(gomega.BeNumerically(">", row.from), gomega.BeNumerically("<", row.upTo)))
		})
	}
}

// Guards against following a server only after its slow seconds, and against keeping it slow afterwards.
func TestAServerThatIsSlowForSixSeconds(t *testing.T) {
	g := gomega.NewWithT(t)
	const seeds = 20
	slowest, after, late := 0.0, 0.0, 0.0
	for seed := range uint64(seeds) {
		w := seededWorld(seed)
		w.run(30 * time.Second)
		w.relative["s0"] *= 5
		w.run(5 * time.Second)
		slowest += w.relativeOf("s0") / seeds
		w.run(time.Second)
		w.relative["s0"] /= 5
		w.run(6 * time.Second)
		after += w.relativeOf("s0") / seeds
		w.run(30 * time.Second)
		late += w.relativeOf("s0") / seeds
	}
	t.Logf("relative service time %.2f: %.2f after 5 s of 5 times that, %.2f and %.2f, 6 s and 36 s after the end", fast, slowest, after, late)
	g.Expect(slowest).To(gomega.BeNumerically(">", 1.8))
	g.Expect(after).To(gomega.BeNumerically("<", 0.9))
	g.Expect(late).To(gomega.BeNumerically("<", 0.75))
}

// Guards against a server that is judged by its latest answers alone for as long as it stays slower.
func TestALastingChangeBecomesTheUsualState(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	w.run(30 * time.Second)
	w.relative["s0"] *= 5
	w.run(40 * time.Second)
	e := w.Update(w.servers, w.now).Services["s"].Servers["s0"]
	g.Expect(e.IsShortTerm).To(gomega.BeFalse())
	g.Expect(e.Relative).To(gomega.BeNumerically("~", 5*fast, 0.5*5*fast))
}

// Guards against speeds of saturated servers by the time of their answers, nearly all of which is wait: slow
// servers report too short a queue here, so that only the rate of answers tells the speed.
func TestSaturatedServersAreJudgedByTheirRate(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	for range 80 {
		w.now = w.now.Add(500 * time.Millisecond)
		for i := range 10 {
			id := site.ServerID(fmt.Sprint("s", i))
			const queue = 40
			mean := 0.1 * w.relative[id]
			answers := int(math.Round(slots / mean / 2)) // in half a second
			took := mean * (1 + float64(queue)/slots)
			w.Add("s", speed.Report{Server: id, Route: "short", Count: answers, Time: time.Duration(took * float64(answers) * float64(time.Second)), HasWait: true, Loads: answers, Busy: answers * slots, Queued: answers * (queue - 8*(i%2))}, w.now)
		}
		w.Update(w.servers, w.now)
	}
	g.Expect(w.relativeOf("s1") / w.relativeOf("s0")).To(gomega.BeNumerically("~", slow/fast, 0.1*slow/fast))
}

// Guards against machines that are slow at times and whose queue hides that the server is as fast as others.
func TestMachinesThatAreSlowAtTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	for id := range w.relative {
		w.relative[id] = 1
	}
	w.report = func(r speed.Report) speed.Report {
		if r.Server == "s1" { // two requests wait, 2.8 with the slow times of the machine
			r.Time += 2 * time.Second / answerRate
			r.Queued = []int{2, 3, 3, 3, 3}[w.random.IntN(5)]
		}
		if w.random.IntN(5) == 0 {
			r.Time *= 3
		}
		return r
	}
	w.run(60 * time.Second)
	g.Expect(w.relativeOf("s1")).To(gomega.BeNumerically("~", 1, 0.15))
}

// Guards against speeds by a few answers, of an earlier incarnation, or of long ago.
func TestEstimatesWithoutABasisAreTypical(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	w.run(500 * time.Millisecond)
	g.Expect(w.relativeOf("s1")).To(gomega.BeNumerically("<", 1.6), "three answers")
	w.run(40 * time.Second)
	before := w.relativeOf("s1")
	w.Forget("s1")
	g.Expect(w.Update(w.servers, w.now).Services["s"].Servers).NotTo(gomega.HaveKey(site.ServerID("s1")))
	w.silent["s3"] = true
	w.run(10 * time.Second)
	g.Expect(w.relativeOf("s3")).To(gomega.BeNumerically(">", 0.8*before))
	w.run(60 * time.Second)
	g.Expect(math.Log(w.relativeOf("s3"))).To(gomega.BeNumerically("~", math.Log(before)/4, 0.1), "two half-lives")
}

// Guards against a new lessor that places keys as if all servers were alike, and one that believes its predecessor for ever.
func TestANewLessorStartsWithTheGuidance(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	w.Start(map[site.ServerID]float64{"s0": fast, "s1": slow, "s2": slow}, map[string]float64{"short": shortWork, "long": longWork}, w.now)
	w.run(500 * time.Millisecond)
	g.Expect(w.relativeOf("s1")).To(gomega.BeNumerically(">", 1.3))
	w.run(60 * time.Second)
	g.Expect(w.relativeOf("s2")).To(gomega.BeNumerically("<", 0.8), "the guidance was wrong")
}

// Guards against a rare route whose work stays that of the guidance of an earlier lessor.
func TestWorkOfAnEarlierLessorFades(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	w.Start(nil, map[string]float64{"rare": 10 * longWork}, w.now)
	for range 30 {
		w.run(10 * time.Second)
		w.Add("s", speed.Report{Server: "s0", Route: "rare", Count: 1, Time: 440 * time.Millisecond, HasWait: true}, w.now)
	}
	work := w.Update(w.servers, w.now).Work["rare"]
	g.Expect(work).To(gomega.BeNumerically("<", 2*longWork))
}

// Guards against a rolling update: nodes of the previous release report neither routes nor loads.
func TestReportsWithoutARoute(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	w.report = func(r speed.Report) speed.Report {
		return speed.Report{Server: r.Server, Count: 1, Time: r.Time}
	}
	result := w.run(40 * time.Second)
	g.Expect(result.Services["s"].Servers["s1"].Relative).To(gomega.BeNumerically("~", slow, 0.3*slow))
	g.Expect(result.Work).To(gomega.BeEmpty())
}
