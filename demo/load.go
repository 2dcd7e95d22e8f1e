package demo

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/histcheck"
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/topo"
)

const (
	probedOwners  = 12 // keys probed, of as many owners as possible
	settleTimeout = 30 * time.Second
)

// Load is what callers send while a site is exercised.
type Load struct {
	Requests int
	Seed     uint64
	Span     time.Duration // over which the requests arrive
	// Probed are the keys whose unavailable time is measured; by default some
	// of as many owners as possible.
	Probed []OwnedKey
	// Progress is told how many requests are finished; nil for nobody.
	Progress func(finished int)
	// Deadline of requests and probes, where no outcome may be lost to a slow
	// machine; 0 for the usual ones.
	Deadline time.Duration
	// Unserved is told each probed key that was not served again in the end, and
	// the latest answer to a probe of it; nil for nobody.
	Unserved func(key OwnedKey, latest history.CallerAnswered)
}

// Exercise sends the load through the site's nodes; see Callers.Exercise.
func (s *Site) Exercise(ctx context.Context, load Load, faults func(context.Context)) (settled bool, err error) {
	if load.Probed == nil {
		keys, err := s.OwnedKeys()
		if err != nil {
			return false, err
		}
		load.Probed = Spread(keys)
	}
	fronts := make([][]string, len(s.deployment.zones))
	for _, one := range s.Nodes {
		fronts[one.Zone] = append(fronts[one.Zone], one.Frontend())
	}
	callers := &Callers{Fronts: fronts, Site: s.deployment.site, Recorder: s.Memory, Clock: s.Clock}
	return callers.Exercise(ctx, load, faults)
}

// Callers send requests to a site and record what they learn.
type Callers struct {
	// Fronts are the entry nodes' addresses for callers, by zone. Callers are
	// spread over the zones.
	Fronts   [][]string
	Site     *siteconfig.Site
	Recorder history.Recorder
	Clock    history.Clock
}

// Exercise sends the load while faults runs beside it, and waits until both are
// over and the probed keys are served again. Settled is false when they were
// not in time.
func (c *Callers) Exercise(ctx context.Context, load Load, faults func(context.Context)) (settled bool, err error) {
	front := &balancer{zones: c.Fronts}
	clients := c.clients(front)
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	probers, probesDone := startProbers(probing, clients, load)
	front.check(probing, probesDone)
	var wait sync.WaitGroup
	wait.Go(func() { faults(ctx) })
	sending := &sender{
		clients:  clients,
		deadline: cmp.Or(load.Deadline, requestDeadline),
		plan:     planRequests(load.Requests, load.Seed, load.Span, len(clients), c.Site),
		done:     load.Progress,
	}
	sending.run(ctx)
	wait.Wait()
	settled = waitHealthy(ctx, probers)
	if !settled && load.Unserved != nil {
		tellUnserved(probers, load.Unserved)
	}
	stopProbing()
	probesDone.Wait()
	for _, one := range clients {
		one.close()
	}
	return settled, ctx.Err()
}

// clients returns one client for each zone, behind the platform's balancer.
func (c *Callers) clients(front *balancer) []*client {
	clients := make([]*client, len(c.Fronts))
	for zone := range clients {
		clients[zone] = newClient(front.dialer(zone), c.Recorder, c.Clock)
	}
	return clients
}

// Judge computes the summary of what was recorded and lists all violations.
// Settled are the nodes that were connected to the end.
func (s *Site) Judge(settled Settled) (Summary, []histcheck.Violation) {
	return summarize(s.Memory.Events(), s.CheckOptions(settled))
}

// CheckOptions returns what the checkers need to know of the site.
func (s *Site) CheckOptions(settled Settled) histcheck.Options {
	return histcheck.Options{
		Idempotent: idempotentBy(s.deployment.site),
		Settled:    settled.Nodes,
		SettledAt:  settled.Applied,
	}
}

// idempotentBy tells by a site configuration which methods may be repeated.
func idempotentBy(site *siteconfig.Site) func(service topo.Service, method string) bool {
	return func(service topo.Service, method string) bool {
		config, exists := site.Services[service]
		return exists && config.Idempotent(method)
	}
}

// Judge computes the summary of a history that the callers and others recorded,
// and lists all violations.
func (c *Callers) Judge(events []history.Event) (Summary, []histcheck.Violation) {
	return summarize(events, histcheck.Options{Idempotent: idempotentBy(c.Site)})
}

// Keys lists the keys that the callers ask for. Their owners are not known.
func (c *Callers) Keys() []OwnedKey {
	var keys []OwnedKey
	for _, service := range sortedServices(c.Site) {
		for i := range keysPerService {
			keys = append(keys, OwnedKey{Service: service.Name, Key: keyName(service.Name, i)})
		}
	}
	return keys
}

// startProbers probes keys, each from the next zone.
func startProbers(ctx context.Context, clients []*client, load Load) ([]*prober, *sync.WaitGroup) {
	var wait sync.WaitGroup
	probers := make([]*prober, len(load.Probed))
	for i, key := range load.Probed {
		probers[i] = &prober{
			client: clients[i%len(clients)], key: key, index: i,
			deadline: cmp.Or(load.Deadline, probeDeadline),
		}
		wait.Go(func() { probers[i].run(ctx) })
	}
	return probers, &wait
}

// Spread picks keys to probe: one of each owner in turn, some owners first.
func Spread(keys []OwnedKey, first ...*SiteServer) []OwnedKey {
	byOwner := map[topo.ServerID][]OwnedKey{}
	var order []topo.ServerID
	for _, one := range first {
		order = append(order, one.ID)
	}
	for _, key := range keys {
		if byOwner[key.Owner] == nil && !slices.Contains(order, key.Owner) {
			order = append(order, key.Owner)
		}
		byOwner[key.Owner] = append(byOwner[key.Owner], key)
	}
	var chosen []OwnedKey
	for round := 0; len(chosen) < min(probedOwners, len(keys)); round++ {
		for _, owner := range order {
			if round < len(byOwner[owner]) && len(chosen) < probedOwners {
				chosen = append(chosen, byOwner[owner][round])
			}
		}
	}
	return chosen
}

// waitHealthy waits until the latest probe of every key was answered. On a
// machine too slow for probes of the usual deadline it goes on with longer ones:
// the question is whether the keys are served again, not how fast.
func waitHealthy(ctx context.Context, probers []*prober) bool {
	if allHealthy(ctx, impatientFor, probers) {
		return true
	}
	for _, one := range probers {
		one.bePatient()
	}
	return allHealthy(ctx, settleTimeout, probers)
}

func tellUnserved(probers []*prober, tell func(OwnedKey, history.CallerAnswered)) {
	for _, one := range probers {
		if !one.healthy() {
			tell(one.key, one.last())
		}
	}
}

func allHealthy(ctx context.Context, limit time.Duration, probers []*prober) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	unhealthy := func(one *prober) bool { return !one.healthy() }
	for slices.ContainsFunc(probers, unhealthy) {
		if !clock.Wait(ctx, readyPoll) {
			return false
		}
	}
	return true
}
