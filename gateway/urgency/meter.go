package urgency

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// demandHalfLife is the half-life of the counts of requests, busy slots and queues: a surge is seen within two rounds.
	demandHalfLife = time.Second
	// workHalfLife is the half-life of service times, which change little.
	workHalfLife = 10 * time.Second
	// minWorkAnswers is the decayed number of answers from which on the mean service time of a priority is known.
	minWorkAnswers = 20
	// maxWorkQueue is the mean queue of a server above which its answers do not change the work of a priority: more
	// urgent requests wait longer than the mean there, since less urgent ones are only sent to free slots.
	maxWorkQueue = 0.25
	// minServiceShare is the least part of an answer's time that is service, whatever the wait is calculated to be.
	minServiceShare = 0.1
	// minDemand is the rate of requests below which a priority is not in use, in requests a second.
	minDemand = 0.1
)

// Answers are those of a server to the requests of one priority, as a node reports them.
type Answers struct {
	Count     int
	Total     time.Duration // until the answers, summed
	WithLoad  int           // answers that contained the load of the server
	Queued    int           // requests left waiting at these, summed
	WasServed bool          // false: these are of a node that does not report the time of its answers
}

// Meter measures demand, work and load of services by the reports of nodes. It implements Estimates.
type Meter struct {
	services map[site.ServiceName]*measured
}

type class struct {
	first, returned sum
	work, answers   sum // service time in seconds, and answers
}

type measured struct {
	classes  map[int]*class
	servers  map[site.ServerID]*server
	since    time.Time // of the first report
	latest   time.Time // of the latest answer
	capacity float64
	slots    float64 // of the usable servers
}

type server struct {
	first, latest     time.Time // of the answers
	answers, busy     sum
	queued, withLoads sum
}

// NewMeter returns a meter without measurements.
func NewMeter() *Meter { return &Meter{services: map[site.ServiceName]*measured{}} }

// sum is a decayed sum.
type sum struct {
	value float64
	at    time.Time
}

func (s *sum) add(value float64, halfLife time.Duration, now time.Time) {
	s.value = s.get(halfLife, now) + value
	s.at = now
}

func (s *sum) get(halfLife time.Duration, now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.value * math.Exp2(-max(now.Sub(s.at), 0).Seconds()/halfLife.Seconds())
}

// rate returns a sum over demandHalfLife a second, if it has been taken since a time.
func (s *sum) rate(since, now time.Time) float64 {
	age := now.Sub(since).Seconds() / demandHalfLife.Seconds()
	seconds := demandHalfLife.Seconds() / math.Ln2 * (1 - math.Exp2(-age))
	if seconds <= 0 {
		return 0
	}
	return s.get(demandHalfLife, now) / seconds
}

// Forget removes the measurements of all services but the given ones, which are mixed. Those of other services are not
// used, and would grow by every incarnation of a server.
func (m *Meter) Forget(mixed []site.ServiceName) {
	maps.DeleteFunc(m.services, func(name site.ServiceName, _ *measured) bool { return !slices.Contains(mixed, name) })
}

func (m *Meter) service(name site.ServiceName, now time.Time) *measured {
	s := m.services[name]
	if s == nil {
		// The first reports cover the interval before.
		s = &measured{classes: map[int]*class{}, servers: map[site.ServerID]*server{}, since: now.Add(-UpdateInterval)}
		m.services[name] = s
	}
	return s
}

func (s *measured) class(priority int) *class {
	c := s.classes[priority]
	if c == nil {
		c = &class{}
		s.classes[priority] = c
	}
	return c
}

// Count adds requests of callers, refused ones included, and how many of them had been refused before.
func (m *Meter) Count(name site.ServiceName, priority, requests, returned int, now time.Time) {
	c := m.service(name, now).class(priority)
	returned = min(returned, requests)
	c.first.add(float64(requests-returned), demandHalfLife, now)
	c.returned.add(float64(returned), demandHalfLife, now)
}

