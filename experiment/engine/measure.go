package engine

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// measure collects a run's figures from the end of the warm-up on.
type measure struct {
	site *site
	from time.Time // end of the warm-up

	services  []*serviceMeasure
	second    secondMeasure
	timeline  []Second
	reasons   map[string]int
	received  int
	attempted int
	attempts  int
	retries   int
	calls     int // callers' own retries
	probes    int
	ejections int
	accepted  int // moves that lessors took up
	moves     int
	keysMoved int
	splits    int
	merges    int
	reported  int // bytes of load reports
}

// serviceMeasure is one service's part.
type serviceMeasure struct {
	service   *model.Service
	loads     map[topo.ServerID]float64 // offered in this second
	variation mean
	peak      mean
	answered  *hdrhistogram.Histogram
	offered   int
	good      int
	goodWork  float64 // seconds of service, calls from other services included
	disturbed float64 // part of goodWork that ended during the disturbance
	late      int     // sent and ended after the deadline
	sent      int
	notRun    int
	unknown   int
	failed    int
}

// secondMeasure is the present second.
type secondMeasure struct {
	latencies *hdrhistogram.Histogram
	offered   int
	good      int
	notRun    int
	moves     int
}

// mean averages values.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(value float64) { m.sum, m.count = m.sum+value, m.count+1 }

func (m *mean) value() float64 {
	if m.count == 0 {
		return 0
	}
	return m.sum / float64(m.count)
}

// Histograms count microseconds up to a minute, with three digits.
const (
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyDigits)
}

func newMeasure(s *site) *measure {
	m := &measure{site: s, from: epoch.Add(lead + s.options.Warmup), reasons: map[string]int{}}
	m.second.latencies = newHistogram()
	for i := range s.deployment.Services {
		m.services = append(m.services, &serviceMeasure{
			service: &s.deployment.Services[i], loads: map[topo.ServerID]float64{}, answered: newHistogram(),
		})
	}
	return m
}

// active reports whether the warm-up is over.
func (m *measure) active() bool { return !m.site.clock.now.Before(m.from) }

// offered counts a request's work towards the server that it goes to, as busy
// time at the server's present speed.
func (m *measure) offered(c *call, id topo.ServerID) {
	target, exists := m.site.servers[id]
	if !exists {
		return
	}
	m.services[target.index].loads[id] += c.work / target.speed()
}

func (m *measure) attempt(t *trace) {
	if t.attempts == 0 {
		m.attempted++
	}
	t.attempts++
	m.attempts++
}

// arrived counts a request of a caller.
func (m *measure) arrived(service int) {
	m.second.offered++
	if m.active() {
		m.services[service].offered++
	}
}

// ended counts the final answer to a caller's request that was to start at
// since.
func (m *measure) ended(a *model.Arrival, since time.Time, t *trace, v outcome.Verdict) {
	service := m.services[a.Service]
	took := m.site.clock.now.Sub(since)
	good := v.Outcome == serverapi.OutcomeAnswered && !t.failed
	if good {
		m.second.good++
	}
	if v.Outcome == serverapi.OutcomeNotRun {
		m.second.notRun++
	}
	if v.Outcome == serverapi.OutcomeAnswered {
		recordLatency(m.second.latencies, took)
	}
	if since.Before(m.from) {
		return
	}
	m.countOutcome(service, t, v)
	if v.Outcome == serverapi.OutcomeAnswered {
		recordLatency(service.answered, took)
	}
	if good {
		service.good++
		m.countWork(a)
	}
	if t.attempts > 0 && v.Outcome != serverapi.OutcomeNotRun {
		service.sent++
		if took > service.service.Deadline+2*m.site.deployment.CallerDelay {
			service.late++
		}
	}
}

// countWork counts what a request that was answered in time took of its own
// service and of the one that it called.
func (m *measure) countWork(a *model.Arrival) {
	m.services[a.Service].addWork(a.Work, m.disturbed())
	if a.Calls < 0 {
		return
	}
	called := m.services[a.Service].service.DependsOn[a.Calls].Service
	for _, other := range m.services {
		if other.service.Name == called {
			other.addWork(a.CallWork, m.disturbed())
		}
	}
}

func (s *serviceMeasure) addWork(work float64, disturbed bool) {
	s.goodWork += work
	if disturbed {
		s.disturbed += work
	}
}

// disturbed reports whether the run is in its disturbance.
func (m *measure) disturbed() bool {
	elapsed := m.site.clock.elapsed() - lead
	return elapsed >= m.site.options.DisturbedFrom && elapsed < m.site.options.DisturbedUntil
}

func (m *measure) countOutcome(service *serviceMeasure, t *trace, v outcome.Verdict) {
	switch v.Outcome {
	case serverapi.OutcomeAnswered:
		if t.failed {
			service.failed++
		}
		return
	case serverapi.OutcomeNotRun:
		service.notRun++
	case serverapi.OutcomeUnknown:
		service.unknown++
	}
	m.reasons[string(v.Reason)]++
}

func recordLatency(h *hdrhistogram.Histogram, took time.Duration) {
	// A latency beyond the histogram's range counts as the highest.
	_ = h.RecordValue(min(max(took.Microseconds(), 1), highestLatency))
}

// planned counts what a balancing decision looked at.
func (m *measure) planned(p *countingPolicy) {
	if m.active() {
		m.probes += p.probes
	}
}

// applied counts the changes of owner that a record made.
func (m *measure) applied(before *state.View, rec *bspb.Record, result state.Result) {
	body := rec.GetAssignShards()
	if body == nil || body.GetGroup() == "" || before == nil {
		return
	}
	rejected := map[int]bool{}
	for _, r := range result.Rejected {
		rejected[r.Index] = true
	}
	for i, assigned := range body.GetAssignments() {
		if !rejected[i] && result.Accepted {
			m.changed(before, assigned)
		}
	}
}

func (m *measure) changed(before *state.View, assigned *bspb.Assignment) {
	id := topo.ShardID{
		Service: topo.Service(assigned.GetShard().GetService()),
		Index:   assigned.GetShard().GetIndex(),
		Key:     assigned.GetShard().GetKey(),
	}
	if assigned.GetMerge() {
		m.countMove(&m.merges, 0)
		return
	}
	previous, exists := before.Shard(id)
	switch {
	case !exists:
		m.countMove(&m.splits, 1)
	case string(previous.Owner) == assigned.GetOwner():
	case id.Key != "":
		m.countMove(&m.moves, 1)
	default:
		m.countMove(&m.moves, m.site.availability.keys[id])
	}
}

func (m *measure) countMove(kind *int, keys int) {
	m.second.moves++
	if m.active() {
		*kind++
		m.keysMoved += keys
	}
}
