package pool

import (
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// With guidance, the time of a request at a server is the work of its route times the relative service time of the server,
// and its wait is that of requests of mean work. This handles routes of unlike work at one server, which one mean time for
// each server confuses with slowness, and many nodes that rarely use each server: what other nodes have seen of it counts.
const (
	// guidedAnswers is the number of this node's recent answers that counts as much as the guidance. One service time
	// varies by about its mean: with fewer, the correction is mostly chance.
	guidedAnswers = 10.0
	// answerHalfLife is the half-life of the weight of an answer. Within it a busy node has enough answers to see a server
	// that has become slow before the lessor does.
	answerHalfLife = 3 * time.Second
	// minRelative and maxRelative bound the relative service time of a server, so that a false report or a single
	// answer does not exclude a server.
	minRelative, maxRelative = 0.1, 10.0
	// relativeRefresh is how long the corrected relative service time of a server is kept if it does not answer.
	relativeRefresh = 250 * time.Millisecond
	// reportMemory is the half-life of the weight of a load report.
	reportMemory = 2 * time.Second
	// waitWeight is the weight of one answer in the mean wait over all servers, serverWaitWeight in that of its server.
	waitWeight, serverWaitWeight = 0.02, 0.2
	// workWeight is the weight of one request in the mean work, and of one answer in the work of a route that the
	// guidance does not have.
	workWeight = 0.05
	// maxLearnedRoutes bounds the routes whose work is learned.
	maxLearnedRoutes = 64
)

// speed is what a pool knows of the relative service time of a server.
type speed struct {
	guided   float64 // by the guidance; 0: unknown
	isListed bool    // whether the guidance names the server
	answers  float64 // weighted number of own answers, as of at
	mean     float64 // weighted mean relative service time in them
	wait     float64 // recent wait at the server, in service times of mean work
	at       time.Time
	usual    float64 // requests of all nodes at the server if each server gets its share
	cached   float64 // corrected relative service time, as of cachedAt
	cachedAt time.Time
}

// usage is what a pool has learned of its requests while it is guided.
type usage struct {
	meanWork float64            // of the requests sent, in seconds; 0: none
	wait     float64            // mean wait at servers, in service times of mean work
	work     map[string]float64 // work of routes that the guidance does not have
}

// relative returns the relative service time of a server.
func (m *member) relative(now time.Time) float64 {
	s := &m.speed
	if s.answers == 0 {
		return s.guided
	}
	if age := now.Sub(s.cachedAt); age < 0 || age >= relativeRefresh {
		weight := s.answers * decay(now.Sub(s.at), answerHalfLife)
		s.cached = (guidedAnswers*s.guided + weight*s.mean) / (guidedAnswers + weight)
		s.cachedAt = now
	}
	return s.cached
}

// note adds an answer by which the server has a relative service time, and waited for a number of service times.
func (s *speed) note(relative, wait float64, now time.Time) {
	weight := s.answers * decay(now.Sub(s.at), answerHalfLife)
	s.answers = weight + 1
	s.mean += (min(max(relative, minRelative), maxRelative) - s.mean) / s.answers
	if s.answers == 1 && weight == 0 {
		s.wait = wait
	}
	s.wait += serverWaitWeight * (wait - s.wait)
	s.at, s.cachedAt = now, time.Time{}
}

// work returns the work of a request in seconds, or 0 if the pool is not guided.
func (p *Pool) work(w *Waiter, now time.Time) float64 {
	if !p.isGuided(now) {
		return 0
	}
	if w.workSerial != p.guided.serial {
		w.work, w.workSerial = p.workOf(w.Route), p.guided.serial
	}
	return w.work
}

// workOf returns the work of a route while the pool is guided. A route that is new to the lessor has the work that this
// node has seen, or else the mean.
func (p *Pool) workOf(route string) float64 {
	if work := p.guided.Work[route]; work > 0 {
		return work
	}
	if work := p.usage.work[route]; work > 0 {
		return work
	}
	return p.meanWork()
}

// meanWork returns the mean work of the requests that this node sends.
func (p *Pool) meanWork() float64 {
	if p.usage.meanWork > 0 {
		return p.usage.meanWork
	}
	return p.times().mean
}

// noteWork records the work of a request that is sent to a server.
func (p *Pool) noteWork(m *member, w *Waiter, now time.Time) {
	work := p.work(w, now)
	m.sentWork[len(m.sentWork)-1] = work
	switch {
	case work == 0:
	case p.usage.meanWork == 0:
		p.usage.meanWork = work
	default:
		p.usage.meanWork += workWeight * (work - p.usage.meanWork)
	}
}

// recordSpeed records an answer of a server while the pool is guided. The wait in the server's queue is estimated by the
// requests that are left waiting: with a queue in order of arrival, as many arrived during the request's stay as were
// there when it came.
func (p *Pool) recordSpeed(m *member, outcome Outcome, now time.Time) {
	if !p.isGuided(now) || outcome.Route == "" {
		return
	}
	seconds := (outcome.Took - outcome.Connect).Seconds()
	meanWork, wait := p.meanWork(), max(0, p.usage.wait)
	if load := outcome.Load; load != nil {
		p.spread.noteUtilization(load.Total(), load.Slots)
		wait = float64(max(load.Waiting, 0)) / float64(max(load.Slots, 1))
	}
	if seconds <= 0 || meanWork <= 0 {
		return
	}
	p.learnWork(outcome.Route, seconds/m.relative(now)-wait*meanWork)
	work := p.workOf(outcome.Route)
	m.speed.note(seconds/(work+wait*meanWork), (seconds/m.relative(now)-work)/meanWork, now)
	p.usage.wait += waitWeight * ((seconds/m.relative(now)-work)/meanWork - p.usage.wait)
}

// learnWork records the work of a request of a route, by the time that it took at a server, if the guidance does not
// have the route.
func (p *Pool) learnWork(route string, work float64) {
	if p.guided.Work[route] > 0 {
		delete(p.usage.work, route)
		return
	}
	known, exists := p.usage.work[route]
	switch {
	case work <= 0 || !exists && len(p.usage.work) >= maxLearnedRoutes:
	case !exists:
		if p.usage.work == nil {
			p.usage.work = map[string]float64{}
		}
		p.usage.work[route] = work
	default:
		p.usage.work[route] = known + workWeight*(work-known)
	}
}

// stay returns the expected time in seconds of a request of some work at a server, the usual wait there included. The
// pool must be guided.
func (p *Pool) stay(m *member, work float64, now time.Time) float64 {
	wait := p.usage.wait
	if m.speed.answers > 0 {
		wait += (m.speed.wait - wait) * decay(now.Sub(m.speed.at), slowHalfLife)
	}
	return m.relative(now) * (work + max(0, wait)*p.meanWork())
}

// stayOf returns the expected time in seconds of a request at a server, the usual wait there included, and work 0 for a
// request of mean work.
func (p *Pool) stayOf(m *member, work float64, now time.Time) float64 {
	if !p.isGuided(now) {
		return p.serviceTime(m, now)
	}
	if work == 0 {
		work = p.meanWork()
	}
	return p.stay(m, work, now)
}

// staysOf returns stayOf for requests of mean work and for one of some work, which are the same without guidance.
func (p *Pool) staysOf(m *member, work float64, now time.Time) (mean, stay float64) {
	mean = p.stayOf(m, 0, now)
	if work == 0 {
		return mean, mean
	}
	return mean, p.stay(m, work, now)
}

// meanStay returns the expected time in seconds of a request of some work at the servers, the usual wait there included.
// The pool must be guided.
func (p *Pool) meanStay(work float64) float64 {
	return p.guided.relative * (work + max(0, p.usage.wait)*p.meanWork())
}

// guidedStay returns the expected time in seconds of a request at its servers, and whether the pool is guided.
func (p *Pool) guidedStay(w *Waiter, now time.Time) (mean float64, isGuided bool) {
	work := p.work(w, now)
	if work == 0 {
		return 0, false
	}
	if m := p.members[w.OnlyServer]; m != nil {
		return p.stay(m, work, now), true
	}
	return p.meanStay(work), true
}

// throughputOfRoute returns the throughput for a request of another route than the one that it was computed for.
func (p *Pool) throughputOfRoute(t throughput, w *Waiter, now time.Time) throughput {
	if work := p.work(w, now); work != t.work && t.slowest != nil {
		t.slowestSeconds, t.work = p.stayOf(t.slowest, work, now), work
	}
	return t
}

// longestWork returns the largest work among the requests in flight at a server and the mean: a server that runs a long
// request for this node and has answered none is not late yet. It returns 0 if the pool is not guided.
func (p *Pool) longestWork(m *member, now time.Time) float64 {
	if !p.isGuided(now) {
		return 0
	}
	longest := p.meanWork()
	for _, work := range m.sentWork {
		longest = max(longest, work)
	}
	return longest
}

// workOfEnded returns the work of a request that has ended, at least the mean, or 0 if the pool is not guided.
func (p *Pool) workOfEnded(outcome Outcome, now time.Time) float64 {
	if !p.isGuided(now) {
		return 0
	}
	return max(p.workOf(outcome.Route), p.meanWork())
}

// isSpeedKnown reports whether the guidance has the speed of a server, so that it need not be tried.
func (p *Pool) isSpeedKnown(m *member, now time.Time) bool {
	return m.speed.isListed && p.isGuided(now)
}

// timeFor returns the time in seconds after which a request sent to a server now is expected to be answered by it.
func (p *Pool) timeFor(m *member, w *Waiter, now time.Time) float64 {
	if work := p.work(w, now); work > 0 {
		return p.guidedBehind(m, work, m.guidedRequests(now), now)
	}
	return p.timeBehind(m, m.requests(now), now)
}

// MeanTimeOf returns the mean time in which requests of a route are answered: MeanServiceTime if the pool is not guided.
func (p *Pool) MeanTimeOf(route string, now time.Time) time.Duration {
	if !p.isGuided(now) {
		return p.MeanServiceTime()
	}
	return seconds(p.meanStay(p.workOf(route)))
}

// ExpectedTimeOf returns how long a request of a route is expected to take that has a slot at a server, its wait in the
// server's queue included.
func (p *Pool) ExpectedTimeOf(route string, id site.ServerID, now time.Time) time.Duration {
	m := p.members[id]
	if m == nil || !p.isGuided(now) {
		return p.ExpectedTime(id, now)
	}
	return seconds(p.guidedBehind(m, p.workOf(route), m.requests(now)-1, now))
}

// guidedBehind returns the time in seconds that a request of some work takes at a server behind a number of others.
func (p *Pool) guidedBehind(m *member, work, others float64, now time.Time) float64 {
	slots := p.usableSlots(m, now)
	behind := max(0, others+1-slots) / slots * p.meanWork()
	return m.relative(now) * (work + behind)
}

// guidedRequests returns the number of requests at a server, of this node and others. A report that grows old gives way to
// the number that is usual by the guidance: queues at busy servers last for many service times.
func (m *member) guidedRequests(now time.Time) float64 {
	usual := m.speed.usual
	return float64(m.inFlight()) + usual + (m.otherRequests-usual)*decay(now.Sub(m.reportAt), reportMemory)
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
