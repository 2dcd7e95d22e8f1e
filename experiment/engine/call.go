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

// call is one request on its way through one entry node. Its steps follow those
// of the router's module; what each step decides comes from the same packages.
type call struct {
	node     *node
	service  *model.Service
	arrival  *model.Arrival
	key      string
	work     float64 // seconds on a server of ordinary speed
	caller   string
	deadline time.Time
	repeat   bool // idempotent
	hop      int
	from     *node         // that forwarded it; nil when it came from outside
	deputize topo.NodeID   // lessor that from could not reach; "" for none
	chosen   topo.ServerID // by the forwarding node, a hint
	done     func(outcome.Verdict)

	tally  outcome.Tally
	counts int
	tried  []topo.ServerID
	waited []buffer.Key
	probe  *buffer.Key
	past   []topo.NodeID // lessors and deputies that could not be reached
	trace  *trace
}

// trace is what the figures need of one request over all nodes that it passes.
type trace struct {
	attempts int
	offered  bool // its work counts as offered to some server
	failed   bool // a call that it made to another service failed
}

// result is what one attempt came to.
type result struct {
	verdict outcome.Verdict
	out     *buffer.Key
	cause   buffer.Cause
	contact bool
	moved   bool // the way changed before anything was sent
}

func unsent(v outcome.Verdict) result { return result{verdict: v} }

func (r result) outage(key buffer.Key, cause buffer.Cause) result {
	r.out, r.cause = &key, cause
	return r
}

func (c *call) now() time.Time { return c.node.site.clock.now }

func (c *call) expired() bool { return !c.now().Before(c.deadline) }

// next decides where the request goes now, and goes there.
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
		if d.Path == route.PathForward && c.out(d.Lessor) {
			d = c.pastLessor(d)
		}
		c.hold(d)
	})
}

// out reports whether a node cannot be reached, as far as this request or its
// node knows.
func (c *call) out(id topo.NodeID) bool {
	return slices.Contains(c.past, id) || c.node.lessorOut(id)
}

// pastLessor turns a forward into the way past the lessor.
func (c *call) pastLessor(d route.Decision) route.Decision {
	return d.PastLessor(c.node.view, c.node.self(), c.out, c.node.random.Float64)
}

// destination decides by the node's own view.
func (c *call) destination(then func(route.Decision)) {
	if c.service.Keyed {
		then(route.Keyed(c.node.view, nil, c.node.self(), c.service.Name, c.key))
		return
	}
	c.choose(then)
}

// hold lets the request wait while something on its way is out.
func (c *call) hold(d route.Decision) {
	book := c.node.book
	if d.Path == route.PathWait {
		key, cause := buffer.ShardKey(d), buffer.Unowned
		if d.Reason == callerapi.ReasonNotLessor {
			key, cause = buffer.LessorKey(d), buffer.Unled
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

// keysOf lists what may be out on the way that a decision names.
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
	c.count(d)
	if d.Next() != "" {
		c.forward(d)
		return
	}
	c.admit(d)
}

// count adds the request's work to the figures of the server that it goes to,
// once.
func (c *call) count(d route.Decision) {
	if !c.trace.offered {
		c.trace.offered = true
		c.node.site.measure.offered(c, d.Server)
	}
}

// settle takes the result of an attempt and decides what comes next.
func (c *call) settle(d route.Decision, res result) {
	c.report(d, res)
	if res.moved {
		c.next()
		return
	}
	c.tally.Add(res.verdict)
	c.counts++
	if res.verdict.Outcome == serverapi.OutcomeAnswered {
		c.finish(res.verdict)
		return
	}
	decided := retry.Decide(c.now(), c.attempt(res), c.node.takeRetry(c.service.Name), c.node.random.Float64)
	switch decided.Action {
	case retry.Reroute:
		c.counts--
		if res.out == nil {
			c.node.failed(keysOf(d)[0], buffer.Moving)
		}
		c.next()
	case retry.Again:
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
		Idempotent: c.repeat,
		Replayable: true,
		Forwarded:  c.from != nil,
		Hop:        c.hop,
		Attempts:   c.counts,
		Deadline:   c.deadline,
	}
}

// report tells the buffer what an attempt showed.
func (c *call) report(d route.Decision, res result) {
	n := c.node
	if res.out != nil {
		n.failed(*res.out, res.cause)
		if !slices.Contains(c.waited, *res.out) {
			c.waited = append(c.waited, *res.out)
		}
	}
	if res.verdict.Outcome == serverapi.OutcomeAnswered {
		n.recovered(keysOf(d)...)
		n.recovered(c.waited...)
	} else if res.contact && d.Next() == "" {
		n.recovered(buffer.ServerKey(d))
	}
	if c.probe != nil {
		n.book.Abandoned(*c.probe)
		c.probe = nil
	}
}

// finish gives the request its final answer.
func (c *call) finish(last outcome.Verdict) {
	verdict := c.tally.Final(last)
	if verdict.RetryAfter == 0 && verdict.Outcome != serverapi.OutcomeAnswered {
		verdict.RetryAfter = defaultRetryAfter
	}
	c.node.leave(c, verdict)
	c.done(verdict)
}

// defaultRetryAfter is told when nothing better is known.
const defaultRetryAfter = 500 * time.Millisecond

// callDependency makes the request's call to another service, if it has one,
// from the server that runs it, and goes on when that has its final answer.
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
		service:  site.deployment.Service(dependency.Service),
		key:      model.Key(dependency.Service, a.CallKey),
		work:     a.CallWork,
		caller:   string(from),
		deadline: c.deadline,
		repeat:   true,
		hop:      c.hop + 1,
		trace:    &trace{},
		done: func(v outcome.Verdict) {
			c.trace.failed = c.trace.failed || v.Outcome != serverapi.OutcomeAnswered
			site.clock.after(site.deployment.LocalDelay, then)
		},
	}
	site.clock.after(site.deployment.LocalDelay, func() { entry.enter(called) })
}