// Answer adds answers of a server. Their time less the wait is the work: by Little's law the wait is the mean number of
// requests left waiting, divided by the rate of answers.
func (m *Meter) Answer(name site.ServiceName, id site.ServerID, priority int, a Answers, now time.Time) {
	if a.Count <= 0 {
		return
	}
	s := m.service(name, now)
	of := s.servers[id]
	if of == nil {
		of = &server{first: now.Add(-UpdateInterval)}
		s.servers[id] = of
	}
	s.latest, of.latest = now, now
	of.answers.add(float64(a.Count), demandHalfLife, now)
	of.queued.add(float64(max(a.Queued, 0)), demandHalfLife, now)
	of.withLoads.add(float64(max(a.WithLoad, 0)), demandHalfLife, now)
	if !a.WasServed {
		return
	}
	total := a.Total.Seconds()
	work := max(total-float64(a.Count)*of.wait(now), minServiceShare*total)
	of.busy.add(work, demandHalfLife, now)
	c := s.class(priority)
	if c.answers.value >= minWorkAnswers && of.queue(now) > maxWorkQueue {
		return
	}
	c.work.add(work, workHalfLife, now)
	c.answers.add(float64(a.Count), workHalfLife, now)
}

// wait returns the mean wait of a request at a server in seconds.
func (s *server) wait(now time.Time) float64 {
	rate := s.answers.rate(s.first, now)
	if rate <= 0 {
		return 0
	}
	return s.queue(now) / rate
}

// queue returns the mean number of requests that wait at a server.
func (s *server) queue(now time.Time) float64 {
	withLoads := s.withLoads.get(demandHalfLife, now)
	if withLoads == 0 {
		return 0
	}
	return s.queued.get(demandHalfLife, now) / withLoads
}

// Work implements Estimates.
func (m *Meter) Work(name site.ServiceName, priority int) (seconds float64, known bool) {
	s := m.services[name]
	if s == nil || s.classes[priority] == nil {
		return 0, false
	}
	c := s.classes[priority]
	if c.answers.value < minWorkAnswers {
		return 0, false
	}
	return c.work.value / c.answers.value, true // both decay alike
}

// Capacity implements Estimates. It is that of the latest call of Usable.
func (m *Meter) Capacity(name site.ServiceName) (busySlots float64, known bool) {
	s := m.services[name]
	if s == nil || s.capacity <= 0 {
		return 0, false
	}
	return s.capacity, true
}

// Demands returns the requests of a service by priority, and Load the load of its servers.
func (m *Meter) Demands(name site.ServiceName, now time.Time) []Demand {
	s := m.services[name]
	if s == nil {
		return nil
	}
	var demands []Demand
	for _, priority := range slices.Sorted(maps.Keys(s.classes)) {
		c := s.classes[priority]
		d := Demand{Priority: priority, First: c.first.rate(s.since, now), Returned: c.returned.rate(s.since, now)}
		if d.First+d.Returned >= minDemand {
			demands = append(demands, d)
		}
	}
	return demands
}

// Load returns the load of the usable servers of a service, as of the latest call of Usable.
func (m *Meter) Load(name site.ServiceName, now time.Time) Load {
	s := m.services[name]
	if s == nil || s.slots <= 0 || s.latest.IsZero() {
		return Load{}
	}
	load := Load{Age: now.Sub(s.latest)}
	hasLoads := false
	for _, id := range slices.Sorted(maps.Keys(s.servers)) { // always the same sum
		of := s.servers[id]
		load.Queued += of.queue(now) / s.slots
		load.Busy += of.busy.rate(of.first, now) / s.slots
		hasLoads = hasLoads || of.withLoads.value > 0
	}
	load.Busy = min(load.Busy, 1)
	load.IsKnown = hasLoads && load.Age < usableTimeout
	return load
}
