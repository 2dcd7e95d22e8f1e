package lessor

import (
	"time"

	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/topo"
)

// input is something that a worker's member is told. Each kind is applied by
// the worker's goroutine.
type input interface {
	apply(m *core.Member, now time.Duration)
}

// heartbeatReceived asks for the answer to a lessor's heartbeat.
type heartbeatReceived struct {
	heartbeat core.Heartbeat
	reply     chan core.HeartbeatReply // size 1
}

func (in heartbeatReceived) apply(m *core.Member, now time.Duration) {
	metricHeartReceived.Add(1)
	reply := m.HeartbeatReceived(now, in.heartbeat)
	if reply.Promised {
		metricPromises.Add(1)
	}
	in.reply <- reply
}

// heartbeatAnswered is the standby lessor's reply to this lessor.
type heartbeatAnswered struct{ reply core.HeartbeatReply }

func (in heartbeatAnswered) apply(m *core.Member, now time.Duration) {
	m.HeartbeatAnswered(now, in.reply)
}

// leaseAnswered is the end of a lease or acknowledgement call.
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

// probeEnded is the end of a probe.
type probeEnded struct {
	node   topo.NodeID
	run    core.Run
	failed bool
}

func (in probeEnded) apply(m *core.Member, now time.Duration) {
	if in.failed {
		m.ProbeFailed(in.node)
		return
	}
	m.ProbeAnswered(now, in.run)
}

// claimEnded is the fate of a claim.
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

// submitEnded is the fate of a record of assignments.
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

// movesRequested asks for planned moves.
type movesRequested struct {
	moves    []core.Move
	accepted chan int // size 1
}

func (in movesRequested) apply(m *core.Member, now time.Duration) {
	in.accepted <- m.RequestMove(now, in.moves)
}

// drainRequested makes the member give its term away.
type drainRequested struct{}

func (drainRequested) apply(m *core.Member, _ time.Duration) { m.SetDraining() }
