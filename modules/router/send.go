package router

import (
	"errors"
	"io"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/health"
	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// execute makes one attempt on the way that the decision names.
func (r *run) execute(d route.Decision) result {
	switch d.Path {
	case route.PathLocal:
		return r.local(d)
	case route.PathDirect:
		metricDirect.Add(1)
		return r.admitted(d, r.m.directGate(d))
	case route.PathDeputy:
		metricDeputized.Add(1)
	}
	return r.forward(d)
}

// local sends as the server's admission point. The record of tickets is kept
// here when the server does not keep it.
func (r *run) local(d route.Decision) result {
	if r.ticket == nil || serverKeepsRecord(d) {
		return r.admitted(d, r.m.gate(d))
	}
	entry, decided := r.m.records.begin(d, r.req, *r.ticket)
	if entry == nil {
		return decided
	}
	res := r.admitted(d, r.m.gate(d))
	return entry.end(res)
}

// serverKeepsRecord reports whether the server itself sees to it that a ticket
// runs at most once.
func serverKeepsRecord(d route.Decision) bool {
	return d.Service.Keyed && d.Service.ChecksFencing
}

// admitted waits for a place at the server and sends.
func (r *run) admitted(d route.Decision, gate *limit.Gate) result {
	permit, err := gate.Acquire(r.ctx, limit.Entry{Caller: r.req.Caller, Deadline: r.req.Deadline, Hop: r.req.Hop})
	if err != nil {
		return unsent(r.notAdmitted(err))
	}
	if r.changed(d) || r.wentOut(d) {
		permit.Release(limit.Result{})
		return result{moved: true}
	}
	if !r.m.maySend(d) {
		permit.Release(limit.Result{})
		res := unsent(outcome.NotRun(callerapi.ReasonNoLease))
		res.out = &outage{key: buffer.LessorKey(d), cause: buffer.Unled}
		return res
	}
	place := &place{m: r.m, d: d, permit: permit, key: r.req.Key, since: time.Now(), caller: r.caller}
	return r.send(d, place)
}

func (r *run) notAdmitted(err error) outcome.Verdict {
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		metricShed.Add(string(refused.Reason), 1)
		return outcome.NotRun(refused.Reason).Later(refused.RetryAfter)
	}
	return r.ended()
}

// changed reports whether the way changed while the request waited for a place.
func (r *run) changed(d route.Decision) bool {
	view, overlay := r.m.source.View(), r.m.overlay.Overlay()
	var now route.Decision
	if r.req.Keyed {
		now = route.Keyed(view, overlay, r.m.self, r.req.Service, r.req.Key)
	} else {
		now = route.Server(view, overlay, r.m.self, r.req.Service, d.Server)
	}
	if d.Path == route.PathDirect && now.Path == route.PathForward {
		now.Path = route.PathDirect
	}
	return !now.SameOwner(d)
}

// wentOut reports whether the way went out while the request waited for a place,
// so that a whole queue does not ask a server that has just said no.
func (r *run) wentOut(d route.Decision) bool {
	return r.probe == nil && r.m.buffer.Out(keysOf(d)...)
}

// send makes the attempt in a place at the server.
func (r *run) send(d route.Decision, at *place) result {
	body, err := r.req.Body.Open()
	if err != nil {
		at.leave(limit.Result{})
		return unsent(outcome.NotRun(callerapi.ReasonBodyUnreadable))
	}
	id := r.nextID()
	metricAttempts.Add(1)
	response, err := r.m.driver.Do(r.ctx, backend.Target{ID: d.Server, Address: d.Address}, r.backendRequest(d, id, body))
	if err != nil {
		return r.unanswered(d, at, err)
	}
	if echoed := response.Header.Get(serverapi.HeaderRequestID); echoed != "" && echoed != id {
		metricForeign.Add(1)
		eventForeignAnswer.Log(r.m.logger, "server", d.Server, "want", id, "got", echoed)
		_ = response.Body.Close()
		at.leave(limit.Result{})
		return result{verdict: outcome.Unknown(callerapi.ReasonForeignAnswer)}
	}
	verdict := outcome.Said(response.Outcome, response.Reason)
	if verdict.Outcome != serverapi.OutcomeAnswered {
		_ = response.Body.Close()
		return r.declined(d, at, verdict)
	}
	return r.answered(at, response)
}

