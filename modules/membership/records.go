package membership

import (
	"github.com/burdockspindle/burdockspindle/follower"
	core "github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/submit"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// lossSource is the source of the confirmation in ConfirmLoss records.
const lossSource = "vm-list"

// serverRecords returns the records to write about servers.
func (d *duty) serverRecords(view *state.View, o *core.Observed) []submit.Submission {
	changes := core.DecideServers(view, o)
	basis := uint64(view.Applied())
	var batch []submit.Submission
	if len(changes.Lost) > 0 {
		batch = append(batch, d.loss(&bspb.ConfirmLoss{Servers: changes.Lost, Source: lossSource, Basis: basis}))
	}
	if len(changes.Upsert) > 0 || len(changes.Remove) > 0 {
		update := &bspb.UpdateServers{Upsert: changes.Upsert, Remove: changes.Remove, Basis: basis}
		batch = append(batch, submit.Submission{
			Record: &bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: update}},
			Done: d.onOutcome(func() {
				eventServers.Log(d.logger, "changed", len(update.Upsert), "removed", len(update.Remove))
			}),
		})
	}
	return batch
}

// nodeRecords returns the records to write about unresponsive nodes.
func (d *duty) nodeRecords(view *state.View, o *core.Observed) []submit.Submission {
	changes := core.DecideNodes(view, d.nodeRing, d.live, o)
	var batch []submit.Submission
	if len(changes.Lost) > 0 {
		batch = append(batch, d.loss(&bspb.ConfirmLoss{Nodes: changes.Lost, Source: lossSource}))
	}
	for _, remove := range changes.Remove {
		batch = append(batch, submit.Submission{
			Record: &bspb.Record{Body: &bspb.Record_RemoveNode{RemoveNode: remove}},
			Done: d.onOutcome(func() {
				metricNodesRemoved.Add(1)
				eventNodeRemoved.Log(d.logger, "peer", remove.Node, "boot", remove.Boot)
			}),
		})
	}
	return batch
}

func (d *duty) loss(body *bspb.ConfirmLoss) submit.Submission {
	return submit.Submission{
		Record: &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: body}},
		Done: d.onOutcome(func() {
			metricLossesConfirmed.Add(int64(len(body.Servers) + len(body.Nodes)))
			eventLossConfirmed.Log(d.logger, "servers", body.Servers, "nodes", body.Nodes)
		}),
	}
}

// onOutcome returns a callback that counts and logs the outcome of a record, and calls
// took if the record took effect.
func (d *duty) onOutcome(onAccepted func()) func(follower.Outcome, error) {
	return func(outcome follower.Outcome, err error) {
		metricSubmitted.Add(1)
		switch {
		case err != nil:
			metricSubmitFailed.Add(1)
			eventSubmitFailed.Log(d.logger, "error", err)
		case !outcome.Accepted:
			metricRefused.Add(1)
			eventRefused.Log(d.logger, "offset", outcome.Offset, "conflict", outcome.Conflict)
		default:
			onAccepted()
		}
	}
}
