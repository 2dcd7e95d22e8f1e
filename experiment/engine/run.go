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

// setupTime is the time before the first arrival, during which lessors claim their
// groups, shards are placed and leases begin.
const setupTime = 5 * time.Second

// progressEvery is the virtual time between two calls of Progress.
const progressEvery = time.Second

// answerGrace is the time after its deadline at which a caller stops waiting for an answer.
const answerGrace = 100 * time.Millisecond

// contextCheckEvents is the number of events between two checks of the context.
const contextCheckEvents = 4096

// Run executes one run and returns its figures. Equal options produce equal
// figures. The only possible error is that of the context.
func Run(ctx context.Context, options *Options) (*Figures, error) {
	s := newSite(options)
	s.startDuties()
	if err := s.until(ctx, epoch.Add(setupTime)); err != nil {
		return nil, err
	}
	s.startTraffic()
	if err := s.until(ctx, epoch.Add(setupTime+options.Traffic.Duration)); err != nil {
		return nil, err
	}
	s.availability.finish()
	return s.measure.figures(), nil
}

// until runs the events up to the time end.
func (s *site) until(ctx context.Context, end time.Time) error {
	for count := 1; s.clock.step(end); count++ {
		if count%contextCheckEvents == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
	}
	s.clock.now = end
	return nil
}

// startDuties schedules the periodic tasks.
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
	s.clock.every(s.planning.reporting.Interval, s.planning.report)
	s.clock.every(planEvery, s.planning.decide)
}

// tickMembers runs the members that are lessor or standby of their group on every tick,
// and the other members at every heartbeat interval.
func (n *node) tickMembers() {
	for _, m := range n.members {
		if m.detail || n.site.clock.now.Sub(epoch)%heartbeatEvery == 0 {
			m.observe()
		}
	}
}

// startTraffic starts the callers' requests, the faults and the collection of figures.
func (s *site) startTraffic() {
	s.warmGates()
	s.started = true
	if s.options.Cold {
		for _, id := range sortedKeys(s.servers) {
			s.servers[id].coldUntil = s.clock.now.Add(coldTime)
		}
	}
	s.scheduleFaults(s.options.Faults)
	s.clock.every(time.Second, s.measure.tick)
	s.clock.every(progressEvery, s.progress)
	s.nextArrival(0)
}

func (s *site) progress() {
	if s.options.Progress != nil {
		s.options.Progress(s.clock.elapsed()-setupTime, s.options.Traffic.Duration)
	}
}

// nextArrival schedules the arrivals one by one, so that the queue of
// events stays short.
func (s *site) nextArrival(index int) {
	if index >= len(s.options.Arrivals) {
		return
	}
	arrival := &s.options.Arrivals[index]
	since := epoch.Add(setupTime + arrival.At)
	s.clock.after(since.Sub(s.clock.now), func() {
		s.nextArrival(index + 1)
		s.measure.arrived(arrival.Service)
		s.request(arrival, since, s.options.CallerRetries)
	})
}

// request sends one request of a caller, which retries up to retriesLeft times if the answer
// contains a retry delay.
func (s *site) request(arrival *model.Arrival, since time.Time, retriesLeft int) {
	service := &s.deployment.Services[arrival.Service]
	deadline := s.clock.now.Add(service.Deadline)
	c := &call{
		service:    service,
		arrival:    arrival,
		key:        s.key(arrival.Service, arrival.Key),
		work:       arrival.Work,
		caller:     "caller-" + strconv.Itoa(arrival.Caller),
		deadline:   deadline,
		idempotent: arrival.Idempotent,
		trace:      &trace{},
	}
	settled := false
	c.done = func(v outcome.Verdict) {
		s.clock.after(s.deployment.CallerDelay, func() {
			if !settled {
				settled = true
				s.answered(c, since, retriesLeft, v)
			}
		})
	}
	// A lost entry VM does not answer.
	s.clock.after(service.Deadline+answerGrace, func() { c.done(outcome.Unknown(callerapi.ReasonNoAnswer)) })
	s.clock.after(s.deployment.CallerDelay, func() { s.entry(arrival.Entry).enter(c) })
}

func (s *site) answered(c *call, since time.Time, retriesLeft int, v outcome.Verdict) {
	if v.Outcome == serverapi.OutcomeNotRun && v.RetryAfter > 0 && retriesLeft > 0 {
		s.measure.callerRetries++
		wait := v.RetryAfter + time.Duration(s.random.Float64()*callerRetryLate*float64(v.RetryAfter))
		s.clock.after(wait, func() { s.request(c.arrival, since, retriesLeft-1) })
		return
	}
	s.measure.ended(c.arrival, since, c.trace, v)
}
