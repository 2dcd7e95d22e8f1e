package ceiling

import (
	"cmp"
	"math"
	"slices"
)

// Shares are the shares of requests answered within the objective, within the deadline only, and not at all.
type Shares struct {
	InTime float64 `json:"inTime"`
	Late   float64 `json:"late"`
	Lost   float64 `json:"lost"`
}

// value returns the mean value of a request.
func (s Shares) value(r *Route) float64 { return s.InTime*r.Value + s.Late*r.ValueLate }

// Result is what a site can serve.
type Result struct {
	Name        string       `json:"name"`
	Seconds     int          `json:"seconds"`
	Bound       float64      `json:"bound"`    // upper bound of earned / offered value
	Estimate    float64      `json:"estimate"` // the same with random arrivals
	Offered     float64      `json:"offeredValue"`
	Worst       []Part       `json:"worstSeconds"` // lowest bound first, seconds without loss left out
	Zones       []Part       `json:"zones"`        // of callers, lowest bound first
	Routes      []Part       `json:"routes"`       // lowest bound first
	Bottlenecks []Bottleneck `json:"bottlenecks"`  // greatest loss first
	Services    []Capacity   `json:"services"`
}

// Part is the value of a part of the demand.
type Part struct {
	Name     string  `json:"name,omitempty"`
	Second   int     `json:"second"` // of worst seconds
	Offered  float64 `json:"offeredValue"`
	Bound    float64 `json:"bound"`
	Estimate float64 `json:"estimate"`
}

// Capacity is the load of a service by second.
type Capacity struct {
	Service string   `json:"service"`
	Seconds []Second `json:"seconds"`
}

// Second is the load of a service in one second. Work is in slots of typical servers.
type Second struct {
	Second    int          `json:"second"`
	Requested float64      `json:"requested"`
	Capacity  float64      `json:"capacity"` // work that can be run
	Run       float64      `json:"run"`      // by the bound
	Backlog   float64      `json:"backlog"`  // slot seconds that the bound carries over to the next second
	Routes    []RouteShare `json:"routes"`
}

// RouteShare is what becomes of the requests of a route that arrive in a second.
type RouteShare struct {
	Route    string  `json:"route"`
	Requests float64 `json:"requests"`
	Bound    Shares  `json:"bound"`
	Estimate Shares  `json:"estimate"`
}

// Bottleneck is a service that loses value also by the bound. Missing, Slow and Demand add up to 1.
type Bottleneck struct {
	Service string  `json:"service"`
	Loss    float64 `json:"loss"` // value lost / value offered to the whole site
	Spans   []Range `json:"seconds"`
	Missing float64 `json:"missingServers"` // share of the loss that is gone if all servers are always present
	Slow    float64 `json:"slowServers"`    // of the rest, what is gone without noise, slow phases and speeds below typical
	Demand  float64 `json:"demand"`         // what is left
}

// Range are whole seconds, the last one included.
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// worstSeconds is the number of seconds that a result lists as the worst.
const worstSeconds = 5

// tally adds up the value of a part of the demand.
type tally struct{ offered, bound, estimate float64 }

func (t *tally) add(r *Route, requests float64, share *RouteShare) {
	t.offered += requests * r.Value
	t.bound += requests * share.Bound.value(r)
	t.estimate += requests * share.Estimate.value(r)
}

func (t *tally) part(name string, second int) Part {
	p := Part{Name: name, Second: second, Offered: t.offered, Bound: 1, Estimate: 1}
	if t.offered > 0 {
		p.Bound, p.Estimate = t.bound/t.offered, t.estimate/t.offered
	}
	return p
}

// lostAny is the share of the value below which a loss is due to rounding.
const lostAny = 1e-4

