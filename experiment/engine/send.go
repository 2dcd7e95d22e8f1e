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

// admit waits for a place at the server, as its admission point or past it, and
// sends.
func (c *call) admit(d route.Decision) {
	n := c.node
	gates, spec := n.gates, limit.Spec{Limit: d.Service.ConcurrencyPerServer, MaxQueued: maxQueued, Ramp: gateRamp}
	if d.Path == route.PathDirect {
		gates, spec = n.directs, limit.Spec{Limit: d.Places, MaxQueued: maxQueued}
	}
	g := n.gate(gates, c.service.Name, d.Server, spec)
	g.acquire(c, func(id uint64, refused *limit.Refusal) {
		if refused != nil {
			c.settle(d, unsent(outcome.NotRun(refused.Reason).Later(refused.RetryAfter)))
			return
		}
		if c.changed(d) {
			g.release(id, limit.Result{})
			c.settle(d, result{moved: true})
			return
		}
		place := &place{call: c, decision: d, gate: g, id: id, since: c.now()}
		place.send()
	})
}

// changed reports whether the way changed while the request waited.
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

// place is a request's place at a server.
type place struct {
	call     *call
	decision route.Decision
	gate     *gate
	id       uint64
	since    time.Time
	conn     *connection
	settled  bool
}

// send makes the attempt.
func (p *place) send() {
	n := p.call.node
	target, exists := n.site.servers[p.decision.Server]
	if !exists {
		p.unanswered(outcome.Failure{})
		return
	}
	n.site.measure.attempt(p.call.trace)
	n.open(target, p.call.deadline, func(conn *connection) {
		if conn == nil {
			p.unanswered(outcome.Failure{Deadline: p.call.expired()})
			return
		}
		p.conn = conn
		p.request(target)
	})
}

// request carries the request to the server and its answer back. When nothing
// comes back, the attempt ends with the deadline or as silent.
func (p *place) request(target *server) {
	n := p.call.node
	clock := n.site.clock
	delay := n.site.delay(n.zone, target.zone)
	patience := min(silentAfter, p.call.deadline.Sub(clock.now))
	clock.after(delay, func() {
		if !target.up {
			return
		}
		target.accept(work{
			call: p.call, shard: p.decision.Shard, fence: p.decision.Fence, key: p.call.key,
			deadline: p.call.deadline,
			reply: func(v outcome.Verdict, broken bool) {
				clock.after(delay, func() { p.answered(v, broken) })
			},
		})
	})
	clock.after(patience, func() {
		p.unanswered(outcome.Failure{Sent: true, Silent: patience == silentAfter, Deadline: p.call.expired()})
	})
}

// answered takes what the server said.
func (p *place) answered(v outcome.Verdict, broken bool) {
	if p.settled {
		return
	}
	if broken {
		p.unanswered(outcome.Failure{Sent: true})
		return
	}
	p.settled = true
	p.conn.release(false)
	n, d := p.call.node, p.decision
	now := n.site.clock.now
	ran := v.Outcome == serverapi.OutcomeAnswered
	p.gate.release(p.id, limit.Result{Served: ran, Overloaded: v.Reason == serverapi.ReasonOverloaded})
	n.observe(d.Server, health.Answered)
	n.table.Observe(now, d.Shard, p.call.key, d.Server, now.Sub(p.since), v.Outcome)
	res := result{verdict: v, contact: true}
	moving := v.Reason == serverapi.ReasonNotOwner || v.Reason == serverapi.ReasonDraining
	if moving && d.Service.Keyed && v.NotRunProven() {
		res = res.outage(buffer.ShardKey(d), buffer.Moving)
	}
	p.call.settle(d, res)
}

// silenceCounts is how long an attempt must have lasted for its missing answer
// to count against the server when the deadline ended it.
const silenceCounts = time.Second

// unanswered ends an attempt that brought no answer.
func (p *place) unanswered(f outcome.Failure) {
	if p.settled {
		return
	}
	p.settled = true
	if p.conn != nil {
		p.conn.release(true)
	}
	n, d := p.call.node, p.decision
	now := n.site.clock.now
	p.gate.release(p.id, limit.Result{Failed: true})
	n.table.Observe(now, d.Shard, p.call.key, d.Server, now.Sub(p.since), serverapi.OutcomeUnknown)
	ejected := n.judge(d.Server, f, now.Sub(p.since))
	verdict := outcome.Failed(f)
	res := unsent(verdict)
	if d.Service.Keyed && (!f.Sent || ejected) {
		res = res.outage(buffer.ServerKey(d), buffer.Unreachable)
	}
	p.call.settle(d, res)
}

// forwardMargin is how much earlier the other node gives up, so that what it
// knows of the request arrives in time.
const forwardMargin = 5 * time.Millisecond

// forward sends the request to the node that is the server's admission point, or
// to a deputy.
func (c *call) forward(d route.Decision) {
	n := c.node
	to, exists := n.site.nodes[d.Next()]
	lost := unsent(outcome.NotRun(callerapi.ReasonNotLessor)).outage(buffer.LessorKey(d), buffer.Unled)
	if !exists {
		c.settle(d, lost)
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
	sent.tally, sent.counts, sent.tried, sent.waited, sent.probe = outcome.Tally{}, 0, nil, nil, nil
	sent.past, sent.deputize = nil, ""
	if d.Path == route.PathDeputy {
		sent.deputize = d.Lessor
	}
	answered := false
	sent.done = func(v outcome.Verdict) {
		heard := to.loadAs(d)
		n.site.clock.after(delay, func() {
			if answered {
				return
			}
			answered = true
			remote.own--
			remote.hear(n.site.clock.now, heard)
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
		c.settle(d, unsent(outcome.Unknown(serverapi.ReasonDeadline)))
	})
}

// refusal is how long another node takes to learn that this one, which is down,
// takes no connection.
func (n *node) refusal(from *node) time.Duration {
	if n.refuse {
		return 2 * n.site.delay(from.zone, n.zone)
	}
	return connectTimeout
}

// unreachable ends a forward to a node that takes no connection.
func (c *call) unreachable(d route.Decision, lost result) {
	c.node.nodeHealth(d.Next()).Observe(c.now(), health.Unreachable)
	c.notForwarded(d, lost)
}

// forwardAnswered passes on what the other node said.
func (c *call) forwardAnswered(d route.Decision, v outcome.Verdict) {
	if v.Reason == callerapi.ReasonNotLessor && v.NotRunProven() {
		if d.Path == route.PathDeputy {
			c.notForwarded(d, unsent(v).outage(buffer.LessorKey(d), buffer.Unled))
			return
		}
		c.settle(d, unsent(v).outage(buffer.LessorKey(d), buffer.Unled))
		return
	}
	c.settle(d, result{verdict: v, contact: true})
}

// notForwarded goes past a lessor's node or a deputy that does not take the
// request.
func (c *call) notForwarded(d route.Decision, lost result) {
	c.past = append(c.past, d.Next())
	d.Path = route.PathForward
	if c.pastLessor(d).Path != route.PathForward {
		c.settle(d, result{moved: true})
		return
	}
	c.past = nil
	c.settle(d, lost)
}
