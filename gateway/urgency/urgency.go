// Package urgency decides which share of the requests of each priority the nodes of a site admit to a service that
// serves several. It has no I/O, clock or lock: times are arguments.
//
// It handles this load pattern: callers ask a service for more work than its servers can run, because a surge of long,
// less urgent requests comes or a zone is lost, while the more urgent requests alone would fit. The lessor receives the
// reports of all nodes twice a second and gives all of them the same shares: the most urgent requests first, and each
// less urgent priority what is left, but a quarter of its requests in any case.
//
// What is calculated from requests and their work decides how much is too much. Whether anything is refused at all is
// measured: while servers have short queues and free slots, an error of the calculation must not refuse requests.
package urgency

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

const (
	// UpdateInterval is the time between two updates, as between two reports of a node.
	UpdateInterval = 500 * time.Millisecond
	// targetUtilization is the part of the slots that admitted requests keep busy: the rest absorbs random arrivals.
	targetUtilization = 0.9
	// fallFactor is the part of the difference by which a share falls in a round. Half of it per round follows a surge
	// within two rounds, before the queues of servers are full, and halves the chance variation of the counts.
	fallFactor = 0.5
	// maxRise is by how much a share rises in a round, and maxIdleRise while servers are measured to be idle. After a
	// surge refused callers return for two to three seconds and queues are worked off; a share that rose at once would
	// let both in at the same time and fall again. Idle servers have no queue to work off.
	maxRise     = 0.04
	maxIdleRise = 0.2
	// idleQueue and idleUtilization bound, for each slot, the waiting requests and the busy slots of servers without
	// overload. At 0.75 busy slots most requests find a free one.
	idleQueue       = 0.1
	idleUtilization = 0.75
	// fullUtilization and fullQueue are the busy slots and waiting requests, for each slot, from which on servers are
	// overloaded whatever is calculated.
	fullUtilization = 0.9
	fullQueue       = 1.0
	// targetQueue is the number of waiting requests for each slot to which the capacity is corrected: the most urgent
	// requests then wait for about half of a mean service time.
	targetQueue = 0.5
	// queueDrainTime is the time in which longer queues are worked off. Reports and shares are in flight for more than a
	// second, so a shorter time would make the shares oscillate.
	queueDrainTime = 2 * time.Second
	// maxCorrectionStep bounds the change of the correction in a round, because reports and shares are in flight for more
	// than a second. minCorrection and maxCorrection bound the correction.
	maxCorrectionStep = 1.05
	minCorrection     = 0.6
	maxCorrection     = 1.3
	// seedValidity is for how long a new lessor goes on with the shares that its node had received, until it has
	// measured the service. Nodes drop older ones as well.
	seedValidity = 5 * time.Second
)

// Demand is what callers ask a service for.
type Demand struct {
	Priority int
	First    float64 // requests a second that had not been refused before
	Returned float64 // requests a second that had
}

// Load is what servers report with their answers, for each slot.
type Load struct {
	Queued  float64 // requests waiting
	Busy    float64 // slots busy, from 0 to 1
	IsKnown bool
	Age     time.Duration // of the latest report
}

// Estimates gives the work of requests and the capacity of services.
type Estimates interface {
	// Work returns the mean service time of a service's requests of a priority at a typical server, in seconds.
	Work(service site.ServiceName, priority int) (seconds float64, known bool)
	// Capacity returns how many requests the usable servers of a service run at once, in slots of typical servers.
	Capacity(service site.ServiceName) (busySlots float64, known bool)
}

// Decision is the admission of a service with the inputs that it follows from.
type Decision struct {
	Service    site.ServiceName   `json:"service"`
	Admission  guidance.Admission `json:"admission"` // empty: all requests are admitted
	Demand     map[int]float64    `json:"demand"`    // slots that the requests of each priority would keep busy
	Capacity   float64            `json:"capacity"`  // slots that admitted requests may keep busy
	Correction float64            `json:"correction"`
	IsKnown    bool               `json:"isKnown"` // demand and capacity are
	Load       Load               `json:"load"`
}

// Controller decides the shares of services.
type Controller struct {
	services  map[site.ServiceName]*service
	seedUntil time.Time
}

type service struct {
	shares     map[int]float64
	correction float64
}

// New returns a controller of a lessor. It goes on with admissions that its node received at a time, which may be empty.
func New(seed map[site.ServiceName]guidance.Admission, receivedAt time.Time) *Controller {
	c := &Controller{services: map[site.ServiceName]*service{}}
	if receivedAt.IsZero() {
		return c
	}
	c.seedUntil = receivedAt.Add(seedValidity)
	for name, admission := range seed {
		c.services[name] = &service{shares: maps.Clone(admission), correction: 1}
	}
	return c
}

// Forget removes all services but the given ones, which are mixed.
func (c *Controller) Forget(mixed []site.ServiceName) {
	maps.DeleteFunc(c.services, func(name site.ServiceName, _ *service) bool { return !slices.Contains(mixed, name) })
}

