package ceiling

import "math"

// usableShare is the share of the capacity up to which the estimate admits work, as gateway/urgency does. Erlang C describes a steady
// state, which has no finite wait at full load.
const usableShare = 0.9

// estimator gives the distribution of response times of a service in one second.
type estimator struct {
	service *Service
	span    Span
	utilized,
	meanWork,
	capacity float64
	pooled queueing // of a service that is not keyed
}

// newEstimator takes the utilization and the mean work from the requests that arrive in the second and are answered by the plan.
func newEstimator(service *Service, p *plan, second int) *estimator {
	e := &estimator{service: service, span: Span{float64(second), float64(second + 1)}}
	from, until := second*stepsPerSecond, (second+1)*stepsPerSecond
	requests, work := 0.0, 0.0
	for i, r := range p.routes {
		served := sum(p.inTime[i][from:until]) + sum(p.late[i][from:until])
		work += served
		requests += served / r.Work
	}
	if requests > 0 {
		e.meanWork = work / requests
	}
	e.capacity = service.capacity(e.span)
	if e.capacity > 0 {
		e.utilized = min(usableShare, sum(p.run[from:until])/e.capacity)
		if !service.Keyed && e.meanWork > 0 {
			e.pooled = e.pool()
		}
	}
	return e
}

// within returns the probability that a request of a route is answered within a time. In a keyed service each server has a queue of
// its own and gets requests in proportion to its speed; another service has one queue for all of its slots.
func (e *estimator) within(r *Route, seconds float64) float64 {
	if e.capacity == 0 || e.meanWork == 0 {
		return 0
	}
	total := 0.0
	for i := range e.service.Groups {
		g := &e.service.Groups[i]
		rate, presence := g.rate(e.span), g.presence(e.span)
		if rate == 0 {
			continue
		}
		q := e.pooled
		if e.service.Keyed {
			q = newQueueing(e.service.Slots, e.utilized, e.meanWork*presence/rate)
		}
		total += float64(g.Count*e.service.Slots) * rate / e.capacity * g.withNoise(q, seconds, r.Work*presence*g.noiseRate()/rate)
	}
	return total
}

// pool returns the queue of all slots that are present.
func (e *estimator) pool() queueing {
	slots := 0.0
	for i := range e.service.Groups {
		g := &e.service.Groups[i]
		slots += float64(g.Count*e.service.Slots) * g.presence(e.span)
	}
	// The service time is that of a present slot, also where fewer than one is present on average.
	return newQueueing(int(max(1, math.Round(slots))), e.utilized, e.meanWork*slots/e.capacity)
}

// withNoise weighs the fast and slow times of the machine by their length. service is the time without noise.
func (g *Group) withNoise(q queueing, seconds, service float64) float64 {
	return (1-g.NoiseShare)*q.within(seconds, service) + g.NoiseShare*q.within(seconds, service*g.NoiseFactor)
}

// estimate reduces the shares of the plan by the requests whose wait and service time are longer than the objective or the deadline.
func (e *estimator) estimate(r *Route, planned Shares) Shares {
	if planned == (Shares{}) {
		return Shares{} // no requests
	}
	objective, deadline := e.within(r, r.Objective), e.within(r, r.Deadline)
	inTime := planned.InTime * objective
	late := planned.InTime*max(0, deadline-objective) + planned.Late*deadline
	return Shares{InTime: inTime, Late: late, Lost: max(0, 1-inTime-late)}
}
