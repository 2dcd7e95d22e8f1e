package serverhttp

import (
	"context"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
)

func init() { kernel.Register(&Module{}) }

// Module implements kernel.Module and provides the backend.Driver.
type Module struct {
	ctx    *kernel.Context
	driver *Driver
	source state.Source
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "servers.http", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	s, err := kernel.Use[*settings.Settings](ctx)
	if err != nil {
		return err
	}
	options, err := OptionsFrom(s)
	if err != nil {
		return err
	}
	m.ctx = ctx
	options.Share = func(to backend.Target) int {
		return ConnectionShare(m.source.View(), ctx.Identity.Node, to.ID)
	}
	if provided, err := kernel.Use[backend.Dial](ctx); err == nil {
		options.Dial = provided
	}
	m.driver = NewDriver(options, ctx.Logger.Named("servers"))
	return kernel.Provide[backend.Driver](ctx, m.driver)
}

// Validate implements kernel.Validator. It looks up the state.Source because
// that module is provisioned after this one.
func (m *Module) Validate() error {
	source, err := kernel.Use[state.Source](m.ctx)
	m.source = source
	return err
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	m.driver.Close()
	return nil
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any { return m.driver.Dump() }
