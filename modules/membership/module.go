// Package membership is the module duty.membership. It adds the node to the site
// and removes it at shutdown, watches other nodes, reads the VM list while this node
// needs it, and writes the decisions of package membership to the log. It provides
// *membership.ServerReports and membership.Roles, and answers peers' Status calls.
package membership

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/burdockspindle/burdockspindle/follower"
	"github.com/burdockspindle/burdockspindle/kernel"
	core "github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/settings"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/submit"
	"github.com/burdockspindle/burdockspindle/vmlist"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	defaultPollInterval = time.Second
	watchInterval       = time.Second
	watchTimeout        = 800 * time.Millisecond
	tickInterval        = time.Second
)

func init() { kernel.Register(&Module{}) }

// Module implements kernel.Module.
type Module struct {
	identity     kernel.Identity
	logger       hclog.Logger
	source       state.Source
	appender     follower.Appender
	caller       peer.Caller
	list         vmlist.List
	address      func() string
	reports      *core.ServerReports
	pollInterval time.Duration

	draining  atomic.Bool
	published atomic.Pointer[snapshot]
	duty      *duty
	writer    *submit.Writer
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "duty.membership", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	m.identity = ctx.Identity
	m.logger = ctx.Logger.Named("membership")
	m.reports = core.NewServerReports()
	m.published.Store(&snapshot{})
	settings, err := kernel.Use[*settings.Settings](ctx)
	if err != nil {
		return err
	}
	m.pollInterval = settings.Timing.VMPollEvery
	if m.pollInterval <= 0 {
		m.pollInterval = defaultPollInterval
	}
	var handlers *peer.Handlers
	for _, use := range []func() error{
		func() (err error) { m.source, err = kernel.Use[state.Source](ctx); return },
		func() (err error) { m.appender, err = kernel.Use[follower.Appender](ctx); return },
		func() (err error) { m.caller, err = kernel.Use[peer.Caller](ctx); return },
		func() (err error) { m.list, err = kernel.Use[vmlist.List](ctx); return },
		func() (err error) { handlers, err = kernel.Use[*peer.Handlers](ctx); return },
	} {
		if err := use(); err != nil {
			return err
		}
	}
	m.address = func() string { return settings.Peer.Address }
	if listener, err := kernel.Use[peer.Listener](ctx); err == nil {
		m.address = listener.Address
	}
	handlers.Status = m.status
	return errors.Join(
		kernel.Provide(ctx, m.reports),
		kernel.Provide[core.Roles](ctx, m),
	)
}

// Start implements kernel.Starter. It does not wait until the node has joined,
// because the log may be unavailable.
func (m *Module) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.writer = submit.NewWriter("membership-records", m.appender)
	m.duty = newDuty(m)
	w := &watcher{caller: m.caller, results: m.duty.answers, targets: m.duty.targets.Load}
	r := &reader{list: m.list, interval: m.pollInterval, enabled: m.duty.wantsList.Load, results: m.duty.lists}
	for _, run := range []func(context.Context){m.writer.Run, m.duty.run, w.run, r.run} {
		m.running.Go(func() { run(ctx) })
	}
	return nil
}

// Drain implements kernel.Drainer. The node releases its roles and makes no further
// decisions. It stays a member until Stop, because peers forward requests to it.
func (m *Module) Drain(context.Context) error {
	m.draining.Store(true)
	return nil
}

// Stop implements kernel.Stopper. After a drain it removes the node from the site.
func (m *Module) Stop(ctx context.Context) error {
	if m.cancel == nil {
		return nil
	}
	m.cancel()
	m.running.Wait()
	if m.draining.Load() {
		m.leave(ctx)
	}
	return nil
}

func (m *Module) leave(ctx context.Context) {
	record := &bspb.Record{Body: &bspb.Record_RemoveNode{RemoveNode: &bspb.RemoveNode{
		Node: string(m.identity.Node), Boot: string(m.identity.Boot),
	}}}
	if _, err := m.appender.Submit(ctx, record); err != nil {
		eventLeaveFailed.Log(m.logger, "error", err)
		return
	}
	eventLeft.Log(m.logger)
}

// status answers peers' Status calls.
func (m *Module) status(context.Context) (*bspb.StatusResponse, error) {
	answer := &bspb.StatusResponse{
		Applied:  uint64(m.source.View().Applied()),
		Draining: m.draining.Load(),
	}
	for _, id := range m.published.Load().unresponsive {
		answer.Silent = append(answer.Silent, string(id))
	}
	return answer, nil
}
