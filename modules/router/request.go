package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/exchange"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/retry"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

// requestState is one request on its way through this node.
type requestState struct {
	m      *Module
	ctx    context.Context // ends with the deadline or the caller
	caller context.Context // ends with the caller alone
	req    *exchange.Request
	config *siteconfig.Service
	ticket *ticket.Ticket // nil for none

	tally           outcome.Tally
	attemptIDs      int             // names the attempts
	countedAttempts int             // attempts that were not rerouted
	tried           []topo.ServerID // servers of an unkeyed service that failed
	waited          []buffer.Key    // outages that the request met
	probe           *buffer.Key     // outage that its next attempt asks about
	bypassed        []topo.NodeID   // lessors and deputies that did not take it
}

// result is what one attempt came to.
type result struct {
	verdict outcome.Verdict
	answer  *exchange.Answer // with an answered verdict
	outage  *outage          // what the attempt showed to be out
	// contacted: the server, or the lessor's node, answered something.
	contacted bool
	// ownerAwaited: the lessor's node, which knows more, has waited for the owner
	// already.
	ownerAwaited bool
	// routeChanged: the way changed before anything was sent; decide anew at once.
	routeChanged bool
}

// outage is what an attempt showed to be out.
type outage struct {
	key   buffer.Key
	cause buffer.Cause
}

func unsent(v outcome.Verdict) result { return result{verdict: v} }

// process takes the request to its final answer.
func (r *requestState) process() *exchange.Answer {
	defer r.dropProbe()
	for {
		viewChanged := r.m.source.Changed()
		overlayChanged := r.m.overlay.Changed()
		d, refused := r.decide(r.m.source.View())
		if refused != nil {
			return r.final(*refused)
		}
		ready, answer := r.waitUntilReady(d, viewChanged, overlayChanged)
		if ready {
			answer = r.attemptOnce(d)
		}
		if answer != nil {
			return answer
		}
	}
}

// decide returns where the request goes now, or the verdict if nowhere.
func (r *requestState) decide(view *state.View) (route.Decision, *outcome.Verdict) {
	d, refused := r.destination(view)
	if refused != nil {
		return d, refused
	}
	if d.Path == route.PathRefuse {
		v := outcome.NotRun(d.Reason)
		return d, &v
	}
	if d.Path != route.PathForward {
		return d, nil
	}
	if r.req.From != "" {
		return r.decideAsDeputy(view, d)
	}
	if r.unreachable(d.Lessor) {
		d = r.bypassLessor(view, d)
	}
	return d, nil
}

// decideAsDeputy decides for a forwarded request whose lessor is another node: it is
// refused, unless the sender took this node for a deputy of that lessor.
func (r *requestState) decideAsDeputy(view *state.View, d route.Decision) (route.Decision, *outcome.Verdict) {
	d, allowed := d.AsDeputy(view, r.m.self, r.req.Past)
	if !allowed {
		return d, refuse(callerapi.ReasonNotLessor)
	}
	return d, nil
}

// unreachable reports whether a node cannot be reached, as far as this request or the
// node knows.
func (r *requestState) unreachable(id topo.NodeID) bool {
	return slices.Contains(r.bypassed, id) || r.m.nodes.Ejected(time.Now(), id)
}

func (r *requestState) destination(view *state.View) (route.Decision, *outcome.Verdict) {
	if r.req.Keyed {
		return route.Keyed(view, r.m.overlay.Overlay(), r.m.self, r.req.Service, r.req.Key), nil
	}
	return r.choose(view)
}

// bypassLessor turns a forward into the way past the lessor where that is allowed:
// the server checks fences itself, or the service has no ownership and the
// request carries no ticket, whose record the lessor keeps.
func (r *requestState) bypassLessor(view *state.View, d route.Decision) route.Decision {
	if !d.Service.Keyed && r.ticket != nil {
		return d
	}
	return d.PastLessor(view, r.m.self, r.unreachable, rand.Float64)
}

