package lessor

import (
	"strings"

	"github.com/burdockspindle/burdockspindle/lease"
)

// step is a named transition to a successor world.
type step struct {
	name  string
	world *world
}

// steps returns every successor of w.
func (w *world) steps() []step {
	e := &explorer{from: w}
	e.try("time passes", func(w *world) bool { w.now += timeUnit; return true })
	for node := range w.nodes {
		e.nodeSteps(node)
	}
	e.serverRestarts()
	e.heldSteps()
	return e.next
}

type explorer struct {
	from *world
	next []step
}

// try keeps the world that results from a change, if the change is possible.
func (e *explorer) try(name string, change func(w *world) bool) {
	next := e.from.clone()
	if !change(next) {
		return
	}
	next.normalize()
	e.next = append(e.next, step{name, next})
}

// normalize applies the updates that need no contact, so that worlds that differ
// only in these are treated as equal.
func (w *world) normalize() {
	for i := range w.nodes {
		if w.nodes[i].member.settling {
			w.member(i).advance(w.clock(i))
		}
		if !w.ownedNodes[i] {
			continue
		}
		m := w.nodes[i].member
		for round := range m.heartbeats.sent {
			if w.heldMessage == nil || (w.heldMessage.heartbeat.Round != round && w.heldMessage.answer.Round != round) {
				delete(m.heartbeats.sent, round)
			}
		}
	}
}

func (e *explorer) nodeSteps(node int) {
	name := string(nodeNames[node])
	w := e.from
	m := w.nodes[node].member
	e.try(name+" reads the log", func(w *world) bool { w.readLog(node, true); return true })
	if w.b.relay && m.facts.Applied < w.log.next-1 {
		e.try(name+" receives records from a peer", func(w *world) bool { w.readLog(node, false); return true })
	}
	e.claimSteps(node, name)
	if w.nodes[node].boots <= w.b.nodeRestarts {
		e.try(name+" restarts", func(w *world) bool { return w.restartNode(node) })
	}
	if m.mayTakeOverOffLog() {
		e.try(name+" takes over without the log", func(w *world) bool { return w.member(node).BeginTakeOverOffLog(w.clock(node)) })
	}
	if m.role == RoleLessor {
		e.lessorSteps(node, name)
	}
}

func (w *world) restartNode(node int) bool {
	n := &w.nodes[node]
	n.boots++
	n.submitted, n.number = 0, 0
	n.member = NewMember(w.b.config(node, n.boots))
	w.ownedNodes[node] = true
	n.member.rules = w.b.rules
	n.member.rules.eager = !w.b.followPlans
	w.readLog(node, false)
	return true
}

func (e *explorer) claimSteps(node int, name string) {
	m := e.from.nodes[node].member
	if m.claim.inFlight || !strings.Contains(e.from.b.claimers, name) {
		return
	}
	if e.from.log.claims < e.from.b.claims {
		e.try(name+" claims", func(w *world) bool { return w.claim(node) })
	}
	if e.from.b.delayed && e.from.heldMessage == nil && e.from.log.claims < e.from.b.claims {
		e.try(name+" claims, record held back", func(w *world) bool {
			claim, _, allowed := w.member(node).BeginClaim(w.clock(node))
			w.heldMessage = &message{kind: "record", node: node, record: record{node: node, claim: &claim, self: w.incarnation(node)}}
			return allowed
		})
	}
}

// callFailures returns the ways in which a call can fail, and "" for its
// success.
func (w *world) callFailures() []string {
	ways := []string{"", "reply lost"}
	if w.b.delayed && w.heldMessage == nil {
		ways = append(ways, "request held", "reply held")
	}
	return ways
}

func label(name, way string) string {
	if way == "" {
		return name
	}
	return name + ", " + way
}

func (e *explorer) lessorSteps(node int, name string) {
	m := e.from.nodes[node].member
	_, hasStandby := e.from.standbyOf(node)
	hasStandby = hasStandby && !m.offLog
	for _, way := range e.from.callFailures() {
		if hasStandby {
			e.try(label(name+" sends a heartbeat", way), func(w *world) bool { return w.heartbeat(node, way) })
		}
		for s := range serverNames {
			server := string(serverNames[s])
			known, exists := m.servers[serverNames[s]]
			if exists && known.inFlight {
				continue
			}
			if way != "" && !e.from.b.lossy {
				continue
			}
			if m.mayRenew(e.from.clock(node)) && e.worthRenewing(node, s) {
				e.try(label(name+" renews "+server, way), func(w *world) bool { return w.renew(node, s, way) })
			}
			if way != "request held" && (!exists || !known.acked) && m.takeover.basis != basisFirst {
				e.try(label(server+" acknowledges "+name, way), func(w *world) bool { return w.acknowledge(node, s, way) })
			}
		}
	}
	e.askSteps(node, name)
	for _, mode := range []Mode{ModeConnected, ModeDisconnected} {
		if !hasStandby || m.right.asked == mode || !strings.Contains(e.from.b.modeRequesters, name) {
			continue
		}
		for _, way := range append(e.from.callFailures(), "request lost") {
			e.try(label(name+" asks for mode "+mode.String(), way), func(w *world) bool {
				return w.member(node).BeginChangeMode(mode) && (way == "request lost" || w.heartbeat(node, way))
			})
		}
	}
	if !m.mayActivate(e.from.clock(node), m.facts.Shards[searchShard]) {
		e.submitSteps(node, name)
		return
	}
	e.try(name+" activates the standby server", func(w *world) bool {
		return w.member(node).BeginActivate(w.clock(node), searchShard)
	})
	e.submitSteps(node, name)
}

