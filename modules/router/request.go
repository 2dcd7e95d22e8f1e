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

// requestState is the state of one request that this node routes.
type requestState struct {
	m      *Module
	ctx    context.Context // ends with the deadline or the caller
	caller context.Context // ends only with the caller
	req    *exchange.Request
	config *siteconfig.Service
	ticket *ticket.Ticket // nil if the request has no ticket

	tally           outcome.Tally
	attemptIDs      int             // number of attempt IDs issued
	countedAttempts int             // attempts except those that were rerouted
	tried           []topo.ServerID // servers of an unkeyed service that failed
	waited          []buffer.Key    // outages that the request encountered
	probe           *buffer.Key     // outage that the next attempt probes
	bypassed        []topo.NodeID   // lessors and deputies that did not take it
}

// result is the result of one attempt.
type result struct {
	verdict outcome.Verdict
	answer  *exchange.Answer // set if the verdict is answered
	outage  *outage          // outage that the attempt detected
	// contacted: the server, or the lessor's node, sent any answer.
	contacted bool
	// ownerAwaited: the lessor's node, which has more information, has already
	// waited for the owner.
	ownerAwaited bool
	// routeChanged: the route changed before anything was sent; decide again
	// immediately.
	routeChanged bool
}

// outage is an outage that an attempt detected.
type outage struct {
	key   buffer.Key
	cause buffer.Cause
}

func unsent(v outcome.Verdict) result { return result{verdict: v} }

// process routes the request until it has a final answer.
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

// decide returns the route of the next attempt, or a verdict if there is none.
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
	if r.req.ForwardedBy != "" {
		return r.decideAsDeputy(view, d)
	}
	if r.unreachable(d.Lessor) {
		d = r.bypassLessor(view, d)
	}
	return d, nil
}

// decideAsDeputy decides for a forwarded request whose lessor is another node. It
// refuses the request, unless the sender chose this node as a deputy of that
// lessor.
func (r *requestState) decideAsDeputy(view *state.View, d route.Decision) (route.Decision, *outcome.Verdict) {
	d, allowed := d.AsDeputy(view, r.m.self, r.req.UnreachableLessor)
	if !allowed {
		return d, refuse(callerapi.ReasonNotLessor)
	}
	return d, nil
}

// unreachable reports whether a node did not take this request or is ejected at
// this node.
func (r *requestState) unreachable(id topo.NodeID) bool {
	return slices.Contains(r.bypassed, id) || r.m.nodes.Ejected(time.Now(), id)
}

func (r *requestState) destination(view *state.View) (route.Decision, *outcome.Verdict) {
	if r.req.Keyed {
		return route.Keyed(view, r.m.overlay.Overlay(), r.m.self, r.req.Service, r.req.Key), nil
	}
	return r.choose(view)
}

// bypassLessor replaces a forward by a route past the lessor where that is
// allowed: the server checks fences itself, or the service has no ownership and
// the request has no ticket. The lessor keeps the record of such tickets.
func (r *requestState) bypassLessor(view *state.View, d route.Decision) route.Decision {
	if !d.Service.Keyed && r.ticket != nil {
		return d
	}
	return d.BypassLessor(view, r.m.self, r.unreachable, rand.Float64)
}

// attemptOnce makes one attempt. It returns the final answer, or nil to
// continue.
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
	case retry.Retry:
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
		Verdict:      res.verdict,
		Keyed:        r.config.Keyed,
		Idempotent:   r.config.Idempotent(r.req.Method),
		Replayable:   r.req.Body.Replayable(),
		Canceled:     r.caller.Err() != nil,
		Forwarded:    r.req.ForwardedBy != "",
		OwnerAwaited: res.ownerAwaited,
		Hop:          r.req.Hop,
		Attempts:     r.countedAttempts,
		Deadline:     r.req.Deadline,
	}
}

func (r *requestState) takeRetry() bool { return r.m.budgets.take(r.req.Service, time.Now()) }

// reroute makes the next attempt wait for a change of the route, or for its turn
// to probe, if the attempt itself detected no outage.
func (r *requestState) reroute(d route.Decision, res result) {
	metricRerouted.Add(1)
	if res.outage == nil {
		r.m.buffer.Failed(time.Now(), keysOf(d)[0], buffer.Moving)
	}
}

// reportOutcome reports the result of an attempt to the buffer.
func (r *requestState) reportOutcome(d route.Decision, res result) {
	now := time.Now()
	if res.outage != nil {
		r.m.buffer.Failed(now, res.outage.key, res.outage.cause)
		r.addWaited(res.outage.key)
	}
	if res.verdict.Outcome == serverapi.OutcomeAnswered {
		r.m.buffer.Recovered(now, keysOf(d)...)
		r.m.buffer.ServedElsewhere(now, r.waited...)
	} else if res.contacted {
		r.m.buffer.Recovered(now, contactKey(d))
	}
	r.dropProbe()
}

// contactKey returns the key that any answer proves to be reachable.
func contactKey(d route.Decision) buffer.Key {
	if d.Next() != "" {
		return buffer.Key{}
	}
	return buffer.ServerKey(d)
}

// pause waits before a retry. It returns false if the request ended meanwhile.
func (r *requestState) pause(wait time.Duration) bool { return clock.Wait(r.ctx, wait) }

// contextVerdict returns the verdict when the context ended while no attempt was in
// flight.
func (r *requestState) contextVerdict() outcome.Verdict {
	if r.caller.Err() != nil {
		return outcome.NotRun(callerapi.ReasonCanceled)
	}
	return outcome.NotRun(serverapi.ReasonDeadline)
}

// The default Retry-After time, and the largest fraction that is added to any
// Retry-After at random, so that callers do not all retry at once.
const (
	defaultRetryAfter = 500 * time.Millisecond
	retryAfterJitter  = 0.5
)

// final returns the answer when no further attempt is made.
func (r *requestState) final(last outcome.Verdict) *exchange.Answer {
	return refusal(withRetryAfter(r.tally.Final(last)))
}

// withRetryAfter sets a Retry-After time in verdicts after which a retry may
// succeed, and clears it in all others.
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

// nextID returns the ID of the next attempt.
func (r *requestState) nextID() string {
	r.attemptIDs++
	return r.req.ID + "." + strconv.Itoa(r.attemptIDs)
}