// Update decides the admission of a mixed service after another round of reports.
func (c *Controller) Update(name site.ServiceName, demands []Demand, load Load, estimates Estimates, now time.Time) Decision {
	s := c.services[name]
	if s == nil {
		s = &service{shares: map[int]float64{}, correction: 1}
		c.services[name] = s
	}
	decision := Decision{Service: name, Load: load, Demand: map[int]float64{}}
	slots, isCapacityKnown := estimates.Capacity(name)
	work, isWorkKnown := workOf(name, demands, estimates)
	decision.IsKnown = isCapacityKnown && isWorkKnown && load.IsKnown && slots > 0
	switch {
	case decision.IsKnown:
		s.update(demands, work, slots, &decision)
	case !now.Before(c.seedUntil):
		clear(s.shares)
		s.correction = 1
	}
	decision.Correction = s.correction
	if s.refuses() {
		decision.Admission = maps.Clone(s.shares)
	}
	return decision
}

// workOf returns the work of each priority that has requests, and whether all of it is known.
func workOf(name site.ServiceName, demands []Demand, estimates Estimates) (work map[int]float64, known bool) {
	work = map[int]float64{}
	for _, d := range demands {
		seconds, isKnown := estimates.Work(name, d.Priority)
		if !isKnown {
			return nil, false
		}
		work[d.Priority] = seconds
	}
	return work, true
}

// update moves the shares towards those that fit the capacity. Requests that return are part of the demand only as far
// as they are admitted: otherwise refusing would raise the demand, and there would be overload for as long as requests are
// refused. A share that is below one applies to all requests, so it is what is granted of all of them.
func (s *service) update(demands []Demand, work map[int]float64, slots float64, decision *Decision) {
	total, requests, all := 0.0, 0.0, map[int]float64{}
	for _, d := range demands {
		rate := d.First + d.Returned*s.share(d.Priority)
		decision.Demand[d.Priority] = rate * work[d.Priority]
		all[d.Priority] = (d.First + d.Returned) * work[d.Priority]
		total += decision.Demand[d.Priority]
		requests += rate
	}
	s.correct(total, targetUtilization*slots, decision.Load)
	decision.Capacity = targetUtilization * slots * s.correction
	if requests > 0 {
		backlog := max(decision.Load.Queued-targetQueue, 0) * slots * total / requests
		decision.Capacity -= backlog / queueDrainTime.Seconds()
	}
	decision.Capacity = max(decision.Capacity, min(kept(decision.Demand), targetUtilization*slots))
	targets := allocate(decision.Demand, decision.Capacity)
	for priority, target := range targets {
		if target < 1 {
			targets[priority] = max(target*decision.Demand[priority]/all[priority], guidance.MinShare)
		}
	}
	rise := maxRise
	if decision.Load.isIdle() {
		rise = maxIdleRise
		for priority := range targets {
			targets[priority] = 1
		}
	}
	for priority, target := range targets {
		s.shares[priority] = approach(s.share(priority), target, rise)
	}
	maps.DeleteFunc(s.shares, func(priority int, _ float64) bool { _, inUse := targets[priority]; return !inUse })
}

// kept returns the demand that the correction and the working off of queues do not refuse: all of the most urgent requests, and the least share of the others.
func kept(demand map[int]float64) float64 {
	total := 0.0
	for i, priority := range slices.Sorted(maps.Keys(demand)) {
		if i == 0 {
			total += demand[priority]
		} else {
			total += guidance.MinShare * demand[priority]
		}
	}
	return total
}

// share returns the share of a priority, 1 if it has none.
func (s *service) share(priority int) float64 {
	if share, exists := s.shares[priority]; exists {
		return share
	}
	return 1
}

func (s *service) refuses() bool {
	for _, share := range s.shares {
		if share < 1 {
			return true
		}
	}
	return false
}

// isIdle reports whether servers have short queues and free slots.
func (l Load) isIdle() bool { return l.Queued < idleQueue && l.Busy < idleUtilization }

// isFull reports whether servers are overloaded whatever is calculated.
func (l Load) isFull() bool { return l.Queued >= fullQueue && l.Busy >= fullUtilization }

// correct corrects the capacity by the queues of servers while there is overload, and lets the correction go without it.
func (s *service) correct(demand, capacity float64, load Load) {
	step := 1.0
	switch {
	case load.Queued > targetQueue && (load.isFull() || demand > capacity*min(s.correction, 1)):
		step = math.Sqrt(targetQueue / load.Queued)
	case load.isIdle() && demand > capacity*s.correction:
		step = maxCorrectionStep
	case demand <= capacity*min(s.correction, 1):
		step = 1 / s.correction
	}
	s.correction *= min(max(step, 1/maxCorrectionStep), maxCorrectionStep)
	s.correction = min(max(s.correction, minCorrection), maxCorrection)
}

// allocate divides the capacity among the priorities, the most urgent first, and returns the share that each gets.
func allocate(demand map[int]float64, capacity float64) map[int]float64 {
	priorities := slices.Sorted(maps.Keys(demand))
	kept := 0.0 // for the priorities behind
	for _, priority := range priorities {
		kept += guidance.MinShare * demand[priority]
	}
	shares := make(map[int]float64, len(demand))
	left := capacity
	for _, priority := range priorities {
		busy := demand[priority]
		kept -= guidance.MinShare * busy
		granted := min(busy, max(left-kept, guidance.MinShare*busy))
		left -= granted
		shares[priority] = 1
		if busy > 0 {
			shares[priority] = granted / busy
		}
	}
	return shares
}

// approach returns a share after a round.
func approach(share, target, rise float64) float64 {
	if target < share {
		return max(share+fallFactor*(target-share), guidance.MinShare)
	}
	return min(share+rise, target)
}
