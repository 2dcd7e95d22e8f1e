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

// execute makes one attempt along the route of the decision.
func (r *requestState) execute(d route.Decision) result {
	switch d.Path {
	case route.PathLocal:
		return r.local(d)
	case route.PathDirect:
		metricDirect.Add(1)
		return r.admitted(d, r.m.deputyGate(d))
	case route.PathDeputy:
		metricDeputized.Add(1)
	}
	return r.forward(d)
}

// local sends as the server's admission point. This node keeps the record of
// tickets if the server does not.
func (r *requestState) local(d route.Decision) result {
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

// serverKeepsRecord reports whether the server itself ensures that a ticket runs
// at most once.
func serverKeepsRecord(d route.Decision) bool {
	return d.Service.Keyed && d.Service.ChecksFencing
}

// admitted waits for a slot at the server and sends.
func (r *requestState) admitted(d route.Decision, gate *limit.Gate) result {
	permit, err := gate.Acquire(r.ctx, limit.Entry{Caller: r.req.Caller, Deadline: r.req.Deadline, Hop: r.req.Hop})
	if err != nil {
		return unsent(r.notAdmitted(err))
	}
	if r.changed(d) || r.outageObserved(d) {
		permit.Release(limit.Result{})
		return result{routeChanged: true}
	}
	if !r.m.maySend(d) {
		permit.Release(limit.Result{})
		res := unsent(outcome.NotRun(callerapi.ReasonNoLease))
		res.outage = &outage{key: buffer.LessorKey(d), cause: buffer.NoLessor}
		return res
	}
	slot := &serverSlot{m: r.m, d: d, permit: permit, key: r.req.Key, since: time.Now(), caller: r.caller}
	return r.send(d, slot)
}

func (r *requestState) notAdmitted(err error) outcome.Verdict {
	var refused *limit.RefusedError
	if errors.As(err, &refused) {
		metricShed.Add(string(refused.Reason), 1)
		return outcome.NotRun(refused.Reason).WithRetryAfter(refused.RetryAfter)
	}
	return r.contextVerdict()
}

// changed reports whether the route changed while the request waited for a slot.
func (r *requestState) changed(d route.Decision) bool {
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

// outageObserved reports whether the route had an outage while the request waited
// for a slot, so that a whole queue is not sent to a server that has just failed.
func (r *requestState) outageObserved(d route.Decision) bool {
	return r.probe == nil && r.m.buffer.HasOutage(keysOf(d)...)
}

// send makes the attempt in a slot at the server.
func (r *requestState) send(d route.Decision, slot *serverSlot) result {
	body, err := r.req.Body.Open()
	if err != nil {
		slot.release(limit.Result{})
		return unsent(outcome.NotRun(callerapi.ReasonBodyUnreadable))
	}
	id := r.nextID()
	metricAttempts.Add(1)
	response, err := r.m.driver.Do(r.ctx, backend.Target{ID: d.Server, Address: d.Address}, r.backendRequest(d, id, body))
	if err != nil {
		return r.attemptFailed(d, slot, err)
	}
	if echoed := response.Header.Get(serverapi.HeaderRequestID); echoed != "" && echoed != id {
		metricForeign.Add(1)
		eventForeignAnswer.Log(r.m.logger, "server", d.Server, "want", id, "got", echoed)
		_ = response.Body.Close()
		slot.release(limit.Result{})
		return result{verdict: outcome.Unknown(callerapi.ReasonForeignAnswer)}
	}
	verdict := outcome.FromHeaders(response.Outcome, response.Reason)
	if verdict.Outcome != serverapi.OutcomeAnswered {
		_ = response.Body.Close()
		return r.serverDeclined(d, slot, verdict)
	}
	return r.serverAnswered(slot, response)
}

func (r *requestState) backendRequest(d route.Decision, id string, body io.Reader) backend.Request {
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

// attemptFailed ends an attempt without an answer.
func (r *requestState) attemptFailed(d route.Decision, slot *serverSlot, err error) result {
	failure := r.classifyFailure(err)
	verdict := outcome.Failed(failure)
	if reason, broken := bodyFault(r.req.Body); broken {
		verdict.Reason = reason
		slot.release(limit.Result{})
		return unsent(verdict)
	}
	var local backend.LocalError
	if errors.As(err, &local) && !failure.Sent {
		slot.release(limit.Result{})
		return unsent(outcome.NotRun(callerapi.ReasonNoConnection))
	}
	slot.release(limit.Result{Failed: true})
	res := unsent(verdict)
	if failure.Canceled {
		return res
	}
	ejected := r.m.observeServer(d.Server, failure, time.Since(slot.since))
	if d.Service.Keyed && (!failure.Sent || ejected) {
		res.outage = &outage{key: buffer.ServerKey(d), cause: buffer.Unreachable}
	}
	return res
}

// classifyFailure converts the driver's error.
func (r *requestState) classifyFailure(err error) outcome.Failure {
	failure := outcome.Failure{Sent: true}
	var attempt *backend.AttemptError
	if errors.As(err, &attempt) {
		failure.Sent = attempt.Sent
		failure.Stalled = attempt.Unresponsive
	}
	failure.Canceled = r.caller.Err() != nil
	failure.Deadline = r.ctx.Err() != nil
	return failure
}

// bodyFault reports whether the caller's body ended the attempt, and the reason.
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

// serverDeclined ends an attempt that the server did not run, or whose outcome is
// unknown to the server.
func (r *requestState) serverDeclined(d route.Decision, slot *serverSlot, verdict outcome.Verdict) result {
	slot.release(limit.Result{Overloaded: verdict.Reason == serverapi.ReasonOverloaded})
	r.m.servers.Observe(time.Now(), d.Server, health.Answered)
	res := result{verdict: verdict, contacted: true}
	switch verdict.Reason {
	case serverapi.ReasonNotOwner, serverapi.ReasonDraining, serverapi.ReasonOwnershipLost:
		if d.Service.Keyed {
			res.outage = &outage{key: buffer.ShardKey(d), cause: buffer.Moving}
		}
	}
	return res
}

// serverAnswered starts to pass on the server's answer.
func (r *requestState) serverAnswered(slot *serverSlot, response *backend.Response) result {
	body, err := openBody(r.req.Method, response.Header, response.Body, slot.bodyEnded)
	if err != nil {
		metricBrokenAnswer.Add(1)
		slot.bodyEnded(false)
		return result{verdict: outcome.Unknown(callerapi.ReasonBrokenAnswer), contacted: true}
	}
	return result{
		verdict:   outcome.Answered(),
		contacted: true,
		answer: &exchange.Answer{
			Status:  response.Status,
			Outcome: serverapi.OutcomeAnswered,
			Header:  response.Header,
			Body:    body,
		},
	}
}

// minUnresponsiveDuration is the minimum duration of an attempt that ended at its
// deadline without an answer, for it to count against the server.
const minUnresponsiveDuration = time.Second

// observeServer updates a server's health after an attempt without an answer. It
// reports whether the server is ejected now.
func (m *Module) observeServer(id topo.ServerID, f outcome.Failure, duration time.Duration) bool {
	now := time.Now()
	observation := health.Broken
	switch {
	case !f.Sent && f.Deadline:
		return false
	case !f.Sent:
		observation = health.Unreachable
	case f.Deadline && duration < minUnresponsiveDuration:
		return m.servers.Ejected(now, id)
	case f.Stalled, f.Deadline:
		observation = health.Unresponsive
	}
	if m.servers.Observe(now, id, observation) {
		metricEjections.Add(1)
		eventServerEjected.Log(m.logger, "server", id)
	}
	return m.servers.Ejected(now, id)
}
