package speed

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// answerVariance is the relative variance of a service time that one answer shows: work varies by its mean, and the
	// slowdown of machines adds half of that.
	answerVariance = 1.5
	// priorAnswers is the number of answers that count as much as the assumption that a server is typical. Speeds vary by
	// about 0.35, which is answerVariance after so many answers.
	priorAnswers = 12
	// startAnswers is the same for a server whose speed the guidance of an earlier lessor contains.
	startAnswers = 40
	// changeDeviations is the number of standard deviations by which the short-term estimate must differ from the long-term
	// one to be used, and keepDeviations that by which it must go on to differ. In a simulation of 138 servers of constant
	// speed the difference stayed below 2.7 in 7,452 estimates; a fast server that becomes five times slower exceeds 3 after
	// three seconds.
	changeDeviations = 3
	keepDeviations   = 2
	// minChangeAnswers is the number of answers that the short-term estimate needs.
	minChangeAnswers = 4
	// maxLoadFactor bounds the factor, in either direction, by which the load that a server reports changes the estimate.
	maxLoadFactor = 4
	// rounds is the number of times that work and relative service times are computed from each other in an update. Each
	// update begins with the results of the one before.
	rounds = 2
	// maxRelative bounds estimates in either direction.
	maxRelative = 16
)

// Estimate is the estimate of one server.
type Estimate struct {
	// Relative is the service time relative to the typical server of the service; 2: it takes twice as long.
	Relative float64
	// Deviation is the standard deviation of Relative, relative to it.
	Deviation float64
	// Answers is the number of independent answers that it is based on.
	Answers float64
	// Age is the time since the latest report.
	Age time.Duration
	// Utilization is the mean share of the slots that were taken at the answers.
	Utilization float64
	// IsShortTerm reports that the server has changed, and that only its latest answers count.
	IsShortTerm bool
	// Concurrency is the number of running requests that the server takes well; 0: all of its slots.
	Concurrency int
	// IsTrial reports that nodes should not limit the server to Concurrency for a while, to find out whether it still slows down.
	IsTrial bool
}

// Service holds the estimates of a service.
type Service struct {
	Work    float64 // mean over the answers, in seconds at a typical server
	Answers float64
	Servers map[site.ServerID]Estimate
}

// Estimates is the result of an update.
type Estimates struct {
	Services map[site.ServiceName]Service
	Work     map[string]float64 // seconds at a typical server, by route
}

// sample is a server of a service in an update.
type sample struct {
	id    site.ServerID
	slots int
	*server
	estimate Estimate
}

// Update returns the estimates of the registered servers that have sent answers.
func (e *Estimator) Update(registered map[site.ServerID]site.Server, now time.Time) Estimates {
	samples := map[site.ServiceName][]*sample{}
	for _, id := range slices.Sorted(maps.Keys(e.servers)) { // sums of floating-point numbers depend on their order
		s := e.servers[id]
		r, isRegistered := registered[id]
		switch {
		case isRegistered:
			samples[r.Service] = append(samples[r.Service], &sample{id: id, slots: r.Slots, server: s})
		case now.Sub(s.reportedAt) > retention:
			delete(e.servers, id)
		}
	}
	result := Estimates{Services: map[site.ServiceName]Service{}}
	for service, of := range samples {
		result.Services[service] = e.updateService(service, of, now)
	}
	result.Work = e.workByRoute(samples)
	return result
}

func (e *Estimator) updateService(service site.ServiceName, samples []*sample, now time.Time) Service {
	for _, s := range samples {
		s.settle(now)
	}
	for range rounds {
		e.updateWork(service, samples, now)
		for _, s := range samples {
			e.updateServer(service, s, now)
		}
		e.center(service, samples)
	}
	result := Service{Servers: make(map[site.ServerID]Estimate, len(samples))}
	for _, s := range samples {
		s.estimate.Relative = math.Exp(s.logRelative)
		s.concurrency.update(s.slots, now)
		s.estimate.Concurrency = s.concurrency.limit
		s.estimate.IsTrial = s.concurrency.limit > 0 && isTrial(s.id, now.Sub(e.begunAt))
		result.Servers[s.id] = s.estimate
		for route, of := range s.long.routes {
			result.Answers += of.answers
			result.Work += of.answers * e.work[serviceRoute{service, route}]
		}
	}
	result.Work /= max(result.Answers, negligible)
	return result
}

// updateWork computes the work of each route from the times of its answers at all servers.
func (e *Estimator) updateWork(service site.ServiceName, samples []*sample, now time.Time) {
	startWeight := startAnswers * fade(now.Sub(e.start.at))
	total := map[string]routeSum{}
	for _, s := range samples {
		typical := s.long.serviceShare(s.slots) / math.Exp(s.logRelative)
		for route, time := range s.long.withoutWait(s.slots) {
			sum := total[route]
			sum.answers += s.long.routes[route].answers
			sum.time += time * typical
			total[route] = sum
		}
	}
	for route, of := range total {
		work, weight := of.time, of.answers
		if known := e.start.work[route]; known > 0 {
			work, weight = work+startWeight*known, weight+startWeight
		}
		e.work[serviceRoute{service, route}] = work / max(weight, negligible)
	}
}