func (r *run) backendRequest(d route.Decision, id string, body io.Reader) backend.Request {
	return backend.Request{
		Method:         r.req.Method,
		Path:           r.req.Path,
		Service:        r.req.Service,
		Key:            r.req.Key,
		Shard:          d.Shard,
		Fence:          d.Fence,
		Term:           d.Term,
		IdempotencyKey: r.req.Ticket,
		RequestID:      id,
		Idempotent:     r.config.Idempotent(r.req.Method),
		Hop:            r.req.Hop + 1,
		Deadline:       r.req.Deadline,
		Header:         r.req.Header,
		Body:           body,
		ContentLength:  r.req.Body.Length(),
	}
}

// unanswered ends an attempt that brought no answer.
func (r *run) unanswered(d route.Decision, at *place, err error) result {
	failure := r.failure(err)
	verdict := outcome.Failed(failure)
	if reason, broken := bodyFault(r.req.Body); broken {
		verdict.Reason = reason
		at.leave(limit.Result{})
		return unsent(verdict)
	}
	var local backend.LocalError
	if errors.As(err, &local) && !failure.Sent {
		at.leave(limit.Result{})
		return unsent(outcome.NotRun(callerapi.ReasonNoConnection))
	}
	at.leave(limit.Result{Failed: true})
	res := unsent(verdict)
	if failure.Canceled {
		return res
	}
	ejected := r.m.observeServer(d.Server, failure, time.Since(at.since))
	if d.Service.Keyed && (!failure.Sent || ejected) {
		res.out = &outage{key: buffer.ServerKey(d), cause: buffer.Unreachable}
	}
	return res
}

// failure reads the driver's error.
func (r *run) failure(err error) outcome.Failure {
	failure := outcome.Failure{Sent: true}
	var attempt *backend.AttemptError
	if errors.As(err, &attempt) {
		failure.Sent = attempt.Sent
		failure.Silent = attempt.Silent
	}
	failure.Canceled = r.caller.Err() != nil
	failure.Deadline = r.ctx.Err() != nil
	return failure
}

// bodyFault tells whether the caller's body is what ended the attempt.
func bodyFault(body *exchange.Body) (serverapi.Reason, bool) {
	err := body.Failure()
	if err == nil {
		return "", false
	}
	var large *exchange.TooLargeError
	if errors.As(err, &large) {
		return callerapi.ReasonBodyTooLarge, true
	}
	return callerapi.ReasonBodyUnreadable, true
}

// declined ends an attempt that the server did not run, or whose outcome the
// server does not know.
func (r *run) declined(d route.Decision, at *place, verdict outcome.Verdict) result {
	at.leave(limit.Result{Overloaded: verdict.Reason == serverapi.ReasonOverloaded})
	r.m.servers.Observe(time.Now(), d.Server, health.Answered)
	res := result{verdict: verdict, contact: true}
	switch verdict.Reason {
	case serverapi.ReasonNotOwner, serverapi.ReasonDraining, serverapi.ReasonOwnershipLost:
		if d.Service.Keyed {
			res.out = &outage{key: buffer.ShardKey(d), cause: buffer.Moving}
		}
	}
	return res
}

// answered begins to pass on the server's answer.
func (r *run) answered(at *place, response *backend.Response) result {
	body, err := openBody(r.req.Method, response.Header, response.Body, at.ended)
	if err != nil {
		metricBrokenAnswer.Add(1)
		at.ended(false)
		return result{verdict: outcome.Unknown(callerapi.ReasonBrokenAnswer), contact: true}
	}
	return result{
		verdict: outcome.Answered(),
		contact: true,
		answer: &exchange.Answer{
			Status:  response.Status,
			Outcome: serverapi.OutcomeAnswered,
			Header:  response.Header,
			Body:    body,
		},
	}
}

// silenceCounts is how long an attempt must have lasted for its missing answer
// to count against the server when the deadline ended it.
const silenceCounts = time.Second

// observeServer judges a server by an attempt without an answer. It reports
// whether the server is out now.
func (m *Module) observeServer(id topo.ServerID, f outcome.Failure, lasted time.Duration) bool {
	now := time.Now()
	seen := health.Broken
	switch {
	case !f.Sent && f.Deadline:
		return false
	case !f.Sent:
		seen = health.Unreachable
	case f.Deadline && lasted < silenceCounts:
		return m.servers.Ejected(now, id)
	case f.Silent, f.Deadline:
		seen = health.Silent
	}
	if m.servers.Observe(now, id, seen) {
		metricEjections.Add(1)
		eventServerEjected.Log(m.logger, "server", id)
	}
	return m.servers.Ejected(now, id)
}
