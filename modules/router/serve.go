package router

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

// replayBufferBytes is how much of a forwarded request body is buffered before the
// first attempt, so that the request can be sent again.
const replayBufferBytes = 64 << 10

// busyRetryAfter is the Retry-After time of a node that has reached its limit of
// requests, and shedRetryAfter the one while a dependency is overloaded.
const (
	busyRetryAfter = 500 * time.Millisecond
	shedRetryAfter = time.Second
)

// Serve implements exchange.Handler.
func (m *Module) Serve(ctx context.Context, req *exchange.Request) *exchange.Answer {
	answer := m.serve(ctx, req)
	if req.ForwardedBy == "" {
		countAnswer(req.Service, answer)
		m.recordShedding(req, answer)
	}
	return answer
}

func (m *Module) serve(ctx context.Context, req *exchange.Request) *exchange.Answer {
	r, refused := m.prepare(ctx, req)
	if refused != nil {
		return refusal(withRetryAfter(*refused))
	}
	release, refused := m.admit(req)
	if refused != nil {
		return refusal(withRetryAfter(*refused))
	}
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithDeadline(ctx, req.Deadline)
	answer := r.process()
	end := func() { cancel(); release() }
	if answer.Body == nil {
		end()
		return answer
	}
	answer.Body = &endingBody{ReadCloser: answer.Body, end: end}
	return answer
}

// prepare checks a request against the site configuration.
func (m *Module) prepare(ctx context.Context, req *exchange.Request) (*requestState, *outcome.Verdict) {
	config, exists := m.source.View().Service(req.Service)
	if !exists {
		return nil, refuse(callerapi.ReasonUnknownService)
	}
	r := &requestState{m: m, caller: ctx, req: req, config: config}
	switch {
	case config.Keyed && !req.Keyed:
		return nil, refuse(callerapi.ReasonMissingKey)
	case !config.Keyed && req.Keyed:
		return nil, refuse(callerapi.ReasonUnexpectedKey)
	case req.Ticket == "" && config.RequireIdempotencyKey && !config.Idempotent(req.Method):
		return nil, refuse(callerapi.ReasonTicketRequired)
	}
	if req.Ticket != "" {
		issued, valid := readTicket(config, req)
		if !valid {
			return nil, refuse(callerapi.ReasonBadTicket)
		}
		r.ticket = &issued
	}
	req.Deadline = deadlineOf(time.Now(), req.Deadline, config.Deadline)
	return r, nil
}

func refuse(reason serverapi.Reason) *outcome.Verdict {
	v := outcome.NotRun(reason)
	return &v
}

// readTicket parses a ticket, and reports whether it was issued for this service
// and key and has the scope, fence or term, that the service uses.
func readTicket(config *siteconfig.Service, req *exchange.Request) (ticket.Ticket, bool) {
	issued, err := ticket.Parse(req.Ticket)
	if err != nil || issued.Subject != ticket.SubjectOf(req.Service, req.Key) {
		return issued, false
	}
	return issued, issued.Scope.Kind == scopeKind(config)
}

func scopeKind(config *siteconfig.Service) ticket.ScopeKind {
	if config.Keyed && config.ChecksFencing {
		return ticket.ScopeFence
	}
	return ticket.ScopeTerm
}

// deadlineOf limits the caller's deadline to the maximum of the service.
func deadlineOf(now, requested time.Time, allowed time.Duration) time.Time {
	if allowed <= 0 {
		allowed = callerapi.MaxDeadline
	}
	latest := now.Add(allowed)
	if requested.IsZero() || requested.After(latest) {
		return latest
	}
	return requested
}

// admit admits a request, unless the node is full or the request is shed. A
// forwarded request was already admitted by the node that received it from the
// caller.
func (m *Module) admit(req *exchange.Request) (func(), *outcome.Verdict) {
	metricInFlight.Add(1)
	m.inFlight.Add(1)
	m.sweeper.requestStarted()
	release := func() {
		metricInFlight.Add(-1)
		m.inFlight.Add(-1)
	}
	if req.ForwardedBy != "" {
		return release, nil
	}
	now := time.Now()
	if share := m.shed.Share(now, m.source.View().Site(), req.Service); share > 0 && rand.Float64() < share {
		release()
		metricShed.Add(string(callerapi.ReasonDependency), 1)
		v := outcome.NotRun(callerapi.ReasonDependency).WithRetryAfter(shedRetryAfter)
		return nil, &v
	}
	if !m.node.Acquire(req.Service, req.Hop) {
		release()
		metricShed.Add(string(callerapi.ReasonBusy), 1)
		v := outcome.NotRun(callerapi.ReasonBusy).WithRetryAfter(busyRetryAfter)
		return nil, &v
	}
	m.budgets.first(req.Service, now)
	return func() { m.node.Release(req.Service); release() }, nil
}

// recordShedding records whether the request was refused, for services that depend on
// this one.
func (m *Module) recordShedding(req *exchange.Request, answer *exchange.Answer) {
	switch answer.Reason {
	case callerapi.ReasonDependency, callerapi.ReasonCanceled:
		return
	}
	refused := answer.Status >= 429 && answer.Outcome != serverapi.OutcomeAnswered
	m.shed.Add(time.Now(), m.source.View().Site(), req.Service, req.Hop > 0, refused)
}

// BodyLimit implements exchange.Handler.
func (m *Module) BodyLimit(service topo.Service) (int64, bool) {
	config, exists := m.source.View().Service(service)
	if !exists {
		return 0, false
	}
	limit := m.settings.Limits.MaxBodyBytes
	if config.MaxBodyBytes > 0 && (limit <= 0 || config.MaxBodyBytes < limit) {
		limit = config.MaxBodyBytes
	}
	return limit, true
}

// endingBody ends the request when its answer's body is closed.
type endingBody struct {
	io.ReadCloser
	end  func()
	once sync.Once
}

// Close implements io.Closer.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
