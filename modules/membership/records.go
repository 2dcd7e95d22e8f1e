package membership

import (
	core "github.com/burdockspindle/burdockspindle/membership"
	"github.com/burdockspindle/burdockspindle/state"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// lossSource names, in ConfirmLoss records, who says so.
const lossSource = "vm-list"

// serverRecords returns what should be written about servers.
func (d *duty) serverRecords(view *state.View, o *core.Observed) []submission {
	changes := core.DecideServers(view, o)
	var batch []submission
	if len(changes.Lost) > 0 {
		batch = append(batch, d.loss(&bspb.ConfirmLoss{Servers: changes.Lost, Source: lossSource}))
	}
	if len(changes.Upsert) > 0 || len(changes.Remove) > 0 {
		update := &bspb.UpdateServers{Upsert: changes.Upsert, Remove: changes.Remove}
		batch = append(batch, submission{
			record: &bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: update}},
			done: func() {
				eventServers.Log(d.logger, "changed", len(update.Upsert), "removed", len(update.Remove))
			},
		})
	}
	return batch
}

// nodeRecords returns what should be written about silent nodes.
func (d *duty) nodeRecords(view *state.View, o *core.Observed) []submission {
	changes := core.DecideNodes(view, d.circle, d.live, o)
	var batch []submission
	if len(changes.Lost) > 0 {
		batch = append(batch, d.loss(&bspb.ConfirmLoss{Nodes: changes.Lost, Source: lossSource}))
	}
	for _, remove := range changes.Remove {
		batch = append(batch, submission{
			record: &bspb.Record{Body: &bspb.Record_RemoveNode{RemoveNode: remove}},
			done: func() {
				metricNodesRemoved.Add(1)
				eventNodeRemoved.Log(d.logger, "peer", remove.Node, "boot", remove.Boot)
			},
		})
	}
	return batch
}

func (d *duty) loss(body *bspb.ConfirmLoss) submission {
	return submission{
		record: &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: body}},
		done: func() {
			metricLossesTold.Add(int64(len(body.Servers) + len(body.Nodes)))
			eventLossConfirmed.Log(d.logger, "servers", body.Servers, "nodes", body.Nodes)
		},
	}
}
