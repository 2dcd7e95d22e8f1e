package engine

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/retry"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// call is one request in flight through one entry node. Its steps follow those
// of the router's module; each decision is made by the same packages.
type call struct {
	node       *node
	service    *model.Service
	arrival    *model.Arrival
	key        string
	work       float64 // seconds on a server of nominal speed
	caller     string
	deadline   time.Time
	idempotent bool // idempotent
	hop        int
	from       *node         // node that forwarded it; nil if a caller or server sent it
	deputize   topo.NodeID   // lessor that was unreachable for from; "" for none
	chosen     topo.ServerID // hint of the forwarding node
	done       func(outcome.Verdict)

	tally        outcome.Tally
	attemptCount int
	tried        []topo.ServerID
	waited       []buffer.Key
	probe        *buffer.Key
	bypassed     []topo.NodeID // unreachable lessors and deputies
	trace        *trace
}

// trace collects data for the figures about one request across all its nodes.
type trace struct {
	attempts int
	offered  bool // its work is already counted as offered load
	failed   bool // one of its calls to another service failed
}

// result is the outcome of one attempt.
type result struct {
	verdict      outcome.Verdict
	outageKey    *buffer.Key
	cause        buffer.Cause
	contacted    bool
	routeChanged bool // the route changed before anything was sent
}

func unsent(v outcome.Verdict) result { return result{verdict: v} }

func (r result) outage(key buffer.Key, cause buffer.Cause) result {
	r.outageKey, r.cause = &key, cause
	return r
}

func (c *call) now() time.Time { return c.node.site.clock.now }

func (c *call) expired() bool { return !c.now().Before(c.deadline) }

// next determines the current route of the request and follows it.
func (c *call) next() {
	if c.expired() {
		c.finish(outcome.NotRun(serverapi.ReasonDeadline))
		return
	}
	c.destination(func(d route.Decision) {
		if d.Path == route.PathRefuse {
			c.finish(outcome.NotRun(d.Reason))
			return
		}
		if d.Path == route.PathForward && c.from != nil {
			deputized, allowed := d.AsDeputy(c.node.view, c.node.self(), c.deputize)
			if !allowed {
				c.finish(outcome.NotRun(callerapi.ReasonNotLessor))
				return
			}
			d = deputized
		}
		if d.Path == route.PathForward && c.isUnreachable(d.Lessor) {
			d = c.pastLessor(d)
		}
		c.bufferOrExecute(d)
	})
}

// isUnreachable reports whether a node is unreachable according to this request or its
// node.
func (c *call) isUnreachable(id topo.NodeID) bool {
	return slices.Contains(c.bypassed, id) || c.node.lessorEjected(id)
}

// pastLessor converts a forward into a route that bypasses the lessor.
func (c *call) pastLessor(d route.Decision) route.Decision {
	return d.BypassLessor(c.node.view, c.node.self(), c.isUnreachable, c.node.random.Float64)
}

// destination determines the route from the node's own view.
func (c *call) destination(then func(route.Decision)) {
	if c.service.Keyed {
		then(route.Keyed(c.node.view, nil, c.node.self(), c.service.Name, c.key))
		return
	}
	c.choose(then)
}

// bufferOrExecute buffers the request during an outage on its route, and executes it otherwise.
func (c *call) bufferOrExecute(d route.Decision) {
	book := c.node.book
	if d.Path == route.PathWait {
		key, cause := buffer.ShardKey(d), buffer.Unowned
		if d.Reason == callerapi.ReasonNotLessor {
			key, cause = buffer.LessorKey(d), buffer.NoLessor
		}
		c.node.failed(key, cause)
		c.wait(key)
		return
	}
	if c.probe != nil {
		c.execute(d)
		return
	}
	for _, key := range keysOf(d) {
		switch book.Plan(c.now(), key) {
		case buffer.Wait:
			c.wait(key)
			return
		case buffer.Probe:
			c.probe = &key
			c.execute(d)
			return
		}
	}
	c.execute(d)
}

// keysOf lists the keys on a decision's route that may have an outage.
func keysOf(d route.Decision) []buffer.Key {
	if d.Path == route.PathForward {
		return []buffer.Key{buffer.LessorKey(d)}
	}
	if !d.Service.Keyed {
		return []buffer.Key{buffer.ServerKey(d)}
	}
	return []buffer.Key{buffer.ServerKey(d), buffer.ShardKey(d)}
}

