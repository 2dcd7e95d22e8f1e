// Package router is the module "duty.router": it executes routing decisions,
// by the driver of backend servers or by forwarding to the node that is the
// admission point of the server.
package router

import (
	"errors"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
)

func init() { kernel.Register(&Module{}) }

// Module is the router.
type Module struct {
	logger   hclog.Logger
	self     route.Self
	settings *settings.Settings
	source   state.Source
	driver   backend.Driver
	overlay  *route.Holder
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "duty.router", New: func() kernel.Module { return &Module{} }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.logger = ctx.Logger
	m.self = route.Self{Node: ctx.Identity.Node, Boot: ctx.Identity.Boot}
	m.overlay = route.NewHolder()
	var missing [3]error
	m.settings, missing[0] = kernel.Use[*settings.Settings](ctx)
	m.source, missing[1] = kernel.Use[state.Source](ctx)
	m.driver, missing[2] = kernel.Use[backend.Driver](ctx)
	return errors.Join(
		errors.Join(missing[:]...),
		kernel.Provide[exchange.Handler](ctx, m),
		kernel.Provide[route.ActivationSink](ctx, m.overlay),
	)
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	return struct {
		Activations []route.Activation `json:"activations"`
	}{m.overlay.Overlay().Activations()}
}
