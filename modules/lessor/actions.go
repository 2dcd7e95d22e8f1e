package lessor

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/follower"
	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func (w *worker) target(id topo.ServerID) backend.Target {
	return backend.Target{ID: id, Address: w.facts.Servers[id].Address}
}

// renew sends one lease request.
func (w *worker) renew(ctx context.Context, now time.Duration, id topo.ServerID) {
	if !w.calls.hasSlot() {
		return
	}
	order, allowed := w.member.BeginRenew(now, id)
	if !allowed {
		return
	}
	metricRenewals.Add(1)
	target := w.target(id)
	req := orderToRequest(w.group, w.module.self, order)
	w.calls.begin(ctx, w.module.timing.RenewEvery, func(ctx context.Context) input {
		reply, err := w.module.driver.Lease(ctx, target, req)
		return w.leaseResult(id, order.Attempt, reply, err, req.Full)
	})
}

// acknowledge sends one acknowledgement, which asks a server to refuse earlier terms.
func (w *worker) acknowledge(ctx context.Context, now time.Duration, id topo.ServerID) {
	if !w.calls.hasSlot() {
		return
	}
	term, attempt, allowed := w.member.BeginAcknowledge(now, id)
	if !allowed {
		return
	}
	metricAcks.Add(1)
	target := w.target(id)
	req := serverapi.AcknowledgeRequest{Term: term.String(), Group: string(w.group)}
	w.calls.begin(ctx, w.module.timing.RenewEvery, func(ctx context.Context) input {
		reply, err := w.module.driver.Acknowledge(ctx, target, req)
		return w.leaseResult(id, attempt, reply, err, true)
	})
}

func (w *worker) leaseResult(id topo.ServerID, attempt uint64, reply serverapi.LeaseReply, err error, active bool) input {
	ended := leaseAnswered{server: id, attempt: attempt}
	if err == nil {
		ended.report, err = reportFromReply(reply, active)
		if err != nil {
			eventMalformedReply.Log(w.module.logger, "server", id, "error", err)
		}
	}
	ended.failed = err != nil
	return ended
}

// heartbeat sends one heartbeat to the standby lessor. A failed heartbeat is not
// reported to the member.
func (w *worker) heartbeat(ctx context.Context, now time.Duration, to topo.NodeID) {
	if !w.calls.hasSlot() {
		return
	}
	heartbeat, allowed := w.member.BeginHeartbeat(now)
	if allowed {
		w.sendHeartbeat(ctx, to, heartbeat)
	}
}

// askPrevious asks a previous lessor whether it has stopped.
func (w *worker) askPrevious(ctx context.Context, now time.Duration, to topo.NodeID) {
	if !w.calls.hasSlot() {
		return
	}
	heartbeat, allowed := w.member.BeginAsk(now)
	if allowed {
		w.sendHeartbeat(ctx, to, heartbeat)
	}
}

func (w *worker) sendHeartbeat(ctx context.Context, to topo.NodeID, heartbeat core.Heartbeat) {
	metricHeartbeats.Add(1)
	req := heartbeatToProto(w.group, w.module.caller.Sender(), heartbeat)
	w.calls.begin(ctx, w.module.timing.SuspectAfter, func(ctx context.Context) input {
		resp, err := w.module.caller.Heartbeat(ctx, to, req)
		if err != nil {
			metricHeartbeatsFailed.Add(1)
			return nil
		}
		return heartbeatAnswered{reply: replyFromProto(resp)}
	})
}

// probe checks whether a node responds.
func (w *worker) probe(ctx context.Context, now time.Duration, id topo.NodeID) {
	if !w.calls.hasSlot() {
		return
	}
	w.member.BeginProbe(now, id)
	metricProbes.Add(1)
	w.calls.begin(ctx, w.module.timing.SuspectAfter/probesPerSuspicion, func(ctx context.Context) input {
		resp, err := w.module.caller.Status(ctx, id)
		if err != nil {
			return probeEnded{node: id, failed: true}
		}
		return probeEnded{node: id, incarnation: incarnationOf(resp.GetSender())}
	})
}