// askSteps adds the steps that ask previous lessors whether they have stopped.
func (e *explorer) askSteps(node int, name string) {
	m := e.from.nodes[node].member
	if !m.asksForAcknowledgement() {
		return
	}
	for _, former := range m.takeover.former.nodesToAsk(m.self()) {
		what := name + " asks whether " + string(former) + " stopped"
		e.try(what, func(w *world) bool { return w.ask(node, former, "") })
		if e.from.b.delayed && e.from.heldMessage == nil {
			e.try(label(what, "reply held"), func(w *world) bool { return w.ask(node, former, "reply held") })
		}
	}
}

// worthRenewing excludes renewals without a shard while the server's stamp is
// fresh.
func (e *explorer) worthRenewing(node, server int) bool {
	m := e.from.nodes[node].member
	s, known := m.servers[serverNames[server]]
	if !known || s.generation == 0 || len(s.list) > 0 {
		return true
	}
	if len(m.grantsFor(e.from.clock(node), serverNames[server], s.boot())) > 0 {
		return true
	}
	fresh := e.from.clock(node)-fromWall(s.granter.State().StampAt) < e.from.b.ttl
	return !fresh || s.reported < s.generation
}

func (e *explorer) submitSteps(node int, name string) {
	if e.from.log.assigns >= e.from.b.assigns || !e.from.nodes[node].member.maySubmit(e.from.clock(node)) {
		return
	}
	begin := func(w *world) (record, bool) {
		n := &w.nodes[node]
		submission, number, due := w.member(node).BeginSubmit(w.clock(node))
		n.number = number
		return record{node: node, submit: &submission, self: w.incarnation(node)}, due
	}
	e.try(name+" writes an assignment", func(w *world) bool {
		r, due := begin(w)
		return due && w.deliver(r)
	})
	if e.from.b.delayed && e.from.heldMessage == nil {
		e.try(name+" writes an assignment, held back", func(w *world) bool {
			r, due := begin(w)
			w.heldMessage = &message{kind: "record", node: node, record: r}
			return due
		})
	}
}

// deliver appends a record of assignments; its writer observes it when it reads
// the log.
func (w *world) deliver(r record) bool {
	w.append(r)
	if n := &w.nodes[r.node]; r.submit != nil && w.incarnation(r.node) == r.self {
		n.submitted = w.log.next - 1
	}
	return true
}

func (e *explorer) serverRestarts() {
	for s := range serverNames {
		if e.from.servers[s].restarts >= e.from.b.restarts {
			continue
		}
		e.try(string(serverNames[s])+" restarts", func(w *world) bool {
			w.restartServer(s)
			return true
		})
	}
}

func (w *world) restartServer(server int) {
	s := &w.servers[server]
	s.restarts++
	s.started = w.now
	s.holder = lease.NewHolder(serverBoot(server, 1+s.restarts))
}

// heldSteps delivers the message that was held back, or drops it.
func (e *explorer) heldSteps() {
	if e.from.heldMessage == nil {
		return
	}
	e.try("held "+e.from.heldMessage.kind+" arrives", func(w *world) bool {
		h := w.heldMessage
		w.heldMessage = nil
		w.deliverHeld(h)
		return true
	})
	e.try("held "+e.from.heldMessage.kind+" arrives, and is repeated", func(w *world) bool {
		if w.heldMessage.kind == "record" {
			return false // the log accepts a record once
		}
		w.deliverHeld(w.heldMessage)
		return true
	})
	e.try("held "+e.from.heldMessage.kind+" is lost", func(w *world) bool {
		h := w.heldMessage
		w.heldMessage = nil
		return w.dropHeld(h)
	})
}

func (w *world) deliverHeld(h *message) {
	switch h.kind {
	case "renew":
		run := Incarnation{Node: nodeNames[h.node], Boot: nodeBoot(h.node, 1)}
		w.lease(h.server, run, h.order)
	case "renewed":
		w.member(h.node).LeaseReplied(w.clock(h.node), serverNames[h.server], h.attempt, h.report)
	case "beat":
		for i := range w.nodes {
			if i != h.node {
				w.member(i).HeartbeatReceived(w.clock(i), h.heartbeat)
			}
		}
	case "answer":
		w.member(h.node).HeartbeatAnswered(w.clock(h.node), h.answer)
	case "record":
		w.deliver(h.record)
	}
}

func (w *world) dropHeld(h *message) bool {
	m := w.member(h.node)
	switch {
	case h.kind == "renewed":
		w.failAttempt(h.node, h.server, h.attempt)
	case h.kind == "record" && w.incarnation(h.node) != h.record.self:
	case h.kind == "record" && h.record.claim != nil:
		m.ClaimFailed(w.clock(h.node), m.claim.number, false)
	case h.kind == "record":
		m.SubmitFailed(w.clock(h.node), w.nodes[h.node].number, false)
	}
	return true
}