// attemptOnce makes one attempt. It returns the final answer, or nil to go on.
func (r *requestState) attemptOnce(d route.Decision) *exchange.Answer {
	res := r.execute(d)
	r.reportOutcome(d, res)
	if res.routeChanged {
		return nil
	}
	r.tally.Add(res.verdict)
	r.countedAttempts++
	if res.verdict.Outcome == serverapi.OutcomeAnswered {
		return res.answer
	}
	next := retry.Decide(time.Now(), r.retryAttempt(res), r.takeRetry, rand.Float64)
	switch next.Action {
	case retry.Reroute:
		r.countedAttempts--
		r.reroute(d, res)
		return nil
	case retry.Again:
		metricRetries.Add(1)
		r.tried = append(r.tried, d.Server)
		if r.pause(next.Wait) {
			return nil
		}
	}
	return r.final(res.verdict)
}

func (r *requestState) retryAttempt(res result) retry.Attempt {
	return retry.Attempt{
		Verdict:    res.verdict,
		Keyed:      r.config.Keyed,
		Idempotent: r.config.Idempotent(r.req.Method),
		Replayable: r.req.Body.Replayable(),
		Canceled:   r.caller.Err() != nil,
		Forwarded:  r.req.From != "",
		Settled:    res.ownerAwaited,
		Hop:        r.req.Hop,
		Attempts:   r.countedAttempts,
		Deadline:   r.req.Deadline,
	}
}

func (r *requestState) takeRetry() bool { return r.m.budgets.take(r.req.Service, time.Now()) }

// reroute makes sure that the next attempt waits for a change, or for its turn
// to probe, when the attempt itself named nothing that is out.
func (r *requestState) reroute(d route.Decision, res result) {
	metricRerouted.Add(1)
	if res.outage == nil {
		r.m.buffer.Failed(time.Now(), keysOf(d)[0], buffer.Moving)
	}
}

// reportOutcome tells the buffer what an attempt showed.
func (r *requestState) reportOutcome(d route.Decision, res result) {
	now := time.Now()
	if res.outage != nil {
		r.m.buffer.Failed(now, res.outage.key, res.outage.cause)
		r.addWaited(res.outage.key)
	}
	if res.verdict.Outcome == serverapi.OutcomeAnswered {
		r.m.buffer.Recovered(now, keysOf(d)...)
		r.m.buffer.Passed(now, r.waited...)
	} else if res.contacted {
		r.m.buffer.Recovered(now, contactKey(d))
	}
	r.dropProbe()
}

// contactKey is what an answer of any kind shows to be reachable.
func contactKey(d route.Decision) buffer.Key {
	if d.Next() != "" {
		return buffer.Key{}
	}
	return buffer.ServerKey(d)
}

// pause waits before a retry; it is false when the request ended meanwhile.
func (r *requestState) pause(wait time.Duration) bool { return clock.Wait(r.ctx, wait) }

// contextVerdict is the verdict when the context ended while nothing was under way.
func (r *requestState) contextVerdict() outcome.Verdict {
	if r.caller.Err() != nil {
		return outcome.NotRun(callerapi.ReasonCanceled)
	}
	return outcome.NotRun(serverapi.ReasonDeadline)
}

// Times to come back that are given when nothing better is known, and how much
// is added at random so that callers do not come back all at once.
const (
	defaultRetryAfter = 500 * time.Millisecond
	retryAfterJitter  = 0.5
)

// final is the answer when the request is given up.
func (r *requestState) final(last outcome.Verdict) *exchange.Answer {
	return refusal(withRetryAfter(r.tally.Final(last)))
}

// withRetryAfter gives every verdict after which coming back may help a time
// for it.
func withRetryAfter(v outcome.Verdict) outcome.Verdict {
	if !worthRetrying(v.Status()) {
		v.RetryAfter = 0
		return v
	}
	if v.RetryAfter == 0 {
		v.RetryAfter = defaultRetryAfter
	}
	v.RetryAfter += time.Duration(rand.Float64() * retryAfterJitter * float64(v.RetryAfter))
	return v
}

func worthRetrying(status int) bool { return status == 429 || status >= 500 }

// nextID names the next attempt.
func (r *requestState) nextID() string {
	r.attemptIDs++
	return r.req.ID + "." + strconv.Itoa(r.attemptIDs)
}
