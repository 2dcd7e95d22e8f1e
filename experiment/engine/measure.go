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

// measure collects the figures of a run from the end of the warm-up on.
type measure struct {
	site *site
	from time.Time // end of the warm-up

	services      []*serviceMeasure
	second        secondMeasure
	timeline      []Second
	reasons       map[string]int
	received      int
	attempted     int
	attempts      int
	retries       int
	callerRetries int // callers' own retries
	probes        int
	ejections     int
	accepted      int // moves accepted by lessors
	moves         int
	keysMoved     int
	splits        int
	merges        int
	reported      int // bytes of load reports
}

// serviceMeasure collects the figures of one service.
type serviceMeasure struct {
	service   *model.Service
	loads     map[topo.ServerID]float64 // offered in this second
	variation mean
	peak      mean
	answered  *hdrhistogram.Histogram
	offered   int
	good      int
	goodWork  float64 // seconds of service, calls from other services included
	disturbed float64 // the share of goodWork, in seconds, that ended during the disturbance
	late      int     // sent and ended after the deadline
	sent      int
	notRun    int
	unknown   int
	failed    int
}

// secondMeasure collects the figures of the current second.
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

// Histograms record microseconds up to one minute with three significant digits.
const (
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyDigits)
}

func newMeasure(s *site) *measure {
	m := &measure{site: s, from: epoch.Add(setupTime + s.options.Warmup), reasons: map[string]int{}}
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

// offered adds a request's work to the offered load of its server, as busy
// time at the server's current speed.
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

// ended counts the final answer to a caller's request whose intended start was
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

// countWork adds the work of a request that was answered in time to its own
// service and to the service that it called.
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

// disturbed reports whether the disturbance is in progress.
func (m *measure) disturbed() bool {
	elapsed := m.site.clock.elapsed() - setupTime
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
	// A latency beyond the histogram's range is recorded as the highest value.
	_ = h.RecordValue(min(max(took.Microseconds(), 1), highestLatency))
}

// planned counts the probes of a balancing decision.
func (m *measure) planned(p *countingPolicy) {
	if m.active() {
		m.probes += p.probes
	}
}

// applied counts the changes of owner by a record.
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
