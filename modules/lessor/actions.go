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
	if !w.calls.room() {
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
		return w.leaseEnded(id, order.Attempt, reply, err, req.Full)
	})
}

// acknowledge asks a server to refuse earlier terms.
func (w *worker) acknowledge(ctx context.Context, now time.Duration, id topo.ServerID) {
	if !w.calls.room() {
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
		return w.leaseEnded(id, attempt, reply, err, true)
	})
}

func (w *worker) leaseEnded(id topo.ServerID, attempt uint64, reply serverapi.LeaseReply, err error, active bool) input {
	ended := leaseAnswered{server: id, attempt: attempt}
	if err == nil {
		ended.report, err = reportFromReply(reply, active)
		if err != nil {
			eventUnreadable.Log(w.module.logger, "server", id, "error", err)
		}
	}
	ended.failed = err != nil
	return ended
}

// heartbeat sends one heartbeat to the standby lessor. Without an answer there
// is nothing to tell.
func (w *worker) heartbeat(ctx context.Context, now time.Duration, to topo.NodeID) {
	if !w.calls.room() {
		return
	}
	heartbeat, allowed := w.member.BeginHeartbeat(now)
	if allowed {
		w.sendHeartbeat(ctx, to, heartbeat)
	}
}

// ask asks a former lessor whether it has stopped.
func (w *worker) ask(ctx context.Context, now time.Duration, to topo.NodeID) {
	if !w.calls.room() {
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
			metricHeartFailed.Add(1)
			return nil
		}
		return heartbeatAnswered{reply: replyFromProto(resp)}
	})
}

// probe asks a node for a sign of life.
func (w *worker) probe(ctx context.Context, now time.Duration, id topo.NodeID) {
	if !w.calls.room() {
		return
	}
	w.member.BeginProbe(now, id)
	metricProbes.Add(1)
	w.calls.begin(ctx, w.module.timing.SuspectAfter/probesPerSuspicion, func(ctx context.Context) input {
		resp, err := w.module.caller.Status(ctx, id)
		if err != nil {
			return probeEnded{node: id, failed: true}
		}
		return probeEnded{node: id, run: runOf(resp.GetSender())}
	})
}

// claim writes a claim of the group's next term.
func (w *worker) claim(ctx context.Context) {
	claim, number, allowed := w.member.BeginClaim(w.module.now())
	if !allowed {
		return
	}
	metricClaims.Add(1)
	eventClaiming.Log(w.module.logger, "group", w.group, "expected", claim.Expected, "standby", claim.Standby.Node, "ownDelay", w.member.OwnDelay(w.module.now()))
	record := claimToProto(w.group, w.module.self, claim)
	w.calls.write(ctx, func(ctx context.Context) input {
		fate, err := w.module.appender.Submit(ctx, record)
		return w.claimEnded(number, fate, err)
	})
}

func (w *worker) claimEnded(number uint64, fate follower.Fate, err error) input {
	if err != nil {
		eventClaimFailed.Log(w.module.logger, "group", w.group, "error", err)
		return claimEnded{number: number, failed: true, unknown: isUnknown(err)}
	}
	if !fate.Accepted {
		eventClaimRefused.Log(w.module.logger, "group", w.group, "conflict", fate.Conflict)
	} else {
		metricClaimsWon.Add(1)
	}
	return claimEnded{number: number, accepted: fate.Accepted}
}

// isUnknown reports whether a record may have been written although Submit
// failed. Anything but a proof of the contrary counts.
func isUnknown(err error) bool {
	var not *follower.NotAppendedError
	return !errors.As(err, &not)
}

// submit writes assignments.
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
		fate, err := w.module.appender.Submit(ctx, record)
		if err != nil {
			eventAssignFailed.Log(w.module.logger, "group", w.group, "error", err)
			return submitEnded{number: number, failed: true, unknown: isUnknown(err)}
		}
		if rejected := len(fate.RejectedShards); rejected > 0 {
			metricRejected.Add(int64(rejected))
			eventRejected.Log(w.module.logger, "group", w.group, "rejected", rejected, "conflict", fate.Conflict)
		}
		return submitEnded{number: number, offset: fate.Offset}
	})
}

// announce tells the other nodes what was decided off the log. Each gets a call
// of its own, so that a silent one holds up none.
func (w *worker) announce(ctx context.Context, now time.Duration) {
	announcement, due := w.member.BeginAnnounce(now)
	if !due {
		return
	}
	w.module.announced(w.group, w.module.self, announcement)
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
		if !w.announcements.room() {
			return
		}
		w.announcements.begin(ctx, w.module.timing.SuspectAfter, func(ctx context.Context) input {
			_ = w.module.caller.Announce(ctx, id, req) // told again soon
			return nil
		})
	}
}
