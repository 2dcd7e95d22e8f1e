package engine

import (
	"time"

	"github.com/burdockspindle/burdockspindle/buffer"
	"github.com/burdockspindle/burdockspindle/callerapi"
	"github.com/burdockspindle/burdockspindle/health"
	"github.com/burdockspindle/burdockspindle/limit"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/route"
	"github.com/burdockspindle/burdockspindle/serverapi"
)

// admit waits for a slot at the server, as its admission point or bypassing it, and
// sends the request.
func (c *call) admit(d route.Decision) {
	n := c.node
	gates, spec := n.gates, limit.Spec{Limit: d.Service.ConcurrencyPerServer, MaxQueued: maxQueued, Ramp: gateRamp}
	if d.Path == route.PathDirect {
		gates, spec = n.directs, limit.Spec{Limit: d.Slots, MaxQueued: maxQueued}
	}
	g := n.gate(gates, c.service.Name, d.Server, spec)
	g.acquire(c, func(id uint64, refused *limit.Refusal) {
		if refused != nil {
			c.handleResult(d, unsent(outcome.NotRun(refused.Reason).WithRetryAfter(refused.RetryAfter)))
			return
		}
		if c.changed(d) {
			g.release(id, limit.Result{})
			c.handleResult(d, result{routeChanged: true})
			return
		}
		granted := &slot{call: c, decision: d, gate: g, id: id, since: c.now()}
		granted.send()
	})
}

// changed reports whether the route changed while the request waited.
func (c *call) changed(d route.Decision) bool {
	var now route.Decision
	if c.service.Keyed {
		now = route.Keyed(c.node.view, nil, c.node.self(), c.service.Name, c.key)
	} else {
		now = route.Server(c.node.view, nil, c.node.self(), c.service.Name, d.Server)
	}
	if d.Path == route.PathDirect && now.Path == route.PathForward {
		now.Path = route.PathDirect
	}
	return !now.SameOwner(d)
}

// slot is a request's slot at a server.
type slot struct {
	call     *call
	decision route.Decision
	gate     *gate
	id       uint64
	since    time.Time
	conn     *connection
	settled  bool
}

// send makes the attempt.
func (s *slot) send() {
	n := s.call.node
	target, exists := n.site.servers[s.decision.Server]
	if !exists {
		s.unanswered(outcome.Failure{})
		return
	}
	n.site.measure.attempt(s.call.trace)
	n.open(target, s.call.deadline, func(conn *connection) {
		if conn == nil {
			s.unanswered(outcome.Failure{Deadline: s.call.expired()})
			return
		}
		s.conn = conn
		s.request(target)
	})
}

// request delivers the request to the server and its answer back. Without an
// answer, the attempt ends at the deadline, or earlier if the server is unresponsive.
func (s *slot) request(target *server) {
	n := s.call.node
	clock := n.site.clock
	delay := n.site.delay(n.zone, target.zone)
	timeout := min(silentAfter, s.call.deadline.Sub(clock.now))
	clock.after(delay, func() {
		if !target.up {
			return
		}
		target.accept(work{
			call: s.call, shard: s.decision.Shard, fence: s.decision.Fence, key: s.call.key,
			deadline: s.call.deadline,
			reply: func(v outcome.Verdict, broken bool) {
				clock.after(delay, func() { s.answered(v, broken) })
			},
		})
	})
	clock.after(timeout, func() {
		s.unanswered(outcome.Failure{Sent: true, Stalled: timeout == silentAfter, Deadline: s.call.expired()})
	})
}

// answered processes the server's answer.
func (s *slot) answered(v outcome.Verdict, broken bool) {
	if s.settled {
		return
	}
	if broken {
		s.unanswered(outcome.Failure{Sent: true})
		return
	}
	s.settled = true
	s.conn.release(false)
	n, d := s.call.node, s.decision
	now := n.site.clock.now
	ran := v.Outcome == serverapi.OutcomeAnswered
	s.gate.release(s.id, limit.Result{Served: ran, Overloaded: v.Reason == serverapi.ReasonOverloaded})
	n.observe(d.Server, health.Answered)
	n.table.Observe(now, d.Shard, s.call.key, d.Server, now.Sub(s.since), v.Outcome)
	res := result{verdict: v, contacted: true}
	moving := v.Reason == serverapi.ReasonNotOwner || v.Reason == serverapi.ReasonDraining
	if moving && d.Service.Keyed && v.NotRunProven() {
		res = res.outage(buffer.ShardKey(d), buffer.Moving)
	}
	s.call.handleResult(d, res)
}