func (c *call) wait(key buffer.Key) {
	if !slices.Contains(c.waited, key) {
		c.waited = append(c.waited, key)
	}
	c.node.join(c, key)
}

func (c *call) execute(d route.Decision) {
	c.countOffered(d)
	if d.Next() != "" {
		c.forward(d)
		return
	}
	c.admit(d)
}

// countOffered adds the request's work to the offered load of its server,
// at most once per request.
func (c *call) countOffered(d route.Decision) {
	if !c.trace.offered {
		c.trace.offered = true
		c.node.site.measure.offered(c, d.Server)
	}
}

// handleResult processes the result of an attempt and decides the next step.
func (c *call) handleResult(d route.Decision, res result) {
	c.report(d, res)
	if res.routeChanged {
		c.next()
		return
	}
	c.tally.Add(res.verdict)
	c.attemptCount++
	if res.verdict.Outcome == serverapi.OutcomeAnswered {
		c.finish(res.verdict)
		return
	}
	decided := retry.Decide(c.now(), c.attempt(res), c.node.takeRetry(c.service.Name), c.node.random.Float64)
	switch decided.Action {
	case retry.Reroute:
		c.attemptCount--
		if res.outageKey == nil {
			c.node.failed(keysOf(d)[0], buffer.Moving)
		}
		c.next()
	case retry.Retry:
		c.node.site.measure.retries++
		c.tried = append(c.tried, d.Server)
		c.node.site.clock.after(decided.Wait, c.next)
	default:
		c.finish(res.verdict)
	}
}

func (c *call) attempt(res result) retry.Attempt {
	return retry.Attempt{
		Verdict:    res.verdict,
		Keyed:      c.service.Keyed,
		Idempotent: c.idempotent,
		Replayable: true,
		Forwarded:  c.from != nil,
		Hop:        c.hop,
		Attempts:   c.attemptCount,
		Deadline:   c.deadline,
	}
}

// report updates the buffer with the result of an attempt.
func (c *call) report(d route.Decision, res result) {
	n := c.node
	if res.outageKey != nil {
		n.failed(*res.outageKey, res.cause)
		if !slices.Contains(c.waited, *res.outageKey) {
			c.waited = append(c.waited, *res.outageKey)
		}
	}
	if res.verdict.Outcome == serverapi.OutcomeAnswered {
		n.recovered(keysOf(d)...)
		n.recovered(c.waited...)
	} else if res.contacted && d.Next() == "" {
		n.recovered(buffer.ServerKey(d))
	}
	if c.probe != nil {
		n.book.Abandoned(*c.probe)
		c.probe = nil
	}
}

// finish sends the final answer to the request.
func (c *call) finish(last outcome.Verdict) {
	verdict := c.tally.Final(last)
	if verdict.RetryAfter == 0 && verdict.Outcome != serverapi.OutcomeAnswered {
		verdict.RetryAfter = defaultRetryAfter
	}
	c.node.leave(c, verdict)
	c.done(verdict)
}

// defaultRetryAfter is the retry delay in an answer without a more precise one.
const defaultRetryAfter = 500 * time.Millisecond

// callDependency sends the request's call to another service, if it has one,
// from the server that runs it, and calls then after the final answer.
func (c *call) callDependency(from topo.ServerID, then func()) {
	a := c.arrival
	if a == nil || a.Calls < 0 || c.hop > 0 {
		then()
		return
	}
	site := c.node.site
	dependency := c.service.DependsOn[a.Calls]
	entry := site.entry(a.CallEntry)
	called := &call{
		service:    site.deployment.Service(dependency.Service),
		key:        model.Key(dependency.Service, a.CallKey),
		work:       a.CallWork,
		caller:     string(from),
		deadline:   c.deadline,
		idempotent: true,
		hop:        c.hop + 1,
		trace:      &trace{},
		done: func(v outcome.Verdict) {
			c.trace.failed = c.trace.failed || v.Outcome != serverapi.OutcomeAnswered
			site.clock.after(site.deployment.LocalDelay, then)
		},
	}
	site.clock.after(site.deployment.LocalDelay, func() { entry.enter(called) })
}
