// Package follower implements the module "duty.follower", which runs a
// follower.Follower and provides state.Source, follower.Appender and
// follower.Contact.
package follower

import (
	"context"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
)

// ID is the module's ID.
const ID kernel.ModuleID = "duty.follower"

// pollsPerLease is the number of log reads per lease TTL. With several reads per
// TTL, the last contact with the log is always much more recent than a lease.
const pollsPerLease = 5

func init() { kernel.Register(&Module{}) }

// Module runs the follower of one node. It requires platlog.Log,
// *settings.Settings, peer.Caller and *peer.Handlers.
type Module struct {
	follower *follower.Follower
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: ID, New: func() kernel.Module { return &Module{} }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	log, err := kernel.Use[platlog.Log](ctx)
	if err != nil {
		return err
	}
	config, err := kernel.Use[*settings.Settings](ctx)
	if err != nil {
		return err
	}
	caller, err := kernel.Use[peer.Caller](ctx)
	if err != nil {
		return err
	}
	handlers, err := kernel.Use[*peer.Handlers](ctx)
	if err != nil {
		return err
	}
	m.follower = follower.New(follower.Config{
		Node:            ctx.Identity.Node,
		Boot:            ctx.Identity.Boot,
		Log:             log,
		Peers:           caller,
		Logger:          ctx.Logger,
		PollWait:        config.Timing.LeaseTTL / pollsPerLease,
		Zone:            ctx.Identity.Zone,
		Relays:          config.Timing.LogRelays,
		DriftPPM:        config.Timing.DriftPPM,
		CheckpointEvery: config.Timing.CheckpointEvery,
	})
	m.follower.Serve(handlers)
	return m.provide(ctx)
}

func (m *Module) provide(ctx *kernel.Context) error {
	if err := kernel.Provide[state.Source](ctx, m.follower); err != nil {
		return err
	}
	if err := kernel.Provide[follower.Appender](ctx, m.follower); err != nil {
		return err
	}
	return kernel.Provide[follower.Contact](ctx, m.follower)
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	m.follower.Start()
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.follower.Stop()
	return nil
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any { return m.follower.Dump(clock.Now()) }