// updateServer computes the relative service time of a server.
func (e *Estimator) updateServer(service site.ServiceName, s *sample, now time.Time) {
	work := func(route string) float64 { return e.work[serviceRoute{service, route}] }
	prior, priorWeight, startWeight := 0.0, float64(priorAnswers), 0.0
	if known := e.start.speeds[s.id]; known > 0 {
		faded := fade(now.Sub(e.start.at))
		prior, startWeight = math.Log(known)*faded, startAnswers*faded
		priorWeight = max(priorWeight, startWeight)
	}
	long, answers := s.long.logRelative(work, s.slots), s.long.effective()
	s.estimate = Estimate{Age: now.Sub(s.reportedAt), Utilization: s.long.utilization(s.slots)}
	if short, of := s.short.logRelative(work, s.slots), s.short.effective(); s.noteChange(long-short, answers, of, now) {
		long, answers = short, of
		s.estimate.IsShortTerm = true
		prior, priorWeight, startWeight = 0, minChangeAnswers, 0 // the change has shown that the server is not typical
	}
	faded := fade(s.estimate.Age)
	s.estimate.Answers = answers*faded + startWeight
	s.estimate.Deviation = math.Sqrt(answerVariance / (answers*faded + priorWeight))
	s.logRelative = bounded((answers*long+priorWeight*prior)/(answers+priorWeight), maxRelative) * faded
}

// fade returns the factor by which an estimate without reports for so long has decayed towards 1.
func fade(age time.Duration) float64 {
	return math.Exp2(-max(age-silence, 0).Seconds() / decayHalfLife.Seconds())
}

// noteChange records whether the logarithms of the estimates of a server differ by more than chance explains, and returns it.
func (s *server) noteChange(difference, answers, recent float64, now time.Time) bool {
	deviations := float64(changeDeviations)
	if s.hasChanged() {
		deviations = keepDeviations
	}
	differs := recent >= minChangeAnswers && math.Abs(difference) > deviations*math.Sqrt(answerVariance/answers+answerVariance/recent)
	switch {
	case !differs:
		s.changedAt = time.Time{}
	case !s.hasChanged():
		s.changedAt = now
	}
	return differs
}

// center makes the geometric mean of the relative service times 1. Without it, work and relative service times would
// drift apart.
func (e *Estimator) center(service site.ServiceName, samples []*sample) {
	sum, count := 0.0, 0.0
	for _, s := range samples {
		if s.estimate.Answers >= priorAnswers && !s.estimate.IsShortTerm {
			sum += s.logRelative
			count++
		}
	}
	if count == 0 {
		return
	}
	mean := sum / count
	for _, s := range samples {
		s.logRelative -= mean
	}
	for key := range e.work {
		if key.service == service {
			e.work[key] *= math.Exp(mean)
		}
	}
}

// workByRoute returns the mean work of each named route over its answers at all services.
func (e *Estimator) workByRoute(samples map[site.ServiceName][]*sample) map[string]float64 {
	total := map[string]routeSum{}
	for service, of := range samples {
		for _, s := range of {
			for route, answered := range s.long.routes {
				sum := total[route]
				sum.answers += answered.answers
				sum.time += answered.answers * e.work[serviceRoute{service, route}]
				total[route] = sum
			}
		}
	}
	delete(total, "")
	work := make(map[string]float64, len(total))
	for route, of := range total {
		work[route] = of.time / of.answers
	}
	return work
}

// hasLoad reports whether the load in the reports is possible.
func (s *sums) hasLoad(slots int) bool {
	return slots > 0 && s.loads > 0 && s.seconds > 0 && s.busy <= s.loads*float64(slots)
}

// utilization returns the mean share of the slots that were taken, 0 if it is not known.
func (s *sums) utilization(slots int) float64 {
	if !s.hasLoad(slots) {
		return 0
	}
	return s.busy / s.loads / float64(slots)
}

// wait returns the mean wait of a request in the server's queue in seconds, by Little's law: a request that leaves sees
// the mean queue, which is the rate of requests times their wait.
func (s *sums) wait(slots int) float64 {
	if !s.hasLoad(slots) || s.answers <= 0 {
		return 0
	}
	return s.queued / s.loads / (s.answers / s.seconds)
}

// withoutWait returns the time of the answers to the requests of each route in seconds less their wait in the queue.
func (s *sums) withoutWait(slots int) map[string]float64 {
	wait := s.wait(slots)
	times := make(map[string]float64, len(s.routes))
	for route, of := range s.routes {
		times[route] = max(of.time-of.waited*wait, of.time/maxLoadFactor)
	}
	return times
}

// serviceShare returns the time that the server worked on its answers as a share of their time without the wait. It combines
// two sources by the utilization u: that time itself, weight 1-u, and the slots taken, weight u. The latter is exact when
// all slots are always taken, where nearly all of the time is wait.
func (s *sums) serviceShare(slots int) float64 {
	times := 0.0
	for _, time := range s.withoutWait(slots) {
		times += time
	}
	if times <= 0 || !s.hasLoad(slots) {
		return 1
	}
	u := s.utilization(slots)
	return 1 - u + u*s.busy/s.loads*s.seconds/times
}

// logRelative returns the logarithm of the relative service time by the reports alone. The load that the server reports
// changes it by maxLoadFactor at most.
func (s *sums) logRelative(work func(string) float64, slots int) float64 {
	expected, taken, worked := 0.0, 0.0, 0.0
	for route, time := range s.withoutWait(slots) {
		expected += s.routes[route].answers * work(route)
		taken += s.routes[route].time
		worked += time
	}
	if expected <= 0 || taken <= 0 {
		return 0
	}
	measured := math.Log(taken / expected)
	byLoad := s.serviceShare(slots) * worked / taken
	return measured + bounded(math.Log(max(byLoad, negligible)), maxLoadFactor)
}

// bounded limits a logarithm to a factor in either direction.
func bounded(log, factor float64) float64 {
	return min(max(log, -math.Log(factor)), math.Log(factor))
}
