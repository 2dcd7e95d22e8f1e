// Package speed estimates how fast servers are, from the reports of all nodes. It has no I/O, clock or lock.
//
// It is for services whose servers differ in speed and whose requests differ in work. The time until an answer also
// contains the wait in the server's queue, which is longest where the load is highest: servers that are placed or chosen
// by that time give their load away and get it back. The estimate is therefore of the relative service time, which
// depends neither on the queue nor on the kind of the requests. A machine that is slow at times counts as it is on average:
// in trials, times divided by the slowdown that servers report hid their queues, and estimates divided by it moved keys to
// servers that were slow more often.
package speed

import (
	"maps"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// Report is what one node, or several by way of a relay, observed of the answers of a server to the requests of a route.
type Report struct {
	Server site.ServerID
	Route  string        // "": not known
	Count  int           // answers
	Time   time.Duration // of these answers, without the time to connect, summed
	// HasWait reports that the time includes the wait in the server's queue. Reports without a route do not include it.
	HasWait bool
	Loads   int // answers with a load
	// Busy and Queued are the slots taken and the requests waiting at these answers, summed, without the answered ones.
	Busy, Queued int
	// Left counts the answers by the number of requests left at the server; the last element stands for all slots taken.
	// Empty: not known.
	Left []int
}

const (
	// longHalfLife is that of the sums by which a server is usually judged. A server answers about ten requests a second
	// whose work varies by its mean: 30 s of them tell its speed to 5 %.
	longHalfLife = 20 * time.Second
	// shortHalfLife is that of the sums which show that a server has become slower or faster. Servers are slow for as
	// little as 6 s.
	shortHalfLife = 1500 * time.Millisecond
	// firstInterval is the time that the first report stands for. Nodes report at this interval.
	firstInterval = 500 * time.Millisecond
	// silence is the time without reports from which on the estimate decays towards 1, with a half-life of decayHalfLife.
	silence       = 10 * time.Second
	decayHalfLife = 30 * time.Second
	// retention is how long a server that is not registered is kept.
	retention = 2 * time.Minute
)

// Estimator keeps the sums of the reports. It is not safe for concurrent use.
type Estimator struct {
	servers map[site.ServerID]*server
	work    map[serviceRoute]float64 // seconds at a typical server
	start   start
	begunAt time.Time // when the first report arrived
}

type serviceRoute struct {
	service site.ServiceName
	route   string
}

// start is what the estimator starts with, from the guidance of an earlier lessor.
type start struct {
	speeds map[site.ServerID]float64
	work   map[string]float64
	limits map[site.ServerID]int
	at     time.Time
}

// server is what is known of a server.
type server struct {
	long, short sums
	reportedAt  time.Time // latest report
	logRelative float64   // of the latest estimate
	changedAt   time.Time // since when the estimates are by the short-term sums; zero: they are not
	concurrency concurrency
}

// New returns an estimator without reports.
func New() *Estimator {
	return &Estimator{servers: map[site.ServerID]*server{}, work: map[serviceRoute]float64{}}
}

// Start sets what servers and routes start with: the guidance of an earlier lessor, as of the given time.
func (e *Estimator) Start(speeds map[site.ServerID]float64, work map[string]float64, at time.Time) {
	e.start = start{speeds: maps.Clone(speeds), work: maps.Clone(work), at: at}
}

// StartLimits sets the sustainable concurrency that servers start with, of the same guidance. It must be called after Start.
func (e *Estimator) StartLimits(limits map[site.ServerID]int) { e.start.limits = maps.Clone(limits) }

// Forget drops what is known of a server, which has restarted.
func (e *Estimator) Forget(id site.ServerID) {
	delete(e.servers, id)
	delete(e.start.speeds, id)
	delete(e.start.limits, id)
}

// Add processes a report about a server of a service.
func (e *Estimator) Add(service site.ServiceName, r Report, now time.Time) {
	if r.Count <= 0 || r.Time <= 0 {
		return
	}
	if e.begunAt.IsZero() {
		e.begunAt = now
	}
	s := e.servers[r.Server]
	if s == nil {
		s = &server{long: newSums(longHalfLife), short: newSums(shortHalfLife)}
		s.concurrency = concurrency{limit: e.start.limits[r.Server], at: now}
		e.servers[r.Server] = s
	}
	s.addConcurrency(r, now.Sub(e.begunAt), now)
	elapsed := firstInterval
	if !s.reportedAt.IsZero() {
		elapsed = max(now.Sub(s.reportedAt), 0)
	}
	if elapsed > silence {
		// Reports are missing, so that answers of the time between are not counted.
		s.long.decay(elapsed-firstInterval, false)
		s.short.decay(elapsed-firstInterval, false)
		elapsed = firstInterval
	}
	s.reportedAt = now
	s.short.decay(elapsed, true)
	s.short.add(r)
	s.long.decay(elapsed, !s.hasChanged())
	if !s.hasChanged() {
		s.long.add(r)
	}
}

// hasChanged reports whether the latest estimate is by the short-term sums. The long-term ones are then left as they are, so
// that the estimate is the earlier one again once the change is over.
func (s *server) hasChanged() bool { return !s.changedAt.IsZero() }

// maxChange is the time after which a change counts as lasting.
const maxChange = 15 * time.Second

// settle makes a lasting change the long-term state of the server.
func (s *server) settle(now time.Time) {
	if s.hasChanged() && now.Sub(s.changedAt) > maxChange {
		s.long, s.changedAt = s.short.clone(), time.Time{}
		s.long.halfLife = longHalfLife
	}
}

// sums are decayed sums of reports.
type sums struct {
	halfLife time.Duration
	routes   map[string]routeSum
	answers  float64
	squares  float64 // of the weights of the answers
	seconds  float64 // in which the answers were sent
	loads    float64 // answers with a load
	busy     float64
	queued   float64
}

type routeSum struct {
	answers, time float64 // time in seconds
	waited        float64 // answers whose time includes the wait in the queue
}

func newSums(halfLife time.Duration) sums {
	return sums{halfLife: halfLife, routes: map[string]routeSum{}}
}

func (s *sums) clone() sums {
	cloned := *s
	cloned.routes = maps.Clone(s.routes)
	return cloned
}

// decay reduces the sums for the time that has passed, which counts as observed unless reports were missing.
func (s *sums) decay(passed time.Duration, isObserved bool) {
	if passed <= 0 {
		return
	}
	factor := math.Exp2(-passed.Seconds() / s.halfLife.Seconds())
	for route, of := range s.routes {
		s.routes[route] = routeSum{answers: of.answers * factor, time: of.time * factor, waited: of.waited * factor}
		if of.answers*factor < negligible {
			delete(s.routes, route)
		}
	}
	s.answers *= factor
	s.squares *= factor * factor
	s.seconds *= factor
	s.loads *= factor
	s.busy *= factor
	s.queued *= factor
	if isObserved {
		s.seconds += s.halfLife.Seconds() / math.Ln2 * (1 - factor)
	}
}

// negligible is the number of answers below which those of a route are dropped.
const negligible = 1e-3

func (s *sums) add(r Report) {
	of := s.routes[r.Route]
	of.answers += float64(r.Count)
	of.time += r.Time.Seconds()
	if r.HasWait {
		of.waited += float64(r.Count)
	}
	s.routes[r.Route] = of
	s.answers += float64(r.Count)
	s.squares += float64(r.Count)
	if r.Loads > 0 {
		s.loads += float64(r.Loads)
		s.busy += float64(max(r.Busy, 0))
		s.queued += float64(max(r.Queued, 0))
	}
}

// effective returns the number of independent answers of equal weight that tell as much as the sums.
func (s *sums) effective() float64 {
	if s.squares <= 0 {
		return 0
	}
	return s.answers * s.answers / s.squares
}
