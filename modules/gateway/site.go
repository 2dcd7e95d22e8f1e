// Package gateway holds the modules of a gateway node: gateway.site keeps the
// node's view of the site and performs the lessor's duty, gateway.front takes
// the requests of callers.
package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/config"
	"github.com/burdockspindle/burdockspindle/gateway/driver"
	"github.com/burdockspindle/burdockspindle/gateway/duty"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	"github.com/burdockspindle/burdockspindle/kernel"
)

// resignTimeout bounds how long a node that shuts down tries to give up the
// lessor's lease.
const resignTimeout = time.Second

func init() {
	kernel.Register(&Site{})
	kernel.Register(&Front{})
}

// Site is the module gateway.site.
type Site struct {
	self     view.Member
	state    *view.State
	client   *upstream.Client
	reports  *follow.Reports
	reader   *follow.Reader
	follower *follow.Follower
	feed     *follow.Feed
	duty     *duty.Duty

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// ModuleInfo implements kernel.Module.
func (*Site) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "gateway.site", New: func() kernel.Module { return new(Site) }}
}

// Provision implements kernel.Provisioner.
func (m *Site) Provision(ctx *kernel.Context) error {
	live, err := kernel.Use[*config.Live](ctx)
	if err != nil {
		return err
	}
	platform, err := kernel.Use[*driver.Driver](ctx)
	if err != nil {
		return err
	}
	settings := live.Settings()
	m.self = view.Member{Node: settings.Node, Boot: string(ctx.Identity.Boot), Zone: settings.Zone, Address: settings.Listen.Peer, Strength: settings.Resources.Strength()}
	m.state = view.NewState()
	m.client = upstream.NewClient(platform.Headers, settings.Zone)
	m.reports = follow.NewReports()
	m.build(settings, platform, ctx.Logger)
	live.Watch(func(s *config.Settings) { m.follower.SetSeeds(s.Seeds) })
	if err := kernel.Provide(ctx, m.state); err != nil {
		return err
	}
	if err := kernel.Provide(ctx, m.client); err != nil {
		return err
	}
	if err := kernel.Provide(ctx, m.feed); err != nil {
		return err
	}
	return kernel.Provide(ctx, m.reports)
}

func (m *Site) build(settings *config.Settings, platform *driver.Driver, logger hclog.Logger) {
	contact := new(follow.Contact)
	counted := follow.Counted{Store: platform.Store}
	m.reader = &follow.Reader{Store: counted, Codec: platform.Codec, State: m.state, Contact: contact, Logger: logger, StartedAt: clock.Now()}
	m.follower = &follow.Follower{Self: m.self, State: m.state, Reader: m.reader, Reports: m.reports, Logger: logger}
	m.follower.SetSeeds(settings.Seeds)
	m.duty = duty.New()
	m.feed = follow.NewFeed(m.self, m.state, contact, m.duty.IsLessor)
	m.follower.Feed = m.feed
	timing := ranges.DefaultTiming()
	timing.Hold = min(timing.Hold, settings.Timing.HoldMax)
	m.duty.Member = m.self
	m.duty.Self = ranges.Lessor{Node: m.self.Node, Boot: m.self.Boot, Address: m.self.Address}
	m.duty.Timing = timing
	m.duty.Store = counted
	m.duty.Granter = platform.Granter(m.client)
	m.duty.State = m.state
	m.duty.Reader = m.reader
	m.duty.Feed = m.feed
	m.duty.Former = m.follower
	m.duty.StartedAt = clock.Now()
	m.duty.Reports = m.reports
	m.duty.Logger = logger
}

// Start implements kernel.Starter.
func (m *Site) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	for _, run := range []func(context.Context){m.client.Run, m.keepConnections, m.reader.RunConfigurations, m.reader.RunServers, m.follower.Run, m.duty.Run} {
		m.running.Go(func() { run(ctx) })
	}
	return nil
}

// keepConnections has connections to runs of servers that are no longer registered
// closed, until ctx ends.
func (m *Site) keepConnections(ctx context.Context) {
	var seen store.Offset
	for ctx.Err() == nil {
		changed := m.state.Changed()
		if servers := m.state.Now().Servers; servers.Offset > seen {
			seen = servers.Offset
			m.client.KeepOnly(servers.Servers)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Drain implements kernel.Drainer: the lessor's lease is given up.
func (m *Site) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	m.duty.Resign(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (m *Site) Stop(context.Context) error {
	m.cancel()
	m.running.Wait()
	return nil
}

// Dump implements kernel.Dumper.
func (m *Site) Dump() any { return m.duty.Dump() }
