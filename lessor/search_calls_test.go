package lessor

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// lease delivers a renewal to a server.
func (w *world) lease(server int, node Incarnation, order LeaseOrder) LeaseReport {
	req := serverapi.LeaseRequest{
		Term: order.Term.String(), Lessor: string(node.Boot), Boot: order.Boot, Echo: order.Echo,
		TTLMs: order.TTL.Milliseconds(), Generation: order.Generation, Full: order.Full,
	}
	for _, g := range order.Grants {
		req.Grants = append(req.Grants, serverapi.Grant{Shard: g.Shard.String(), Fence: g.Fence.String()})
	}
	reply := w.holder(server).Lease(w.serverNow(server), req)
	return searchReport(reply, req.Full || reply.Refused != "" || req.Boot == "")
}

func searchReport(reply serverapi.LeaseReply, active bool) LeaseReport {
	term, _ := topo.ParseTerm(reply.HighestTerm)
	report := LeaseReport{
		Refused: reply.Refused, Boot: reply.Boot, Stamp: reply.Stamp, HighestTerm: term,
		Generation: reply.Generation, Remaining: time.Duration(reply.RemainingMs) * time.Millisecond,
		HasActive: active,
	}
	for _, g := range reply.Active {
		fence, _ := topo.ParseFence(g.Fence)
		report.Active = append(report.Active, Grant{Shard: searchShard, Fence: fence})
	}
	return report
}

// renew sends renewals until the server has the list, its stamp is new and its
// lease runs from that stamp, or sends a single renewal of which a message is
// lost or held back.
func (w *world) renew(node, server int, lost string) bool {
	if lost != "" {
		return w.renewOnce(node, server, lost)
	}
	done := false
	for range 3 {
		before := w.nodes[node].member.servers[serverNames[server]]
		if before != nil && before.boot() != "" && before.reported == before.generation && done &&
			fromWall(before.granter.Until()) == w.now+w.b.ttl {
			break
		}
		if !w.renewOnce(node, server, "") {
			break
		}
		done = true
	}
	return done
}

// renewOnce sends one renewal; lost names the message that is lost or held
// back.
func (w *world) renewOnce(node, server int, lost string) bool {
	m := w.member(node)
	id := serverNames[server]
	if s, known := m.servers[id]; known && s.inFlight {
		return false
	}
	order, allowed := m.BeginRenew(w.clock(node), id)
	if !allowed {
		return false
	}
	switch lost {
	case "request held":
		w.heldMessage = &message{kind: "renew", node: node, server: server, order: order}
		fallthrough
	case "request lost":
		w.failAttempt(node, server, order.Attempt)
		return true
	}
	report := w.lease(server, w.incarnation(node), order)
	w.replied(node, server, order.Attempt, report, lost)
	return true
}

func (w *world) replied(node, server int, attempt uint64, report LeaseReport, lost string) {
	switch lost {
	case "reply lost":
		w.failAttempt(node, server, attempt)
	case "reply held":
		w.heldMessage = &message{kind: "renewed", node: node, server: server, report: report, attempt: attempt}
	default:
		w.member(node).LeaseReplied(w.clock(node), serverNames[server], attempt, report)
	}
}

// failAttempt ends an attempt without a reply. Failures are not counted towards
// suspicion, which rules.eager does not need.
func (w *world) failAttempt(node, server int, attempt uint64) {
	m := w.member(node)
	m.LeaseFailed(w.clock(node), serverNames[server], attempt)
	if s, known := m.servers[serverNames[server]]; known && !w.b.followPlans {
		s.failures = 0
	}
}

func (w *world) acknowledge(node, server int, lost string) bool {
	m := w.member(node)
	id := serverNames[server]
	if s, known := m.servers[id]; known && (s.inFlight || s.acked) {
		return false
	}
	term, attempt, allowed := m.BeginAcknowledge(w.clock(node), id)
	if !allowed {
		return false
	}
	if lost == "request lost" || lost == "request held" {
		w.failAttempt(node, server, attempt)
		return true
	}
	reply := w.holder(server).Acknowledge(w.serverNow(server),
		serverapi.AcknowledgeRequest{Term: term.String()})
	w.replied(node, server, attempt, searchReport(reply, true), lost)
	return true
}

// standbyOf returns the node whose current incarnation is the standby lessor
// known to a node.
func (w *world) standbyOf(node int) (int, bool) {
	m := w.nodes[node].member
	for i := range w.nodes {
		if w.incarnation(i) == m.standbyIncarnation() {
			return i, true
		}
	}
	return 0, false
}

// heartbeat sends one heartbeat of a lessor to its standby lessor.
func (w *world) heartbeat(node int, lost string) bool {
	to, exists := w.standbyOf(node)
	if !exists && !w.b.followPlans {
		return false
	}
	m := w.member(node)
	beat, allowed := m.BeginHeartbeat(w.clock(node))
	if !allowed {
		return false
	}
	switch lost {
	case "request held":
		w.heldMessage = &message{kind: "beat", node: node, heartbeat: beat}
		fallthrough
	case "request lost":
		return true
	}
	reply := w.member(to).HeartbeatReceived(w.clock(to), beat)
	w.answered(node, reply, lost)
	return true
}

// ask asks a previous lessor whether it has stopped.
func (w *world) ask(node int, former topo.NodeID, lost string) bool {
	beat, allowed := w.member(node).BeginAsk(w.clock(node))
	if !allowed {
		return false
	}
	to := slices.Index(nodeNames[:], former)
	w.answered(node, w.member(to).HeartbeatReceived(w.clock(to), beat), lost)
	return true
}

func (w *world) answered(node int, reply HeartbeatReply, lost string) {
	switch lost {
	case "reply lost":
	case "reply held":
		w.heldMessage = &message{kind: "answer", node: node, answer: reply}
	default:
		w.member(node).HeartbeatAnswered(w.clock(node), reply)
	}
}

func (w *world) firstHeartbeat(lost string) bool { return w.heartbeat(0, lost) }
