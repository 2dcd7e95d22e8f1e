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
	probedOwners  = 12 // number of keys probed, of as many owners as possible
	settleTimeout = 30 * time.Second
)

// Load describes the requests that callers send to a site.
type Load struct {
	Requests int
	Seed     uint64
	Span     time.Duration // over which the requests arrive
	// Probed lists the keys whose unavailable time is measured; by default keys
	// of as many owners as possible.
	Probed []OwnedKey
	// OnProgress is called with the number of finished requests; nil for none.
	OnProgress func(finished int)
	// Deadline applies to requests and probes if no outcome may be lost because of a slow
	// machine; 0 for the default deadlines.
	Deadline time.Duration
	// OnUnserved is called for each probed key that is not served again at the end, with
	// the latest answer to one of its probes; nil for none.
	OnUnserved func(key OwnedKey, latest history.CallerAnswered)
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
	callers := &Callers{Frontends: fronts, Site: s.deployment.site, Recorder: s.Memory, Clock: s.Clock}
	return callers.Exercise(ctx, load, faults)
}

// Callers send requests to a site and record the results.
type Callers struct {
	// Frontends lists the entry nodes' addresses for callers, by zone. Callers are
	// distributed over the zones.
	Frontends [][]string
	Site      *siteconfig.Site
	Recorder  history.Recorder
	Clock     history.Clock
}

// Exercise sends the load while faults runs concurrently, and waits until both are
// finished and the probed keys are served again. Settled is false if the keys were
// not served in time.
func (c *Callers) Exercise(ctx context.Context, load Load, faults func(context.Context)) (settled bool, err error) {
	front := &balancer{zones: c.Frontends}
	clients := c.clients(front)
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	probers, probesDone := startProbers(probing, clients, load)
	front.checkAll(probing, probesDone)
	var wait sync.WaitGroup
	wait.Go(func() { faults(ctx) })
	sending := &sender{
		clients:    clients,
		deadline:   cmp.Or(load.Deadline, requestDeadline),
		plan:       planRequests(load.Requests, load.Seed, load.Span, len(clients), c.Site),
		onFinished: load.OnProgress,
	}
	sending.run(ctx)
	wait.Wait()
	settled = waitHealthy(ctx, probers)
	if !settled && load.OnUnserved != nil {
		reportUnserved(probers, load.OnUnserved)
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
	clients := make([]*client, len(c.Frontends))
	for zone := range clients {
		clients[zone] = newClient(front.dialer(zone), c.Recorder, c.Clock)
	}
	return clients
}

// Evaluate computes the summary of the recorded history and lists all violations.
// Settled contains the nodes that were connected until the end.
func (s *Site) Evaluate(settled Settled) (Summary, []histcheck.Violation) {
	return summarize(s.Memory.Events(), s.CheckOptions(settled))
}

// CheckOptions returns the options of the checkers for this site.
func (s *Site) CheckOptions(settled Settled) histcheck.Options {
	return histcheck.Options{
		Idempotent: idempotentBy(s.deployment.site),
		Settled:    settled.Nodes,
		SettledAt:  settled.Applied,
	}
}

// idempotentBy returns a function that reports whether a site configuration allows a method to be repeated.
func idempotentBy(site *siteconfig.Site) func(service topo.Service, method string) bool {
	return func(service topo.Service, method string) bool {
		config, exists := site.Services[service]
		return exists && config.Idempotent(method)
	}
}

// Evaluate computes the summary of a history recorded by the callers and the servers,
// and lists all violations.
func (c *Callers) Evaluate(events []history.Event) (Summary, []histcheck.Violation) {
	return summarize(events, histcheck.Options{Idempotent: idempotentBy(c.Site)})
}

// Keys lists the keys that the callers request. Their owners are unknown.
func (c *Callers) Keys() []OwnedKey {
	var keys []OwnedKey
	for _, service := range sortedServices(c.Site) {
		for i := range keysPerService {
			keys = append(keys, OwnedKey{Service: service.Name, Key: keyName(service.Name, i)})
		}
	}
	return keys
}

// startProbers starts one prober per key, cycling through the zones.
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

// Spread selects keys to probe: one of each owner in turn, beginning with the owners in first.
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
// machine too slow for the default probe deadline it continues with a longer one,
// because it checks whether the keys are served again, not how fast.
func waitHealthy(ctx context.Context, probers []*prober) bool {
	if allHealthy(ctx, shortProbePeriod, probers) {
		return true
	}
	for _, one := range probers {
		one.extendDeadline()
	}
	return allHealthy(ctx, settleTimeout, probers)
}

func reportUnserved(probers []*prober, tell func(OwnedKey, history.CallerAnswered)) {
	for _, one := range probers {
		if !one.healthy() {
			tell(one.key, one.latestAnswer())
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