// minUnresponsiveTime is the minimum duration of an attempt for which a missing answer
// is held against the server if the deadline ended the attempt.
const minUnresponsiveTime = time.Second

// unanswered ends an attempt without an answer.
func (s *slot) unanswered(f outcome.Failure) {
	if s.settled {
		return
	}
	s.settled = true
	if s.conn != nil {
		s.conn.release(true)
	}
	n, d := s.call.node, s.decision
	now := n.site.clock.now
	s.gate.release(s.id, limit.Result{Failed: true})
	n.table.Observe(now, d.Shard, s.call.key, d.Server, now.Sub(s.since), serverapi.OutcomeUnknown)
	ejected := n.recordFailure(d.Server, f, now.Sub(s.since))
	verdict := outcome.Failed(f)
	res := unsent(verdict)
	if d.Service.Keyed && (!f.Sent || ejected) {
		res = res.outage(buffer.ServerKey(d), buffer.Unreachable)
	}
	s.call.handleResult(d, res)
}

// forwardMargin is subtracted from the deadline of a forwarded request, so that the other
// node's outcome arrives in time.
const forwardMargin = 5 * time.Millisecond

// forward sends the request to the node that is the server's admission point, or
// to a deputy.
func (c *call) forward(d route.Decision) {
	n := c.node
	to, exists := n.site.nodes[d.Next()]
	lost := unsent(outcome.NotRun(callerapi.ReasonNotLessor)).outage(buffer.LessorKey(d), buffer.NoLessor)
	if !exists {
		c.handleResult(d, lost)
		return
	}
	if !to.up {
		n.site.clock.after(min(to.refusal(n), c.deadline.Sub(c.now())), func() { c.unreachable(d, lost) })
		return
	}
	remote := n.remote(d.Server)
	remote.own++
	delay := n.site.delay(n.zone, to.zone)
	sent := *c
	sent.node, sent.from, sent.chosen = to, n, d.Server
	sent.deadline = c.deadline.Add(-forwardMargin)
	sent.tally, sent.attemptCount, sent.tried, sent.waited, sent.probe = outcome.Tally{}, 0, nil, nil, nil
	sent.bypassed, sent.deputize = nil, ""
	if d.Path == route.PathDeputy {
		sent.deputize = d.Lessor
	}
	answered := false
	sent.done = func(v outcome.Verdict) {
		reported := to.loadAs(d)
		n.site.clock.after(delay, func() {
			if answered {
				return
			}
			answered = true
			remote.own--
			remote.update(n.site.clock.now, reported)
			n.nodeHealth(to.id).Observe(c.now(), health.Answered)
			c.forwardAnswered(d, v)
		})
	}
	n.site.clock.after(delay, func() {
		if to.up {
			to.enter(&sent)
		}
	})
	n.site.clock.after(c.deadline.Sub(c.now()), func() {
		if answered {
			return
		}
		answered = true
		remote.own--
		c.handleResult(d, unsent(outcome.Unknown(serverapi.ReasonDeadline)))
	})
}

// refusal returns the time after which another node detects that this node, which is down,
// accepts no connection.
func (n *node) refusal(from *node) time.Duration {
	if n.refuse {
		return 2 * n.site.delay(from.zone, n.zone)
	}
	return connectTimeout
}

// unreachable ends a forward to a node that accepts no connection.
func (c *call) unreachable(d route.Decision, lost result) {
	c.node.nodeHealth(d.Next()).Observe(c.now(), health.Unreachable)
	c.notForwarded(d, lost)
}

// forwardAnswered processes the other node's answer.
func (c *call) forwardAnswered(d route.Decision, v outcome.Verdict) {
	if v.Reason == callerapi.ReasonNotLessor && v.NotRunProven() {
		if d.Path == route.PathDeputy {
			c.notForwarded(d, unsent(v).outage(buffer.LessorKey(d), buffer.NoLessor))
			return
		}
		c.handleResult(d, unsent(v).outage(buffer.LessorKey(d), buffer.NoLessor))
		return
	}
	c.handleResult(d, result{verdict: v, contacted: true})
}

// notForwarded bypasses a lessor's node or a deputy that does not accept the
// request.
func (c *call) notForwarded(d route.Decision, lost result) {
	c.bypassed = append(c.bypassed, d.Next())
	d.Path = route.PathForward
	if c.pastLessor(d).Path != route.PathForward {
		c.handleResult(d, result{routeChanged: true})
		return
	}
	c.bypassed = nil
	c.handleResult(d, lost)
}
