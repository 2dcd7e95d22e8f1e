package model

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// Traffic describes how callers' requests vary over a run.
type Traffic struct {
	Duration time.Duration
	// Phases scale the services' rates from their start times on; before the first phase
	// the factor is 1. They are ordered by time.
	Phases []Phase
	// MoveHotKeysEvery is the interval at which the hottest ranks move to other keys;
	// 0 disables the moves.
	MoveHotKeysEvery time.Duration
	MovedRanks       int
	// HotKeyShare is the fraction of a keyed service's requests that go to one
	// single key from HotKeyFrom on.
	HotKeyShare float64
	HotKeyFrom  time.Duration
}

// Phase sets the rate of one service, or of all if Service is empty: as a fraction
// of the capacity if Utilization is above 0, otherwise as a multiple of the base
// rate.
type Phase struct {
	From        time.Duration
	Factor      float64
	Utilization float64
	Service     topo.Service
}

// factor returns the rate as a multiple of a service's base rate.
func (p Phase) factor(service *Service) float64 {
	if p.Utilization > 0 {
		return p.Utilization / service.Utilization
	}
	return p.Factor
}

// Arrival is one request of a caller. Runs with different policies receive the
// same arrivals.
type Arrival struct {
	At         time.Duration // since the start of the run
	Service    int           // index into Deployment.Services
	Key        int           // index of the key
	Caller     int
	Entry      int     // index of the entry VM that the platform's balancer chooses
	Work       float64 // service time on a server of nominal speed, in seconds
	Idempotent bool
	// Calls is the index into Service.DependsOn of the service that the request
	// calls, or -1 for none; CallKey, CallWork and CallEntry describe that call.
	Calls     int
	CallKey   int
	CallWork  float64
	CallEntry int
}

// Arrivals generates the open-loop arrivals of a run, in order of time. Equal
// arguments produce equal arrivals.
func Arrivals(d *Deployment, traffic Traffic, seed uint64) []Arrival {
	popularity := make([]*Popularity, len(d.Services))
	for i := range d.Services {
		random := stream(seed, i, streamRanks)
		popularity[i] = NewPopularity(d.Services[i].Keys, d.Services[i].Skew, random)
	}
	var all []Arrival
	for i := range d.Services {
		g := &generator{
			deployment: d, service: i, traffic: traffic, popularity: popularity,
			random: stream(seed, i, streamArrivals), moves: stream(seed, i, streamMoves),
			entries: len(d.Zones) * d.EntryPerZone,
		}
		all = append(all, g.run()...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Random number streams of one service.
const (
	streamRanks = iota
	streamArrivals
	streamMoves
	streams
)

func stream(seed uint64, service, kind int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(service*streams+kind)))
}

// generator produces the arrivals of one service.
type generator struct {
	deployment *Deployment
	service    int
	traffic    Traffic
	popularity []*Popularity
	random     *rand.Rand
	moves      *rand.Rand
	entries    int
	moved      time.Duration // time of the last move of hot keys
}

func (g *generator) run() []Arrival {
	service := &g.deployment.Services[g.service]
	// Candidates arrive at the highest rate, and each is kept with the ratio of the
	// current to the highest rate as its probability (thinning of a Poisson process).
	highest := g.highestFactor()
	if highest <= 0 {
		return nil
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / (service.Rate() * highest) * float64(time.Second))
		if at >= g.traffic.Duration {
			return arrivals
		}
		candidate := g.draw(at)
		if g.random.Float64()*highest < g.factor(at) {
			arrivals = append(arrivals, candidate)
		}
	}
}

func (g *generator) draw(at time.Duration) Arrival {
	g.moveHotKeys(at)
	service := &g.deployment.Services[g.service]
	arrival := Arrival{
		At:         at,
		Service:    g.service,
		Key:        g.key(service, at),
		Caller:     g.random.IntN(max(service.Callers, 1)),
		Entry:      g.random.IntN(g.entries),
		Work:       service.MeanBusy.Seconds() * busyTime(service.Variation, g.random),
		Idempotent: g.random.Float64() < service.Idempotent,
		Calls:      -1,
	}
	g.drawCall(service, &arrival)
	return arrival
}

func (g *generator) key(service *Service, at time.Duration) int {
	drawn := g.popularity[g.service].Draw(g.random)
	single := g.random.Float64() < g.traffic.HotKeyShare
	if single && service.Keyed && at >= g.traffic.HotKeyFrom {
		return g.popularity[g.service].Hottest(0)
	}
	return drawn
}

func (g *generator) drawCall(service *Service, arrival *Arrival) {
	for i, dependency := range service.DependsOn {
		if g.random.Float64() >= dependency.Share {
			continue
		}
		target := g.deployment.Service(dependency.Service)
		arrival.Calls = i
		arrival.CallKey = g.random.IntN(target.Keys)
		arrival.CallEntry = g.random.IntN(g.entries)
		arrival.CallWork = target.MeanBusy.Seconds() * busyTime(target.Variation, g.random)
		return
	}
}

func (g *generator) moveHotKeys(at time.Duration) {
	every := g.traffic.MoveHotKeysEvery
	for every > 0 && at-g.moved >= every {
		g.popularity[g.service].Move(g.traffic.MovedRanks, g.moves)
		g.moved += every
	}
}

// factor returns the scale factor of the service's rate at a time.
func (g *generator) factor(at time.Duration) float64 {
	service := &g.deployment.Services[g.service]
	factor := 1.0
	for _, phase := range g.traffic.Phases {
		applies := phase.Service == "" || phase.Service == service.Name
		if applies && at >= phase.From {
			factor = phase.factor(service)
		}
	}
	return factor
}

func (g *generator) highestFactor() float64 {
	highest := g.factor(0)
	for _, phase := range g.traffic.Phases {
		highest = max(highest, g.factor(phase.From))
	}
	return highest
}
