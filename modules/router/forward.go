package router

import (
	"errors"
	"net/http"
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/health"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// forward sends the request to the node that is the server's admission point, or
// to a deputy of that node.
func (r *requestState) forward(d route.Decision) result {
	view := r.m.source.View()
	node, exists := view.Node(d.Next())
	if !exists {
		return r.lessorUnavailable(d, outcome.NotRun(callerapi.ReasonNotLessor))
	}
	body, err := r.req.Body.Open()
	if err != nil {
		return unsent(outcome.NotRun(callerapi.ReasonBodyUnreadable))
	}
	metricForwarded.Add(1)
	load := r.m.remote.of(d.Server)
	load.own.Add(1)
	form := r.forwardForm(d)
	form.Applied = view.Applied()
	answer, response, err := r.m.forwarder.send(r.ctx, node.PeerAddress, form, r.req.Header, body)
	if err != nil {
		load.own.Add(-1)
		return r.forwardFailed(d, err)
	}
	r.m.nodes.Observe(time.Now(), d.Next(), health.Answered)
	r.m.remote.store(time.Now(), answer.Server, answer.Load)
	return r.forwardAnswered(d, answer, response, func() { load.own.Add(-1) })
}

func (r *requestState) forwardForm(d route.Decision) forwardedRequest {
	form := forwardedRequest{
		Format:     forwardFormat,
		From:       r.m.self.Node,
		To:         d.Next(),
		ID:         r.nextID(),
		Service:    r.req.Service,
		Keyed:      r.req.Keyed,
		Key:        []byte(r.req.Key),
		Method:     r.req.Method,
		Path:       []byte(r.req.Path),
		Length:     r.req.Body.Length(),
		DeadlineMs: forwardedDeadline(time.Until(r.req.Deadline)).Milliseconds(),
		Caller:     []byte(r.req.Caller),
		Ticket:     r.req.Ticket,
		Hop:        r.req.Hop,
	}
	if !r.req.Keyed {
		form.Chosen = d.Server
	}
	if d.Path == route.PathDeputy {
		form.Past = d.Lessor
	}
	return form
}

// forwardMargin is how much earlier the deadline of the other node is, so that
// its verdict arrives before this node's deadline.
const forwardMargin = 5 * time.Millisecond

func forwardedDeadline(remaining time.Duration) time.Duration {
	if remaining > 4*forwardMargin {
		return remaining - forwardMargin
	}
	return max(remaining, 0)
}

// forwardAnswered passes on the other node's answer.
func (r *requestState) forwardAnswered(d route.Decision, form forwardedAnswer, response *http.Response, done func()) result {
	verdict := outcome.FromHeaders(form.Outcome, form.Reason).WithRetryAfter(time.Duration(form.RetryAfterMs) * time.Millisecond)
	if verdict.Outcome != serverapi.OutcomeAnswered || !form.HasBody {
		_ = response.Body.Close()
		done()
		if verdict.Reason == callerapi.ReasonNotLessor && verdict.NotRunProven() {
			return r.forwardRejected(d, verdict)
		}
		return result{verdict: verdict, contacted: true, ownerAwaited: true}
	}
	answer := answerOf(form, response.Header)
	body, err := openBody(r.req.Method, answer.Header, response.Body, func(bool) { done() })
	if err != nil {
		done()
		metricBrokenAnswer.Add(1)
		return result{verdict: outcome.Unknown(callerapi.ReasonBrokenAnswer), contacted: true}
	}
	answer.Body = body
	return result{verdict: outcome.Answered(), contacted: true, answer: answer}
}

// forwardFailed ends a forward without an answer.
func (r *requestState) forwardFailed(d route.Decision, err error) result {
	failure := outcome.Failure{
		Sent:     true,
		Canceled: r.caller.Err() != nil,
		Deadline: r.ctx.Err() != nil,
	}
	var failed *forwardError
	if errors.As(err, &failed) {
		failure.Sent = failed.sent
		failure.Stalled = failed.stalled
	}
	verdict := outcome.Failed(failure)
	if reason, broken := bodyFault(r.req.Body); broken {
		verdict.Reason = reason
		return unsent(verdict)
	}
	var foreign *ForeignAnswerError
	if errors.As(err, &foreign) {
		eventForeignAnswer.Log(r.m.logger, "node", d.Next(), "want", foreign.Want, "got", foreign.Got)
		return unsent(outcome.Unknown(callerapi.ReasonForeignAnswer))
	}
	if failure.Canceled || failure.Deadline {
		return unsent(verdict)
	}
	r.m.observeNode(d, failed)
	if failure.Sent {
		return unsent(verdict)
	}
	return r.bypass(d, outcome.NotRun(callerapi.ReasonNotLessor))
}

// forwardRejected returns the result when the other node reports that it is not the
// lessor, or not a deputy. A lessor's rejection makes the request wait for a
// change; after a deputy's rejection another deputy may be tried.
func (r *requestState) forwardRejected(d route.Decision, v outcome.Verdict) result {
	if d.Path == route.PathDeputy {
		return r.bypass(d, v)
	}
	return r.lessorUnavailable(d, v)
}

// bypass routes the request past a lessor or deputy that did not take it, if
// another route exists; v is the verdict otherwise.
func (r *requestState) bypass(d route.Decision, v outcome.Verdict) result {
	r.bypassed = append(r.bypassed, d.Next())
	d.Path = route.PathForward
	if r.bypassLessor(r.m.source.View(), d).Path != route.PathForward {
		return result{routeChanged: true}
	}
	r.bypassed = nil
	return r.lessorUnavailable(d, v)
}

// lessorUnavailable returns the result when the lessor's node cannot take the
// request.
func (r *requestState) lessorUnavailable(d route.Decision, v outcome.Verdict) result {
	res := unsent(v)
	res.outage = &outage{key: buffer.LessorKey(d), cause: buffer.NoLessor}
	return res
}

// observeNode updates a node's health after a forward without an answer. A stalled
// connection that was reused does not count against the node, because the next
// attempt opens a new one.
func (m *Module) observeNode(d route.Decision, failed *forwardError) {
	if failed == nil || failed.stalled && failed.reused {
		return
	}
	observation := health.Broken
	switch {
	case failed.stalled:
		observation = health.Unresponsive
	case !failed.sent:
		observation = health.Unreachable
	}
	if failed.stalled {
		eventUnresponsiveNode.Log(m.logger, "node", d.Next())
	}
	if m.nodes.Observe(time.Now(), d.Next(), observation) {
		metricEjections.Add(1)
		eventNodeEjected.Log(m.logger, "node", d.Next())
	}
}
