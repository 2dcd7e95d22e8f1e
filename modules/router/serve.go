package router

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Serve implements exchange.Handler.
func (m *Module) Serve(ctx context.Context, req *exchange.Request) *exchange.Answer {
	decision := route.Keyed(m.source.View(), m.overlay.Overlay(), m.self, req.Service, req.Key)
	if decision.Path == route.PathRefuse || decision.Path == route.PathWait {
		return refusal(outcome.NotRun(decision.Reason))
	}
	if req.Deadline.IsZero() {
		req.Deadline = time.Now().Add(decision.Service.Deadline)
	}
	return m.attempt(ctx, req, decision)
}

func (m *Module) attempt(ctx context.Context, req *exchange.Request, d route.Decision) *exchange.Answer {
	body, err := req.Body.Open()
	if err != nil {
		return refusal(outcome.NotRun(callerapi.ReasonBodyUnreadable))
	}
	response, err := m.driver.Do(ctx, backend.Target{ID: d.Server, Address: d.Address}, backend.Request{
		Method:         req.Method,
		Path:           req.Path,
		Service:        req.Service,
		Key:            req.Key,
		Shard:          d.Shard,
		Fence:          d.Fence,
		Term:           d.Term,
		IdempotencyKey: req.Ticket,
		RequestID:      req.ID,
		Deadline:       req.Deadline,
		Header:         req.Header,
		Body:           body,
		ContentLength:  req.Body.Length(),
	})
	if err != nil {
		return refusal(outcome.Failed(failureOf(ctx, err)))
	}
	verdict := outcome.Said(response.Outcome, response.Reason)
	if verdict != outcome.Answered() {
		_ = response.Body.Close()
		return refusal(verdict)
	}
	return &exchange.Answer{Status: response.Status, Outcome: verdict.Outcome, Header: response.Header, Body: response.Body}
}

func failureOf(ctx context.Context, err error) outcome.Failure {
	failure := outcome.Failure{Sent: true}
	var attempt *backend.AttemptError
	if errors.As(err, &attempt) {
		failure.Sent = attempt.Sent
		failure.Silent = attempt.Silent
	}
	failure.Canceled = errors.Is(ctx.Err(), context.Canceled)
	failure.Deadline = errors.Is(ctx.Err(), context.DeadlineExceeded)
	return failure
}

func refusal(v outcome.Verdict) *exchange.Answer {
	return &exchange.Answer{Status: v.Status(), Outcome: v.Outcome, Reason: v.Reason, RetryAfter: v.RetryAfter}
}

// IssueTicket implements exchange.Handler.
func (m *Module) IssueTicket(context.Context, topo.Service, bool, string) (callerapi.Ticket, *exchange.Answer) {
	return callerapi.Ticket{}, refusal(outcome.NotRun(callerapi.ReasonNoOwner))
}

// BodyLimit implements exchange.Handler.
func (m *Module) BodyLimit(service topo.Service) (int64, bool) {
	config, exists := m.source.View().Service(service)
	if !exists {
		return 0, false
	}
	return min(config.MaxBodyBytes, m.settings.Limits.MaxBodyBytes), true
}