// claim writes a claim of the group's next term to the log.
func (w *worker) claim(ctx context.Context) {
	claim, number, allowed := w.member.BeginClaim(w.module.now())
	if !allowed {
		return
	}
	metricClaims.Add(1)
	eventClaiming.Log(w.module.logger, "group", w.group, "expected", claim.Expected, "standby", claim.Standby.Node, "ownDelay", w.member.SchedulingDelay(w.module.now()))
	record := claimToProto(w.group, w.module.self, claim)
	w.calls.write(ctx, func(ctx context.Context) input {
		outcome, err := w.module.appender.Submit(ctx, record)
		return w.claimResult(number, outcome, err)
	})
}

func (w *worker) claimResult(number uint64, outcome follower.Outcome, err error) input {
	if err != nil {
		eventClaimFailed.Log(w.module.logger, "group", w.group, "error", err)
		return claimEnded{number: number, failed: true, unknown: isUnknown(err)}
	}
	if !outcome.Accepted {
		eventClaimRefused.Log(w.module.logger, "group", w.group, "conflict", outcome.Conflict)
	} else {
		metricClaimsWon.Add(1)
	}
	return claimEnded{number: number, accepted: outcome.Accepted}
}

// isUnknown reports whether a record may have been written although Submit failed:
// every error except a *follower.NotAppendedError leaves the outcome unknown.
func isUnknown(err error) bool {
	var not *follower.NotAppendedError
	return !errors.As(err, &not)
}

// submit writes shard assignments to the log.
func (w *worker) submit(ctx context.Context, now time.Duration) {
	submission, number, due := w.member.BeginSubmit(now)
	if !due {
		return
	}
	count := len(submission.Assigns)
	metricAssignRecords.Add(1)
	metricAssigned.Add(int64(count))
	eventAssigning.Log(w.module.logger, "group", w.group, "reason", submission.Reason, "shards", count)
	record := submissionToProto(w.group, submission)
	w.calls.write(ctx, func(ctx context.Context) input {
		outcome, err := w.module.appender.Submit(ctx, record)
		if err != nil {
			eventAssignFailed.Log(w.module.logger, "group", w.group, "error", err)
			return submitEnded{number: number, failed: true, unknown: isUnknown(err)}
		}
		if rejected := len(outcome.RejectedShards); rejected > 0 {
			metricRejected.Add(int64(rejected))
			eventRejected.Log(w.module.logger, "group", w.group, "rejected", rejected, "conflict", outcome.Conflict)
		}
		return submitEnded{number: number, offset: outcome.Offset}
	})
}

// announce sends the decisions made off the log to the other nodes. Each node gets a
// separate call, so that an unresponsive one does not delay the others.
func (w *worker) announce(ctx context.Context, now time.Duration) {
	announcement, due := w.member.BeginAnnounce(now)
	if !due {
		return
	}
	w.module.publishAnnouncement(w.group, w.module.self, announcement)
	req := &bspb.AnnounceRequest{
		Sender: w.module.caller.Sender(),
		Group:  string(w.group),
		Term:   ordinalToProto(announcement.Term.Ordinal),
	}
	for _, a := range announcement.Activations {
		req.Activations = append(req.Activations, &bspb.Activation{
			Shard: shardToProto(a.Shard),
			Fence: ordinalToProto(a.Fence.Ordinal),
			Owner: string(a.Server),
		})
	}
	for _, id := range w.module.caller.Known() {
		if !w.announcements.hasSlot() {
			return
		}
		w.announcements.begin(ctx, w.module.timing.SuspectAfter, func(ctx context.Context) input {
			_ = w.module.caller.Announce(ctx, id, req) // the announcement is repeated
			return nil
		})
	}
}
