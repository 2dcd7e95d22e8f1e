// Package prober observes whether this node can connect to the servers of each service, and probes
// some of them while that is in doubt.
package prober

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/events"
	"github.com/burdockspindle/burdockspindle/gateway/reachability"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	eventPartitioned = events.Define(2204, hclog.Warn, "node is partitioned from the servers of a service")
	eventReconnected = events.Define(2205, hclog.Info, "node reaches the servers of a service again")

	group      = metrics.New("gateway_reachability")
	partitions = group.Counter("partitions")
	probes     = group.Counter("probes")
)

// Prober holds what a node knows of its connections to servers. It is safe for concurrent use.
type Prober struct {
	client *upstream.Client
	state  *view.State
	logger hclog.Logger
	failed chan struct{} // a connection failed
	// onReconnected are called when the node reaches the servers of a service again.
	onReconnected []func(site.ServiceName)

	mu       sync.Mutex
	monitors map[site.ServiceName]*reachability.Monitor
}

// New returns a prober that observes the connections of a client.
func New(client *upstream.Client, state *view.State, logger hclog.Logger) *Prober {
	p := &Prober{client: client, state: state, logger: logger, failed: make(chan struct{}, 1), monitors: map[site.ServiceName]*reachability.Monitor{}}
	client.ObserveConnects(p.record)
	return p
}

// OnReconnected adds a function that is called when the node reaches the servers of a service
// again. It must be called before Run.
func (p *Prober) OnReconnected(f func(site.ServiceName)) {
	p.onReconnected = append(p.onReconnected, f)
}

// IsPartitioned reports whether the node can connect to no server of a service.
func (p *Prober) IsPartitioned(service site.ServiceName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.monitors[service]
	return m != nil && m.IsPartitioned()
}

// record records the outcome of a connection attempt.
func (p *Prober) record(server site.Server, reached bool) {
	p.mu.Lock()
	p.monitor(server.Service).Record(reached, time.Now())
	p.mu.Unlock()
	if reached {
		return
	}
	select {
	case p.failed <- struct{}{}:
	default: // the round that is due covers this failure too
	}
}

// monitor returns the monitor of a service. p.mu must be held.
func (p *Prober) monitor(service site.ServiceName) *reachability.Monitor {
	m := p.monitors[service]
	if m == nil {
		m = new(reachability.Monitor)
		p.monitors[service] = m
	}
	return m
}

// Run probes servers while that is due, until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for {
		select {
		case <-p.failed:
		case <-ctx.Done():
			return
		}
		for p.probeDue(ctx) {
			if !clock.Wait(ctx, reachability.ProbeInterval) {
				return
			}
		}
	}
}

// probeDue makes a round of probes of each service for which one is due, and reports whether
// there was such a service.
func (p *Prober) probeDue(ctx context.Context) bool {
	due := p.dueServices(time.Now())
	var probing sync.WaitGroup
	for _, service := range due {
		probing.Go(func() { p.probe(ctx, service) })
	}
	probing.Wait()
	return len(due) > 0
}

func (p *Prober) dueServices(now time.Time) []site.ServiceName {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []site.ServiceName
	for service, m := range p.monitors {
		if m.MustProbe(now) && len(p.state.Now().ServersOf(service)) > 0 {
			due = append(due, service)
		}
	}
	return due
}

// probe makes a round of probes of a service.
func (p *Prober) probe(ctx context.Context, service site.ServiceName) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	began := time.Now()
	sample := reachability.Sample(p.state.Now().ServersOf(service), random)
	results := make(chan error, len(sample))
	for _, server := range sample {
		probes.Add(1)
		go func() { results <- p.client.Probe(ctx, server) }()
	}
	reached := 0
	for range sample {
		if <-results == nil {
			reached++
		}
	}
	if ctx.Err() == nil {
		p.recordRound(service, reached, len(sample)-reached, began)
	}
}

// recordRound records a round of probes and logs a change.
func (p *Prober) recordRound(service site.ServiceName, reached, failed int, began time.Time) {
	p.mu.Lock()
	now := time.Now()
	m := p.monitor(service)
	stateFor := m.StateFor(now)
	changed := m.RecordRound(reached, failed, began, now)
	isPartitioned, reachedAgo := m.IsPartitioned(), m.ReachedAgo(now)
	p.mu.Unlock()
	switch {
	case !changed:
	case isPartitioned:
		partitions.Add(1)
		eventPartitioned.Log(p.logger, "service", service, "failed", failed, "reachedAgo", reachedAgo)
	default:
		eventReconnected.Log(p.logger, "service", service, "reached", reached, "failed", failed, "partitionedFor", stateFor)
		for _, f := range p.onReconnected {
			f(service)
		}
	}
}
