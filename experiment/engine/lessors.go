package engine

import (
	"time"

	"github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// groupMember runs one node's lessor.Member for one group, as the lessor's module does:
// it passes observations to the member and starts the actions that are due.
type groupMember struct {
	node   *node
	group  topo.GroupID
	member *lessor.Member

	view   *state.View
	detail bool
	facts  *lessor.Facts
	nodes  []state.Node // nodes of facts
}

func newGroupMember(n *node, group topo.GroupID) *groupMember {
	m := &groupMember{node: n, group: group}
	m.member = lessor.NewMember(lessor.Config{
		Node: n.id, Boot: n.boot, Zone: n.zone, Group: group,
		Lease:          leaseTiming(),
		RenewEvery:     renewEvery,
		HeartbeatEvery: heartbeatEvery,
		SuspectAfter:   suspectAfter,
		StandInAfter:   standInAfter,
		RetryAfter:     lessorRetry,
		MoveTimeout:    moveTimeout,
	})
	return m
}

func (m *groupMember) clock() *clock { return m.node.site.clock }

// now returns the time of the member's clock.
func (m *groupMember) now() time.Duration { return m.clock().elapsed() }

// observe passes the latest state to the member and starts the actions that are due.
func (m *groupMember) observe() {
	n := m.node
	if !n.up || n.view == nil {
		return
	}
	detail := m.needsDetail()
	if n.view != m.view || detail != m.detail {
		m.view, m.detail = n.view, detail
		m.nodes = lessor.NodesOf(n.view, m.nodes)
		m.facts = lessor.FactsOf(n.view, m.nodes, m.group, detail)
	}
	m.member.Observe(m.now(), n.seenAt.Sub(epoch), !n.seenAt.IsZero(), m.facts)
	m.act()
}

func (m *groupMember) needsDetail() bool {
	group, exists := m.node.view.Group(m.group)
	if !exists {
		return false
	}
	self := lessor.Incarnation{Node: m.node.id, Boot: m.node.boot}
	return self == lessor.Incarnation{Node: group.Lessor, Boot: group.LessorBoot} ||
		self == lessor.Incarnation{Node: group.Standby, Boot: group.StandbyBoot}
}

func (m *groupMember) act() {
	for _, action := range m.member.Plan(m.now()) {
		m.start(action)
	}
}

func (m *groupMember) start(action lessor.Action) {
	switch a := action.(type) {
	case lessor.Renew:
		m.renew(a.Server)
	case lessor.Acknowledge:
		m.acknowledge(a.Server)
	case lessor.SendHeartbeat:
		m.heartbeat(a.To)
	case lessor.Probe:
		m.probe(a.Node)
	case lessor.ClaimTerm:
		m.claim()
	case lessor.Submit:
		m.submit()
	case lessor.TakeOverOffLog:
		m.member.BeginTakeOverOffLog(m.now())
	case lessor.Activate:
		m.member.BeginActivate(m.now(), a.Shard)
	case lessor.Announce:
		m.member.BeginAnnounce(m.now())
	case lessor.ChangeMode:
		m.member.BeginChangeMode(a.To)
	}
}

// lease makes one call to a server: ask computes the server's reply. The
// call fails if the server does not answer in time.
func (m *groupMember) lease(id topo.ServerID, attempt uint64, active bool, ask func(*server) serverapi.LeaseReply) {
	target, exists := m.node.site.servers[id]
	settled := false
	end := func(reply *serverapi.LeaseReply) {
		if settled || !m.node.up {
			return
		}
		settled = true
		if reply == nil {
			m.member.LeaseFailed(m.now(), id, attempt)
		} else {
			m.member.LeaseReplied(m.now(), id, attempt, reportOf(*reply, active))
		}
		m.observe()
	}
	m.clock().after(renewEvery, func() { end(nil) })
	if !exists {
		return
	}
	delay := m.node.site.delay(m.node.zone, target.zone)
	m.clock().after(delay, func() {
		if !target.up {
			return
		}
		reply := ask(target)
		m.node.site.availability.granted(target)
		m.clock().after(delay, func() { end(&reply) })
	})
}

func (m *groupMember) renew(id topo.ServerID) {
	order, allowed := m.member.BeginRenew(m.now(), id)
	if !allowed {
		return
	}
	req := requestOf(m.group, m.node, order)
	m.lease(id, order.Attempt, req.Full, func(s *server) serverapi.LeaseReply {
		return s.holder.Lease(s.uptime(), req)
	})
}

func (m *groupMember) acknowledge(id topo.ServerID) {
	term, attempt, allowed := m.member.BeginAcknowledge(m.now(), id)
	if !allowed {
		return
	}
	req := serverapi.AcknowledgeRequest{Term: term.String(), Group: string(m.group)}
	m.lease(id, attempt, true, func(s *server) serverapi.LeaseReply {
		return s.holder.Acknowledge(s.uptime(), req)
	})
}

func (m *groupMember) heartbeat(to topo.NodeID) {
	heartbeat, allowed := m.member.BeginHeartbeat(m.now())
	if !allowed {
		return
	}
	m.callPeer(to, func(peer *groupMember) func() {
		reply := peer.member.HeartbeatReceived(peer.now(), heartbeat)
		return func() { m.member.HeartbeatAnswered(m.now(), reply) }
	}, func() {})
}

func (m *groupMember) probe(id topo.NodeID) {
	m.member.BeginProbe(m.now(), id)
	m.callPeer(id, func(peer *groupMember) func() {
		run := lessor.Incarnation{Node: peer.node.id, Boot: peer.node.boot}
		return func() { m.member.ProbeAnswered(m.now(), run) }
	}, func() { m.member.ProbeFailed(id) })
}

// callPeer makes one call to another node's member of the group. received runs there
// and returns the function that processes the answer here; failed runs if no answer arrives.
func (m *groupMember) callPeer(id topo.NodeID, received func(*groupMember) func(), failed func()) {
	site := m.node.site
	peer, exists := site.nodes[id]
	settled := false
	end := func(then func()) {
		if settled || !m.node.up {
			return
		}
		settled = true
		then()
		m.observe()
	}
	m.clock().after(suspectAfter/2, func() { end(failed) })
	if !exists {
		return
	}
	delay := site.delay(m.node.zone, peer.zone)
	m.clock().after(delay, func() {
		if !peer.up {
			return
		}
		answer := received(peer.member(m.group))
		m.clock().after(delay, func() { end(answer) })
	})
}

func (n *node) member(group topo.GroupID) *groupMember {
	for _, m := range n.members {
		if m.group == group {
			return m
		}
	}
	return nil
}

func (m *groupMember) claim() {
	claim, number, allowed := m.member.BeginClaim(m.now())
	if !allowed {
		return
	}
	m.node.site.log.append(m.node, claimRecord(m.group, m.node, claim), func(result state.Result) {
		m.member.ClaimDone(m.now(), number, result.Accepted)
		m.observe()
	})
}

func (m *groupMember) submit() {
	submission, number, due := m.member.BeginSubmit(m.now())
	if !due {
		return
	}
	m.node.site.log.append(m.node, submissionRecord(m.group, submission), func(result state.Result) {
		m.member.SubmitDone(m.now(), number, result.Offset)
		m.observe()
	})
}

// move requests planned moves from the member and returns the number that it accepts.
func (m *groupMember) move(moves []lessor.Move) int {
	accepted := m.member.RequestMove(m.now(), moves)
	m.observe()
	return accepted
}
