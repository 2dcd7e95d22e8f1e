package ceiling

import (
	"math"
	"slices"
)

const (
	stepsPerSecond = 5 // time steps of the bound
	step           = 1.0 / stepsPerSecond
	// unitsPerSecond converts work to whole numbers for the flow.
	unitsPerSecond = 1e9
	// maxUnits bounds the work of a step. No capacity that Parse admits reaches it.
	maxUnits = 1e18
	// greatestDensity is the greatest value per work of a service in the flow. It leaves six digits below the range of int64 for the sums
	// along a path, and nine above the preference for earlier steps.
	greatestDensity = 1e12
)

// plan is the schedule of greatest value of one service.
type plan struct {
	routes   []*Route
	arrivals [][]float64 // work in slot seconds by route and step of arrival
	inTime   [][]float64 // of that, run within the objective
	late     [][]float64 // of that, run within the deadline
	capacity []float64   // slot seconds by step
	run      []float64   // slot seconds by step in which the work is run
	backlog  []float64   // slot seconds at the end of the step that have arrived and are run later
}

// routesOf returns the routes of a service.
func (s *Site) routesOf(service string) []*Route {
	var routes []*Route
	for i := range s.Routes {
		if s.Routes[i].Service == service {
			routes = append(routes, &s.Routes[i])
		}
	}
	return routes
}

// requests returns the number of requests of a route that arrive in a span.
func (s *Site) requests(r *Route, span Span) float64 {
	total := 0.0
	for i := range s.Demand.Zones {
		total += s.Demand.factor(&s.Demand.Zones[i], span)
	}
	return total * r.Rate * span.length()
}

func stepSpan(i int) Span { return Span{float64(i) / stepsPerSecond, float64(i+1) / stepsPerSecond} }

// schedule returns the plan of greatest value if the share usable of the capacity can be used. Work is divisible and every server can
// run any of it, so that no way to distribute requests earns more. A request counts with its whole step of arrival: it is answered in
// time in every step that begins before the objective of the last arrival of its step has passed.
func schedule(site *Site, service *Service, usable float64) *plan {
	p := newPlan(site, service, usable)
	steps := len(p.arrivals[0])
	supply := make([]int64, 0, len(p.routes)*steps)
	for _, arrivals := range p.arrivals {
		for _, work := range arrivals {
			supply = append(supply, units(work))
		}
	}
	room := make([]int64, len(p.capacity))
	for i, capacity := range p.capacity {
		room[i] = units(capacity)
	}
	n := newNetwork(slices.Clone(supply), room)
	greatest := 0.0
	for _, r := range p.routes {
		greatest = max(greatest, r.Value/r.Work)
	}
	for i, r := range p.routes {
		for at := range steps {
			connectWindow(n, i*steps+at, at, r, greatest)
		}
	}
	n.maximize()
	p.read(n, supply)
	return p
}

// units returns work as a whole number, rounded up so that the bound is not too low.
func units(work float64) int64 { return int64(math.Ceil(min(work*unitsPerSecond, maxUnits))) }

// newPlan returns a plan with arrivals and capacity only. The capacity goes on after the last arrival for as long as deadlines allow.
func newPlan(site *Site, service *Service, usable float64) *plan {
	p := &plan{routes: site.routesOf(service.Name)}
	steps, longest := site.Seconds*stepsPerSecond, 0
	for _, r := range p.routes {
		longest = max(longest, stepsWithin(r.Deadline))
		arrivals := make([]float64, steps)
		for i := range arrivals {
			arrivals[i] = site.requests(r, stepSpan(i)) * r.Work
		}
		p.arrivals = append(p.arrivals, arrivals)
		p.inTime = append(p.inTime, make([]float64, steps))
		p.late = append(p.late, make([]float64, steps))
	}
	for i := range steps + longest {
		p.capacity = append(p.capacity, usable*service.capacity(stepSpan(i))*step)
	}
	p.run, p.backlog = make([]float64, len(p.capacity)), make([]float64, len(p.capacity))
	return p
}

// stepsWithin returns how many steps after that of its arrival a request can be run within a time. The tolerance keeps whole
// multiples of a step from being rounded up.
func stepsWithin(seconds float64) int { return int(math.Ceil(seconds/step - 1e-9)) }

// connectWindow links the work that arrives in a step with the steps in which it can be run. Earlier steps are worth one unit more each,
// so that work is not put off without need; this is below the resolution of the results. Values count relative to the greatest value per
// work of the service, so that their unit does not matter.
func connectWindow(n *network, source, at int, r *Route, greatest float64) {
	inTime, last := stepsWithin(r.Objective), stepsWithin(r.Deadline)
	for wait := 0; wait <= last; wait++ {
		value := r.ValueLate
		if wait <= inTime {
			value = r.Value
		}
		density := int64(value / r.Work / max(greatest, math.SmallestNonzeroFloat64) * greatestDensity)
		n.connect(source, at+wait, max(density, 1)+int64(last-wait))
	}
}

// read takes the flow of the network as the plan. A unit of a source is its share of the arrivals, so that rounding changes nothing where
// all work is run. It is less than a whole unit, except where the supply is limited by maxUnits.
func (p *plan) read(n *network, supply []int64) {
	steps := len(p.arrivals[0])
	for _, l := range n.links {
		if l.flow == 0 {
			continue
		}
		route, at := l.source/steps, l.source%steps
		work := float64(l.flow) * min(p.arrivals[route][at]/float64(supply[l.source]), 1/unitsPerSecond)
		p.run[l.sink] += work
		for i := at; i < l.sink; i++ {
			p.backlog[i] += work
		}
		if l.sink-at <= stepsWithin(p.routes[route].Objective) {
			p.inTime[route][at] += work
		} else {
			p.late[route][at] += work
		}
	}
}

// shares returns the shares of a route's requests that arrive in a second and are answered in time, late and not at all.
func (p *plan) shares(route, second int) Shares {
	from, until := second*stepsPerSecond, (second+1)*stepsPerSecond
	arrived := sum(p.arrivals[route][from:until])
	if arrived == 0 {
		return Shares{}
	}
	inTime := min(1, sum(p.inTime[route][from:until])/arrived)
	late := min(1-inTime, sum(p.late[route][from:until])/arrived)
	return Shares{InTime: inTime, Late: late, Lost: snap(1 - inTime - late)}
}

// snap returns 0 for a share that is due to the rounding of work to whole numbers.
func snap(share float64) float64 {
	const rounding = 1e-4
	if share < rounding {
		return 0
	}
	return share
}

// earned returns the value of a plan.
func (p *plan) earned() float64 {
	total := 0.0
	for i, r := range p.routes {
		total += (sum(p.inTime[i])*r.Value + sum(p.late[i])*r.ValueLate) / r.Work
	}
	return total
}

// offered returns the value if every request were answered in time.
func (p *plan) offered() float64 {
	total := 0.0
	for i, r := range p.routes {
		total += sum(p.arrivals[i]) * r.Value / r.Work
	}
	return total
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