// Compute returns what the site can serve. The site must be valid, as Parse returns it.
func Compute(site *Site) *Result {
	a := newAccount(site)
	result := &Result{Name: site.Name, Seconds: site.Seconds, Worst: []Part{}, Bottlenecks: []Bottleneck{}}
	for i := range site.Services {
		service := &site.Services[i]
		if len(site.routesOf(service.Name)) == 0 {
			continue
		}
		bound, admitted := schedule(site, service, 1), schedule(site, service, usableShare)
		capacity := Capacity{Service: service.Name}
		for second := range site.Seconds {
			capacity.Seconds = append(capacity.Seconds, a.second(service, bound, admitted, second))
		}
		result.Services = append(result.Services, capacity)
		if b := bottleneck(site, service, bound, a.losses[service.Name]); b != nil {
			result.Bottlenecks = append(result.Bottlenecks, *b)
		}
	}
	a.fill(result)
	return result
}

// account adds up values by second, zone and route.
type account struct {
	site    *Site
	day     tally
	seconds []tally
	zones   []tally
	routes  map[string]*tally
	losses  map[string][]int // seconds by service
}

func newAccount(site *Site) *account {
	a := &account{site: site, seconds: make([]tally, site.Seconds), zones: make([]tally, len(site.Demand.Zones)), routes: map[string]*tally{}, losses: map[string][]int{}}
	for i := range site.Routes {
		a.routes[site.Routes[i].Name] = &tally{}
	}
	return a
}

// second returns one second of a service and adds its values.
func (a *account) second(service *Service, bound, admitted *plan, second int) Second {
	from, until := second*stepsPerSecond, (second+1)*stepsPerSecond
	span := Span{float64(second), float64(second + 1)}
	s := Second{Second: second, Capacity: service.capacity(span), Run: sum(bound.run[from:until]), Backlog: bound.backlog[until-1]}
	e := newEstimator(service, admitted, second)
	var all tally
	for i, r := range bound.routes {
		s.Requested += sum(bound.arrivals[i][from:until])
		share := RouteShare{Route: r.Name, Requests: a.site.requests(r, span), Bound: bound.shares(i, second)}
		share.Estimate = e.estimate(r, admitted.shares(i, second))
		s.Routes = append(s.Routes, share)
		for _, t := range []*tally{&all, &a.day, &a.seconds[second], a.routes[r.Name]} {
			t.add(r, share.Requests, &share)
		}
		// Requests of all zones that arrive in the same second are served alike.
		for z := range a.zones {
			a.zones[z].add(r, r.Rate*a.site.Demand.factor(&a.site.Demand.Zones[z], span), &share)
		}
	}
	if all.offered-all.bound > lostAny*all.offered {
		a.losses[service.Name] = append(a.losses[service.Name], second)
	}
	return s
}

// rounded makes parts equal that differ by the rounding of work only.
func rounded(share float64) float64 { return math.Round(share / lostAny) }

func (a *account) fill(result *Result) {
	day := a.day.part("", 0)
	result.Bound, result.Estimate, result.Offered = day.Bound, day.Estimate, day.Offered
	for second := range a.seconds {
		if p := a.seconds[second].part("", second); p.Bound < 1-lostAny {
			result.Worst = append(result.Worst, p)
		}
	}
	for i := range a.zones {
		result.Zones = append(result.Zones, a.zones[i].part(a.site.Demand.Zones[i].Zone, 0))
	}
	for i := range a.site.Routes {
		name := a.site.Routes[i].Name
		result.Routes = append(result.Routes, a.routes[name].part(name, 0))
	}
	for _, parts := range [][]Part{result.Worst, result.Zones, result.Routes} {
		slices.SortStableFunc(parts, func(p, q Part) int { return cmp.Compare(rounded(p.Bound), rounded(q.Bound)) })
	}
	result.Worst = result.Worst[:min(worstSeconds, len(result.Worst))]
	for i := range result.Bottlenecks {
		result.Bottlenecks[i].Loss /= result.Offered
	}
	slices.SortStableFunc(result.Bottlenecks, func(p, q Bottleneck) int { return cmp.Compare(q.Loss, p.Loss) })
}
