package lessor

import (
	"time"

	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/topo"
)

// input is an event that a worker passes to its member. The worker's goroutine
// applies it.
type input interface {
	apply(m *core.Member, now time.Duration)
}

// heartbeatReceived is a lessor's heartbeat that this node has to answer.
type heartbeatReceived struct {
	heartbeat core.Heartbeat
	reply     chan core.HeartbeatReply // size 1
}

func (in heartbeatReceived) apply(m *core.Member, now time.Duration) {
	metricHeartbeatsReceived.Add(1)
	reply := m.HeartbeatReceived(now, in.heartbeat)
	if reply.Promised {
		metricPromises.Add(1)
	}
	in.reply <- reply
}

// heartbeatAnswered is a reply to a heartbeat of this lessor.
type heartbeatAnswered struct{ reply core.HeartbeatReply }

func (in heartbeatAnswered) apply(m *core.Member, now time.Duration) {
	m.HeartbeatAnswered(now, in.reply)
}

// leaseAnswered is the result of a lease or acknowledgement call.
type leaseAnswered struct {
	server  topo.ServerID
	attempt uint64
	report  core.LeaseReport
	failed  bool
}

func (in leaseAnswered) apply(m *core.Member, now time.Duration) {
	if in.failed {
		metricRenewFailed.Add(1)
		m.LeaseFailed(now, in.server, in.attempt)
		return
	}
	metricRenewed.Add(1)
	if in.report.Refused != "" {
		metricRefused.Add(1)
	}
	m.LeaseReplied(now, in.server, in.attempt, in.report)
}

// probeEnded is the result of a probe.
type probeEnded struct {
	node        topo.NodeID
	incarnation core.Incarnation
	failed      bool
}

func (in probeEnded) apply(m *core.Member, now time.Duration) {
	if in.failed {
		m.ProbeFailed(in.node)
		return
	}
	m.ProbeAnswered(now, in.incarnation)
}

// claimEnded is the outcome of a claim.
type claimEnded struct {
	number   uint64
	accepted bool
	failed   bool
	unknown  bool
}

func (in claimEnded) apply(m *core.Member, now time.Duration) {
	if in.failed {
		m.ClaimFailed(now, in.number, in.unknown)
		return
	}
	m.ClaimDone(now, in.number, in.accepted)
}

// submitEnded is the outcome of a record of assignments.
type submitEnded struct {
	number  uint64
	offset  topo.Offset
	failed  bool
	unknown bool
}

func (in submitEnded) apply(m *core.Member, now time.Duration) {
	if in.failed {
		m.SubmitFailed(now, in.number, in.unknown)
		return
	}
	m.SubmitDone(now, in.number, in.offset)
}

// movesRequested is a request for planned moves.
type movesRequested struct {
	moves    []core.Move
	accepted chan int // size 1
}

func (in movesRequested) apply(m *core.Member, now time.Duration) {
	in.accepted <- m.RequestMove(now, in.moves)
}

// drainRequested makes the member hand its term over.
type drainRequested struct{}

func (drainRequested) apply(m *core.Member, _ time.Duration) { m.SetDraining() }
