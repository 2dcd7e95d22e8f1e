package engine

import (
	"context"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// lead is the time before the first arrival, in which lessors claim their
// groups, shards are placed and leases begin.
const lead = 5 * time.Second

// progressEvery is how much virtual time passes between two calls of Progress.
const progressEvery = time.Second

// lostAnswer is how long after its deadline a caller gives up on an answer.
const lostAnswer = 100 * time.Millisecond

// contextEvery is how many events pass between two looks at the context.
const contextEvery = 4096

// Run makes one run and returns its figures. The same options give the same
// figures. The error is the context's.
func Run(ctx context.Context, options *Options) (*Figures, error) {
	s := newSite(options)
	s.startDuties()
	if err := s.until(ctx, epoch.Add(lead)); err != nil {
		return nil, err
	}
	s.startTraffic()
	if err := s.until(ctx, epoch.Add(lead+options.Traffic.Duration)); err != nil {
		return nil, err
	}
	s.availability.finish()
	return s.measure.figures(), nil
}

// until runs the events up to a moment.
func (s *site) until(ctx context.Context, end time.Time) error {
	for count := 1; s.clock.step(end); count++ {
		if count%contextEvery == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	s.clock.now = end
	return nil
}

// startDuties schedules what runs at fixed intervals.
func (s *site) startDuties() {
	s.log.poll()
	s.clock.every(logPoll, s.log.poll)
	s.clock.every(sweepEvery, func() {
		for _, n := range s.nodeList {
			n.sweep()
		}
	})
	s.clock.every(lessorTick, func() {
		for _, n := range s.nodeList {
			n.tickMembers()
		}
	})
	s.clock.every(s.planning.reporting.Every, s.planning.report)
	s.clock.every(planEvery, s.planning.decide)
}

// tickMembers lets the members that have a part in their group look at the
// time.
func (n *node) tickMembers() {
	for _, m := range n.members {
		if m.detail || n.site.clock.now.Sub(epoch)%heartbeatEvery == 0 {
			m.observe()
		}
	}
}

// startTraffic begins the callers' requests, the faults and the figures.
func (s *site) startTraffic() {
	s.warmGates()
	s.started = true
	if s.options.Cold {
		for _, id := range sortedKeys(s.servers) {
			s.servers[id].coldUntil = s.clock.now.Add(coldTime)
		}
	}
	s.plant(s.options.Faults)
	s.clock.every(time.Second, s.measure.tick)
	s.clock.every(progressEvery, s.progress)
	s.nextArrival(0)
}

func (s *site) progress() {
	if s.options.Progress != nil {
		s.options.Progress(s.clock.elapsed()-lead, s.options.Traffic.Duration)
	}
}

// nextArrival schedules the arrivals one after another, so that the queue of
// events stays short.
func (s *site) nextArrival(index int) {
	if index >= len(s.options.Arrivals) {
		return
	}
	arrival := &s.options.Arrivals[index]
	since := epoch.Add(lead + arrival.At)
	s.clock.after(since.Sub(s.clock.now), func() {
		s.nextArrival(index + 1)
		s.measure.arrived(arrival.Service)
		s.request(arrival, since, s.options.CallerRetries)
	})
}

// request sends one request of a caller, who asks again so many times when told
// to come back.
func (s *site) request(arrival *model.Arrival, since time.Time, again int) {
	service := &s.deployment.Services[arrival.Service]
	deadline := s.clock.now.Add(service.Deadline)
	c := &call{
		service:  service,
		arrival:  arrival,
		key:      s.key(arrival.Service, arrival.Key),
		work:     arrival.Work,
		caller:   "caller-" + strconv.Itoa(arrival.Caller),
		deadline: deadline,
		repeat:   arrival.Idempotent,
		trace:    &trace{},
	}
	settled := false
	c.done = func(v outcome.Verdict) {
		s.clock.after(s.deployment.CallerDelay, func() {
			if !settled {
				settled = true
				s.answered(c, since, again, v)
			}
		})
	}
	// An entry VM that is lost answers nothing.
	s.clock.after(service.Deadline+lostAnswer, func() { c.done(outcome.Unknown(callerapi.ReasonNoAnswer)) })
	s.clock.after(s.deployment.CallerDelay, func() { s.entry(arrival.Entry).enter(c) })
}

func (s *site) answered(c *call, since time.Time, again int, v outcome.Verdict) {
	if v.Outcome == serverapi.OutcomeNotRun && v.RetryAfter > 0 && again > 0 {
		s.measure.calls++
		wait := v.RetryAfter + time.Duration(s.random.Float64()*callerRetryLate*float64(v.RetryAfter))
		s.clock.after(wait, func() { s.request(c.arrival, since, again-1) })
		return
	}
	s.measure.ended(c.arrival, since, c.trace, v)
}
