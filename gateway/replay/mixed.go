package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/urgency"
)

// Class is a kind of request of a mixed load, with its own arrivals, work, target and timeout.
type Class struct {
	Priority int
	Rate     func(at time.Duration) float64 // arrivals per second over all nodes
	Work     time.Duration                  // mean, at a typical server
	Target   time.Duration
	Timeout  time.Duration
}

// Mixed describes a load of several classes at one service. Without classes it is not used.
type Mixed struct {
	Classes []Class
	// From and To bound the arrivals of the callers that are counted.
	From, To time.Duration
	// SlowShare is the share of periods of slowPeriod in which the work of a server takes slowFactor times as long.
	SlowShare float64
	// Checks reports that servers tell the pace of their machine, so that nodes check their load before requests.
	Checks bool
	// LostZone is cut off with all of its servers at LostAt: they answer nothing any more. Empty: none.
	LostZone string
	LostAt   time.Duration
}

const (
	// mixedService is the name of the service of a mixed load.
	mixedService = "mixed"
	slowPeriod   = 400 * time.Millisecond
	// reportInterval is the time between two reports that the lessor receives: nodes do not report at the same time.
	reportInterval = 100 * time.Millisecond
	slowFactor     = 3
)

// mixedLessor decides the admissions by the reports of all nodes.
type mixedLessor struct {
	meter      *urgency.Meter
	controller *urgency.Controller
	counts     map[int]*classCounts
	answers    map[answersOf]*urgency.Answers
	random     *rand.Rand
}

type classCounts struct{ requests, returned int }

type answersOf struct {
	server   int
	priority int
}

// startMixed schedules the callers and the lessor of a mixed load.
func (r *replay) startMixed(seed uint64) {
	r.mixed = mixedLessor{
		meter:      urgency.NewMeter(),
		controller: urgency.New(nil, time.Time{}),
		counts:     map[int]*classCounts{},
		answers:    map[answersOf]*urgency.Answers{},
		random:     rand.New(rand.NewPCG(seed, seed+2)),
	}
	for i := range r.Mixed.Classes {
		r.schedule(0, func() { r.addClassCaller(&r.Mixed.Classes[i]) })
	}
	if r.Mixed.SlowShare > 0 {
		r.schedule(0, r.drawSlowServers)
	}
	if r.Mixed.LostZone != "" {
		r.schedule(r.Mixed.LostAt, r.loseZone)
	}
	if r.Policy != NoUrgency {
		r.schedule(reportInterval, r.report)
		r.schedule(urgency.UpdateInterval, r.updateGuidance)
	}
}

// addClassCaller adds a caller of a class and schedules the arrival of the next one.
func (r *replay) addClassCaller(class *Class) {
	elapsed := r.now.Sub(r.start)
	if elapsed > r.Length {
		return
	}
	gap := r.arrivals.ExpFloat64() / class.Rate(elapsed)
	r.schedule(time.Duration(gap*float64(time.Second)), func() { r.addClassCaller(class) })
	c := caller{arrived: r.now, retriesLeft: r.Callers.Retries, priority: class.Priority, class: class}
	if r.Callers.ImmediateShare > 0 && r.arrivals.Float64() < r.Callers.ImmediateShare {
		c.retriesAtOnce = true
		c.retriesLeft *= immediateRetryFactor
	}
	if r.isCounted(c) {
		r.result.Asked++
		if c.priority == 0 {
			r.result.Urgent++
		}
	}
	r.sendRequest(c)
}

// isCounted reports whether the request of a caller is part of the result.
func (r *replay) isCounted(c caller) bool {
	at := c.arrived.Sub(r.start)
	return c.class == nil || at >= r.Mixed.From && (r.Mixed.To == 0 || at < r.Mixed.To)
}

// timeout returns after which time a caller leaves, and objective after which its answer is late.
func (r *replay) timeout(c caller) time.Duration {
	if c.class != nil {
		return c.class.Timeout
	}
	return r.CallerTimeout
}

func (r *replay) objective(c caller) time.Duration {
	if c.class != nil {
		return c.class.Target
	}
	return r.Target
}

// meanWork returns the mean time that a request takes at a server.
func (r *replay) meanWork(s *server, c caller) float64 {
	if c.class == nil {
		return float64(s.Work)
	}
	work := float64(c.class.Work)
	if s.Slowness > 0 {
		work *= s.Slowness
	}
	if s.isSlow {
		work *= slowFactor
	}
	return work
}

