package ceiling

import (
	"fmt"
	"math"
	"time"

	"github.com/burdockspindle/burdockspindle/jsonc"
)

// Limits of the input. The period bounds the time that the computation takes.
const (
	maxPeriod  = 2 * time.Minute
	maxTime    = time.Minute // of work, objective and deadline
	maxServers = 100_000
	maxSlots   = 10_000 // of one server, and of its queue
	maxRate    = 1e6    // requests per second of a route
	maxFactor  = 1000
	minWork    = time.Millisecond
	minSpeed   = 0.001
	maxValue   = 1000
	// maxRoutes bounds the routes of a file, and with the period the size of the computation.
	maxRoutes = 50
	// maxServiceSlots bounds the slots of a service: Erlang C takes a time proportional to them, in every second.
	maxServiceSlots = 10_000_000
)

// allZones names the zone of a demand without zones.
const allZones = "all"

// Parse reads a site from JSON with comments. The error is a *jsonc.InvalidError with the place of each problem.
func Parse(text []byte, file string) (*Site, error) {
	root, report := jsonc.Parse(text, file)
	site := &Site{Name: root.Required("name").Text()}
	site.Seconds = parseWholeSeconds(root.Required("period"))
	services := root.Required("services").Object()
	for _, name := range services.Names() {
		site.Services = append(site.Services, parseService(name, services.Get(name).Object()))
	}
	routes := root.Required("routes").Object()
	for _, name := range routes.Names() {
		site.Routes = append(site.Routes, parseRoute(name, routes.Get(name).Object(), site))
	}
	if len(site.Routes) == 0 || len(site.Routes) > maxRoutes {
		root.Get("routes").Problem("must be 1 to 50 routes")
	}
	site.Demand = parseDemand(root.Get("demand").Object())
	root.Close()
	if err := report.Err(); err != nil {
		return nil, err
	}
	return site, nil
}

func parseWholeSeconds(v *jsonc.Value) int {
	period := v.Duration(time.Second, time.Second, maxPeriod)
	if period%time.Second != 0 {
		v.Problem("must be whole seconds, not " + period.String())
	}
	return int(period / time.Second)
}

func parseService(name string, o *jsonc.Object) Service {
	s := Service{Name: name, Keyed: o.Get("keyed").Bool(false)}
	s.Slots = int(o.Required("slots").Int(1, 1, maxSlots))
	s.Queue = int(o.Get("queue").Int(0, 0, maxSlots))
	servers := o.Required("servers")
	for _, element := range servers.Elements() {
		s.Groups = append(s.Groups, parseGroup(element.Object()))
	}
	if servers.IsArray() && len(s.Groups) == 0 {
		servers.Problem("must not be empty")
	}
	slots := 0
	for i := range s.Groups {
		slots += s.Groups[i].Count * s.Slots
	}
	if slots > maxServiceSlots {
		servers.Problem(fmt.Sprintf("must have at most %d slots in all, not %d", maxServiceSlots, slots))
	}
	o.Close()
	return s
}

func parseGroup(o *jsonc.Object) Group {
	g := Group{Zone: o.Get("zone").String(""), NoiseFactor: 1}
	g.Count = int(o.Required("count").Int(1, 1, maxServers))
	g.Speed = o.Get("speed").Float(1, minSpeed, maxFactor)
	for _, element := range o.Get("present").Elements() {
		span := element.Object()
		g.Present = append(g.Present, parseSpan(span))
		span.Close()
	}
	if noise := o.Get("noise"); noise.Present() {
		inner := noise.Object()
		g.NoiseFactor = inner.Required("factor").Float(1, 1, maxFactor)
		g.NoiseShare = inner.Required("share").Float(0, 0, 1)
		inner.Close()
	}
	g.Slow = parsePhases(o.Get("slow"), 1)
	o.Close()
	return g
}

// parseSpan reads from and until of an object. Without from it begins with the period; without until it does not end.
func parseSpan(o *jsonc.Object) Span {
	span := Span{Until: math.Inf(1)}
	span.From = o.Get("from").Duration(0, 0, maxPeriod).Seconds()
	if until := o.Get("until"); until.Present() {
		span.Until = until.Duration(maxPeriod, 0, maxPeriod).Seconds()
		if span.Until <= span.From {
			until.Problem("must be after from")
		}
	}
	return span
}

// parsePhases reads phases whose factor is at least the minimum.
func parsePhases(v *jsonc.Value, minimum float64) []Phase {
	var phases []Phase
	for _, element := range v.Elements() {
		o := element.Object()
		phases = append(phases, Phase{Span: parseSpan(o), Factor: o.Required("factor").Float(1, minimum, maxFactor)})
		o.Close()
	}
	return phases
}

func parseRoute(name string, o *jsonc.Object, site *Site) Route {
	r := Route{Name: name, Service: o.Required("service").Text()}
	isKnown := false
	for i := range site.Services {
		isKnown = isKnown || site.Services[i].Name == r.Service
	}
	if r.Service != "" && !isKnown {
		o.Get("service").Problem("no service has this name")
	}
	r.Rate = o.Required("rate").Float(0, 0, maxRate)
	r.Work = o.Required("work").Duration(time.Second, minWork, maxTime).Seconds()
	r.Objective = o.Required("objective").Duration(time.Second, time.Millisecond, maxTime).Seconds()
	r.Deadline = o.Required("deadline").Duration(maxTime, time.Millisecond, maxTime).Seconds()
	if r.Deadline < r.Objective {
		o.Get("deadline").Problem("must not be below the objective")
	}
	r.Value = o.Required("value").Float(1, 0, maxValue)
	r.ValueLate = o.Get("valueLate").Float(0, 0, maxValue)
	if r.ValueLate > r.Value {
		o.Get("valueLate").Problem("must not be above the value in time")
	}
	r.Priority = int(o.Get("priority").Int(0, 0, 1000))
	o.Close()
	return r
}

func parseDemand(o *jsonc.Object) Demand {
	d := Demand{Scale: o.Get("scale").Float(1, 0, maxFactor), Zones: []ZoneDemand{{Zone: allZones, Share: 1}}}
	if wave := o.Get("wave"); wave.Present() {
		inner := wave.Object()
		d.Swing = inner.Required("swing").Float(0, 0, 1)
		d.Period = inner.Required("period").Duration(time.Second, time.Second, time.Hour).Seconds()
		d.Phase = inner.Get("phase").Float(0, -1, 1)
		inner.Close()
	}
	if zones := o.Get("zones"); zones.Present() {
		d.Zones = parseZones(zones)
	}
	o.Close()
	return d
}

func parseZones(v *jsonc.Value) []ZoneDemand {
	o := v.Object()
	var zones []ZoneDemand
	total := 0.0
	for _, name := range o.Names() {
		inner := o.Get(name).Object()
		zone := ZoneDemand{Zone: name, Share: inner.Required("share").Float(0, 0, 1), Steps: parsePhases(inner.Get("steps"), 0)}
		inner.Close()
		total += zone.Share
		zones = append(zones, zone)
	}
	const tolerance = 0.001
	if math.Abs(total-1) > tolerance {
		v.Problem("the shares of the zones must add up to 1")
	}
	return zones
}
