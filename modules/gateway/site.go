// Package gateway provides the modules of a gateway node: gateway.site maintains the node's
// view of the site and performs the lessor's duties, gateway.front serves the requests of
// callers.
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
	"github.com/burdockspindle/burdockspindle/gateway/prober"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/upstream"
	"github.com/burdockspindle/burdockspindle/gateway/view"
	"github.com/burdockspindle/burdockspindle/kernel"
)

// resignTimeout bounds the attempt to resign the lessor's lease during a shutdown.
const resignTimeout = time.Second

// maxNoticeDelay is the time within which a node that reaches the store, or another node that
// does, knows of a new record.
const maxNoticeDelay = 3 * time.Second

// evacuationGrace returns how long owners of keys in an evacuated zone may still get requests
// after a node knows of the evacuation.
func evacuationGrace(evacuate time.Duration) time.Duration {
	return max(evacuate-maxNoticeDelay, 0)
}

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
	prober   *prober.Prober

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// ModuleInfo implements kernel.Module.
func (*Site) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "gateway.site", New: func() kernel.Module { return new(Site) }}
}

// Provision implements kernel.Provisioner.
func (s *Site) Provision(ctx *kernel.Context) error {
	live, err := kernel.Use[*config.Live](ctx)
	if err != nil {
		return err
	}
	platform, err := kernel.Use[*driver.Driver](ctx)
	if err != nil {
		return err
	}
	settings := live.Settings()
	s.self = view.Member{Node: settings.Node, Boot: string(ctx.Identity.Boot), Zone: settings.Zone, Address: settings.Listen.Peer, Capacity: settings.Resources.Capacity()}
	s.state = view.NewState()
	s.state.SetEvacuationGrace(evacuationGrace(settings.Timing.Evacuate))
	s.state.SetDrainGrace(settings.Timing.Drain)
	s.client = upstream.NewClient(platform.Headers, settings.Zone)
	s.client.SetLogger(ctx.Logger)
	s.client.ObserveNotices(follow.ObserveNotices(s.state, ctx.Logger))
	if platform.Dial != nil {
		s.client.SetDial(platform.Dial)
	}
	s.prober = prober.New(s.client, s.state, ctx.Logger)
	s.reports = follow.NewReports()
	s.build(settings, platform, ctx.Logger)
	s.duty.LearnSpeeds = func() config.SpeedLearning { return live.Settings().Placement.LearnSpeeds }
	live.Watch(func(updated *config.Settings) { s.follower.SetSeeds(updated.Seeds) })
	if err := kernel.Provide(ctx, s.state); err != nil {
		return err
	}
	if err := kernel.Provide(ctx, s.client); err != nil {
		return err
	}
	if err := kernel.Provide(ctx, s.prober); err != nil {
		return err
	}
	if err := kernel.Provide(ctx, s.feed); err != nil {
		return err
	}
	return kernel.Provide(ctx, s.reports)
}

func (s *Site) build(settings *config.Settings, platform *driver.Driver, logger hclog.Logger) {
	contact := new(follow.Contact)
	counted := follow.CountingStore{Store: platform.Store}
	s.reader = &follow.Reader{Store: counted, Codec: platform.Codec, State: s.state, Contact: contact, Logger: logger, StartedAt: clock.Now()}
	s.follower = &follow.Follower{Self: s.self, State: s.state, Reader: s.reader, Reports: s.reports, Logger: logger}
	s.follower.SetSeeds(settings.Seeds)
	s.duty = duty.New()
	s.feed = follow.NewFeed(s.self, s.state, contact, s.duty.IsLessor)
	s.feed.Logger = logger
	s.follower.Feed = s.feed
	timing := ranges.DefaultTiming()
	timing.Hold = min(timing.Hold, settings.Timing.HoldMax)
	s.duty.Member = s.self
	s.duty.Self = ranges.Lessor{Node: s.self.Node, Boot: s.self.Boot, Address: s.self.Address}
	s.duty.Timing = timing
	s.duty.Store = counted
	s.duty.Granter = platform.Granter(s.client)
	s.duty.State = s.state
	s.duty.Reader = s.reader
	s.duty.Feed = s.feed
	s.duty.PreviousLessor = s.follower
	s.duty.StartedAt = clock.Now()
	s.duty.Reports = s.reports
	s.duty.IsPartitioned = s.prober.IsPartitioned
	s.reader.CanGrantNothing = s.duty.CanGrantNothing
	s.feed.NeedsLessor = s.duty.NeedsLessor
	s.duty.Logger = logger
}

// Start implements kernel.Starter.
func (s *Site) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, run := range []func(context.Context){s.client.Run, s.closeStaleConnections, s.reader.RunConfigurations, s.reader.RunServers, s.follower.Run, s.follower.RunUrgentReports, s.prober.Run, s.duty.Run} {
		s.running.Go(func() { run(ctx) })
	}
	s.running.Go(func() { logClockSteps(ctx, s.duty.Logger) })
	return nil
}

// closeStaleConnections closes connections to incarnations of servers that are no longer
// registered, and idle ones to those that are about to end, until ctx ends.
func (s *Site) closeStaleConnections(ctx context.Context) {
	var seen store.Offset
	var seenLeaving uint64
	for ctx.Err() == nil {
		changed := s.state.Changed()
		if v := s.state.Now(); v.Servers.Offset > seen || v.Leaving.Next() > seenLeaving {
			seen, seenLeaving = v.Servers.Offset, v.Leaving.Next()
			s.client.RetainServers(v.Registered())
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Drain implements kernel.Drainer: it resigns the lessor's lease.
func (s *Site) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, resignTimeout)
	defer cancel()
	s.duty.Resign(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (s *Site) Stop(context.Context) error {
	s.cancel()
	s.running.Wait()
	return nil
}

// Dump implements kernel.Dumper.
func (s *Site) Dump() any { return s.duty.Dump() }