// loadOf returns the load that a server reports now.
func (r *replay) loadOf(s *server) site.Load {
	load := site.Load{Running: s.running, Waiting: s.waiting, Slots: s.Slots}
	if r.Mixed.Checks {
		load.Slowdown = 1
		if s.isSlow {
			load.Slowdown = slowFactor
		}
	}
	return load
}

// check checks the load of servers before a request, as package router does.
func (r *replay) check(req *request) {
	if !r.Mixed.Checks {
		return
	}
	p, w := r.pools[req.node], req.waiter
	for _, ofOwnZone := range []bool{true, false} {
		for _, checked := range p.ServersToCheck(w, ofOwnZone, r.now) {
			s := &r.servers[r.indexOf(checked.ID)]
			if s.isDown {
				continue
			}
			load := r.loadOf(s)
			p.RecordCheck(checked.ID, &load, 0, false, r.now)
			w.Checked = append(w.Checked, checked.ID)
		}
		if !p.NeedsMoreChecks(w, r.now) {
			return
		}
	}
}

func (r *replay) drawSlowServers() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	for i := range r.servers {
		r.servers[i].isSlow = r.mixed.random.Float64() < r.Mixed.SlowShare
	}
	r.schedule(slowPeriod, r.drawSlowServers)
}

// loseZone cuts a zone off with its servers. Its nodes are not part of the rest of the replay: callers send to the others.
func (r *replay) loseZone() {
	for i := range r.servers {
		r.servers[i].isDown = r.servers[i].isDown || r.servers[i].Zone == r.Mixed.LostZone
	}
}

// noteClass counts a request for the report of its node.
func (r *replay) noteClass(c caller) {
	if c.class == nil {
		return
	}
	count := r.mixed.counts[c.priority]
	if count == nil {
		count = &classCounts{}
		r.mixed.counts[c.priority] = count
	}
	count.requests++
	if r.now.After(c.arrived.Add(immediateRetryDelay * immediateRetryFactor)) { // nodes infer it from the time left
		count.returned++
	}
}

// noteAnswer adds an answer for the report of its node.
func (r *replay) noteAnswer(ended *request, load site.Load) {
	if ended.class == nil {
		return
	}
	of := answersOf{ended.server, ended.priority}
	a := r.mixed.answers[of]
	if a == nil {
		a = &urgency.Answers{WasServed: true}
		r.mixed.answers[of] = a
	}
	a.Count++
	a.WithLoad++
	a.Total += r.now.Sub(ended.sent)
	a.Queued += max(load.Total()-1-load.Slots, 0)
}

// report has the lessor receive the reports of some of the nodes, while requests arrive.
func (r *replay) report() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	l := &r.mixed
	for _, class := range r.Mixed.Classes {
		if count := l.counts[class.Priority]; count != nil {
			l.meter.Count(mixedService, class.Priority, count.requests, count.returned, r.now)
		}
		for i := range r.servers {
			if a := l.answers[answersOf{i, class.Priority}]; a != nil {
				l.meter.Answer(mixedService, r.currentID(i), class.Priority, *a, r.now)
			}
		}
	}
	clear(l.counts)
	clear(l.answers)
	r.schedule(reportInterval, r.report)
}

// updateGuidance has the lessor send guidance while requests arrive.
func (r *replay) updateGuidance() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	l := &r.mixed
	l.meter.Usable(mixedService, r.registered, r.now)
	decision := l.controller.Update(mixedService, l.meter.Demands(mixedService, r.now), l.meter.Load(mixedService, r.now), l.meter, r.now)
	if r.Trace != nil {
		r.Trace(fmt.Sprintf("%v %+v", r.now.Sub(r.start), decision))
	}
	g := guidance.Guidance{Mixed: []site.ServiceName{mixedService}}
	if len(decision.Admission) > 0 && r.Policy != NoAdmission {
		g.Admissions = map[site.ServiceName]guidance.Admission{mixedService: decision.Admission}
	}
	r.schedule(shareDelay, func() {
		for i, p := range r.pools {
			p.SetGuidance(mixedService, g, r.now)
			r.deliver(i, p.Admit(r.now))
		}
	})
	r.schedule(urgency.UpdateInterval, r.updateGuidance)
}
