// Package ceiling computes what a site can serve at most: an upper bound of the value that the servers that are present can earn from
// a given demand, second by second, and an estimate for random arrivals. It does no I/O and has no clock.
package ceiling

import "math"

// Site is the input: services, routes and demand over a period.
type Site struct {
	Name     string
	Seconds  int
	Services []Service
	Routes   []Route
	Demand   Demand
}

// Service is a set of servers that serve the same routes.
type Service struct {
	Name string
	// Keyed services send each request to the one server that owns its key.
	Keyed  bool
	Slots  int // requests that one server runs at a time
	Queue  int // requests that one server holds in addition; neither the bound nor the estimate is limited by it
	Groups []Group
}

// Group is a number of servers that are alike.
type Group struct {
	Count   int
	Zone    string  // empty if the servers are spread over the zones; tells the reader only, since any server may serve any caller
	Speed   float64 // rate of work; 1 = typical, 0.5 takes twice as long
	Present []Span  // empty if always present
	// Work takes NoiseFactor times as long during the share NoiseShare of the time.
	NoiseFactor, NoiseShare float64
	Slow                    []Phase // Factor is how much longer work takes
}

// Span is a time from From until before Until, in seconds.
type Span struct{ From, Until float64 }

// Phase is a span with a factor.
type Phase struct {
	Span
	Factor float64
}

// Route is a kind of request. Times are in seconds.
type Route struct {
	Name, Service       string
	Rate                float64 // requests per second before the factors of the demand
	Work                float64 // mean service time at a typical server
	Objective, Deadline float64
	Value, ValueLate    float64 // of an answer within the objective, and of one within the deadline
	Priority            int     // the bound goes by value alone
}

// Demand are the factors by which the rates of all routes change.
type Demand struct {
	Scale         float64
	Swing, Period float64 // relative amplitude and period of a sine; no wave if Swing is 0
	Phase         float64 // share of the period by which the wave is ahead
	Zones         []ZoneDemand
}

// ZoneDemand is the demand of callers of one zone.
type ZoneDemand struct {
	Zone  string
	Share float64 // of the demand outside steps
	Steps []Phase
}

// contains reports whether t is within the span.
func (s Span) contains(t float64) bool { return t >= s.From && t < s.Until }

// isPresent reports whether the servers of the group are present at t.
func (g *Group) isPresent(t float64) bool {
	for _, span := range g.Present {
		if span.contains(t) {
			return true
		}
	}
	return len(g.Present) == 0
}

// presence returns the part of the span during which the servers are present.
func (g *Group) presence(span Span) float64 {
	return mean(span, spanEdges(g.Present), func(t float64) float64 {
		if g.isPresent(t) {
			return 1
		}
		return 0
	})
}

// rate returns the mean work per second and slot of a server during the span. An absent server has the rate 0.
func (g *Group) rate(span Span) float64 {
	edges := spanEdges(g.Present)
	for _, phase := range g.Slow {
		edges = append(edges, phase.From, phase.Until)
	}
	return g.noiseRate() * mean(span, edges, func(t float64) float64 {
		if !g.isPresent(t) {
			return 0
		}
		rate := g.Speed
		for _, phase := range g.Slow {
			if phase.contains(t) {
				rate /= phase.Factor
			}
		}
		return rate
	})
}

// noiseRate returns the factor by which machine noise reduces the mean rate.
func (g *Group) noiseRate() float64 {
	return 1 - g.NoiseShare + g.NoiseShare/g.NoiseFactor
}

// capacity returns the work per second that the present servers can run, in slots of typical servers.
func (s *Service) capacity(span Span) float64 {
	total := 0.0
	for i := range s.Groups {
		g := &s.Groups[i]
		total += float64(g.Count*s.Slots) * g.rate(span)
	}
	return total
}

// factor returns the mean factor of the demand of a zone during the span.
func (d *Demand) factor(zone *ZoneDemand, span Span) float64 {
	var edges []float64
	for _, step := range zone.Steps {
		edges = append(edges, step.From, step.Until)
	}
	total := 0.0
	for _, part := range split(span, edges) {
		factor := zone.Share * d.Scale
		for _, step := range zone.Steps {
			if step.contains(part.middle()) {
				factor *= step.Factor
			}
		}
		total += factor * (part.length() + d.waveIntegral(part))
	}
	return total / span.length()
}

// waveIntegral returns the integral of the wave, without the constant part, over the span.
func (d *Demand) waveIntegral(span Span) float64 {
	if d.Swing == 0 {
		return 0
	}
	angle := func(t float64) float64 { return 2 * math.Pi * (t/d.Period + d.Phase) }
	return d.Swing * d.Period / (2 * math.Pi) * (math.Cos(angle(span.From)) - math.Cos(angle(span.Until)))
}

func (s Span) length() float64 { return s.Until - s.From }
func (s Span) middle() float64 { return (s.From + s.Until) / 2 }
