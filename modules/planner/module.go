// Package planner is the module duty.planner. The node that holds the planner's
// role carries out the decisions of package planner: it submits records for
// shards without an owner and sends requests to lessors for the others. Every
// node reports the load that it observed through a tree whose root is that node.
package planner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/submit"
)

const (
	decisionInterval = time.Second            // between decisions when nothing changes
	changeDelay      = 100 * time.Millisecond // delay after a change, so that one decision covers several
	restFactor       = 100                    // rest per decision time; decisions take 1 % of a core at most
	maxRest          = 5 * time.Second
	moveTimeout      = 2 * time.Second // for one request to a lessor
)

func init() { kernel.Register(&Module{}) }

// Module implements kernel.Module.
type Module struct {
	identity kernel.Identity
	logger   hclog.Logger
	source   state.Source
	caller   peer.Caller
	handlers *peer.Handlers
	roles    membership.Roles
	policy   balance.Policy
	recorder *load.Recorder   // nil if no module measures load
	stats    load.StatsSource // nil if there is no router
	inbox    *inbox
	writer   *submit.Writer
	decider  *decider
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "duty.planner", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.identity = ctx.Identity
	m.logger = ctx.Logger.Named("planner")
	m.inbox = newInbox()
	appender, err := kernel.Use[follower.Appender](ctx)
	if err != nil {
		return err
	}
	for _, use := range []func() error{
		func() (err error) { m.source, err = kernel.Use[state.Source](ctx); return },
		func() (err error) { m.caller, err = kernel.Use[peer.Caller](ctx); return },
		func() (err error) { m.handlers, err = kernel.Use[*peer.Handlers](ctx); return },
		func() (err error) { m.roles, err = kernel.Use[membership.Roles](ctx); return },
		func() (err error) { m.policy, err = kernel.Use[balance.Policy](ctx); return },
	} {
		if err := use(); err != nil {
			return err
		}
	}
	m.recorder, _ = kernel.Use[*load.Recorder](ctx)
	m.stats, _ = kernel.Use[load.StatsSource](ctx)
	m.writer = submit.NewWriter("planner-records", appender)
	m.handlers.ReportLoad = m.inbox.handle
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.decider = newDecider(m)
	requests := &mover{module: m, requests: m.decider.requests, results: m.decider.results}
	reports := &reporter{module: m}
	for _, run := range []func(context.Context){m.writer.Run, m.decider.run, requests.run, reports.run} {
		m.running.Go(func() { run(ctx) })
	}
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	if m.cancel != nil {
		m.cancel()
		m.running.Wait()
	}
	return nil
}

// Dump implements kernel.Dumper.
func (m *Module) Dump() any {
	d := dump{
		Holds:   m.roles.Holds(membership.RolePlanner),
		Policy:  m.policy.Name(),
		Reports: m.inbox.size(),
		Writer:  m.writer.Dump(),
	}
	if m.decider != nil {
		d.Latest = m.decider.latest.Load()
	}
	return d
}

type dump struct {
	Holds   bool             `json:"holds"`
	Policy  string           `json:"policy"`
	Reports int              `json:"reports"`
	Writer  submit.Dump      `json:"writer"`
	Latest  *decisionSummary `json:"latest,omitempty"`
}
