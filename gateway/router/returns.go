package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/returns"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/metrics"
)

var (
	returnsGroup = metrics.New("gateway_returns")
	// promises counts refused callers on mixed sites that were asked to return when room is expected, and promisesNotFit
	// those that were given the longest delay instead.
	promises       = returnsGroup.Counter("promises")
	promisesNotFit = returnsGroup.Counter("promises_that_did_not_fit")
	// returnedAdmitted and returnedRefused count the requests of callers that had been refused before, by what became of
	// them.
	returnedAdmitted = returnsGroup.Counter("returned_admitted")
	returnedRefused  = returnsGroup.Counter("returned_refused_again")
)

// notePromise counts a promise and records it in the trace.
func (x *exchange) notePromise(p *returns.Promise) {
	if p == nil {
		return
	}
	rates := fmt.Sprintf("%.2g admitted/s, %.2g first attempts/s", p.Admitted, p.Firsts)
	if !p.Fits {
		promisesNotFit.Add(1)
		x.trace.note("no room for a return in the caller's time: " + rates)
		return
	}
	promises.Add(1)
	x.trace.note("told to return after " + milliseconds(p.After) + ": " + rates)
}

// withPromise returns a refusal that is the result of the request. On a mixed site, one whose delay is scheduled gets it from
// the schedule, unless ctx was canceled: the caller has left, or the schedule ends with the node.
func (x *exchange) withPromise(ctx context.Context, r *refusal) *refusal {
	if !r.isScheduled || errors.Is(ctx.Err(), context.Canceled) || !x.router.state.Now().Guidance.IsMixedAt(time.Now()) {
		return r
	}
	if x.forwarded != nil && r.isUnreachable {
		return r // the node that forwarded it goes on with another one, and its caller does not get this delay
	}
	promise := x.service.promiseReturn(x.waiter())
	if promise == nil {
		return r
	}
	x.notePromise(promise)
	scheduled := *r
	scheduled.retryAfter = promise.After
	return &scheduled
}

// promiseReturn returns when a refused caller should return, or nil on a site that is not mixed.
func (s *service) promiseReturn(w *pool.Waiter) *returns.Promise {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.PromiseReturn(w, time.Now())
}

// noteReturned records that the caller has been refused before, on a mixed site.
func (x *exchange) noteReturned() {
	if x.returned > 0 {
		x.trace.note("returned " + milliseconds(x.returned) + " after its first attempt")
	}
}

// forwardedWait returns the time since the first attempt of a forwarded request's caller, or 0 on a site that is not mixed.
// A time that the route does not allow is taken for none, and not refused: it affects the order only.
func (x *exchange) forwardedWait() time.Duration {
	longest := x.route.Timeout
	if longest <= 0 {
		longest = defaultCallerTimeout
	}
	stated := x.forwarded.WaitedMs
	if stated <= 0 || stated > longest.Milliseconds() || !x.view.Guidance.IsMixedAt(x.arrived) {
		return 0
	}
	return time.Duration(stated) * time.Millisecond
}

// countReturned counts what became of the request of a caller that had been refused before. A forwarded request is counted
// by the node that got it from the caller.
func (x *exchange) countReturned(outcome string) {
	switch {
	case x.returned == 0 || x.forwarded != nil:
	case outcome == "refused":
		returnedRefused.Add(1)
	case x.sends > 0:
		returnedAdmitted.Add(1)
	}
}

// Returns returns the schedules of returning callers by service and priority, for the state dump.
func (r *Router) Returns() map[site.ServiceName]map[int]returns.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[site.ServiceName]map[int]returns.State{}
	for name, s := range r.services {
		s.mu.Lock()
		if states := s.pool.Returns(time.Now()); len(states) > 0 {
			all[name] = states
		}
		s.mu.Unlock()
	}
	return all
}
