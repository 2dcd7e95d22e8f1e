package router

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/health"
	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// serverSlot is a request's slot at a server, held until its answer has ended.
type serverSlot struct {
	m      *Module
	d      route.Decision
	permit *limit.Permit
	key    string
	since  time.Time
	caller context.Context
}

// release releases the slot after an attempt without an answer to pass on.
func (p *serverSlot) release(result limit.Result) {
	p.permit.Release(result)
	outcome := serverapi.OutcomeNotRun
	if result.Failed {
		outcome = serverapi.OutcomeUnknown
	}
	p.observe(outcome)
}

// bodyEnded releases the slot when the answer has been passed on or was interrupted.
func (p *serverSlot) bodyEnded(whole bool) {
	disconnected := p.caller.Err() != nil
	p.permit.Release(limit.Result{Served: whole, Failed: !whole && !disconnected})
	if whole {
		p.m.servers.Observe(time.Now(), p.d.Server, health.Answered)
		p.observe(serverapi.OutcomeAnswered)
		return
	}
	if !disconnected && p.m.servers.Observe(time.Now(), p.d.Server, health.Broken) {
		metricEjections.Add(1)
		eventServerEjected.Log(p.m.logger, "server", p.d.Server)
	}
	p.observe(serverapi.OutcomeUnknown)
}

func (p *serverSlot) observe(outcome serverapi.Outcome) {
	p.m.observer.Observe(p.d.Shard, p.key, p.d.Server, time.Since(p.since), outcome)
}
