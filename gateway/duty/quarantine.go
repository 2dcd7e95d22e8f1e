package duty

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// beginQuarantine continues from the list of the previous lessor, which this node has read
// before its claim.
func (d *Duty) beginQuarantine(now time.Time) {
	d.quarantined = d.State.Now().Quarantine.List
	d.quarantine = quarantine.NewTable(quarantine.SharedThreshold)
	d.quarantine.Adopt(d.quarantined, now)
	d.quarantineDue = false
}

// handleCrashes adds a node's observations of servers that ended and of suspected requests
// that were answered.
func (d *Duty) handleCrashes(report follow.Report, now time.Time) {
	report.EachAnswered(func(request quarantine.Fingerprint) { d.quarantine.NoteAnswer(request, now) })
	report.EachCrash(func(server site.ServerID, request quarantine.Fingerprint, caller quarantine.Caller) {
		d.quarantine.NoteCrash(server, request, caller, now)
	})
}

// updateQuarantine makes the decisions that are due. A changed list is written to the store
// before it applies, so that it outlasts the nodes.
func (d *Duty) updateQuarantine(now time.Time) {
	d.handleCrashes(d.Reports.DrainUrgent(), now)
	if !d.quarantine.Update(now) {
		return
	}
	list := d.quarantine.List()
	if list.IsEqual(d.quarantined) {
		return
	}
	for request, entry := range list {
		if entry.Quarantined && !d.quarantined.IsQuarantined(request) {
			eventQuarantined.Log(d.Logger, "fingerprint", request.String(), "servers", entry.Servers)
		}
	}
	d.quarantined, d.quarantineDue = list, true
}

// completeQuarantine applies a list that is in the store.
func (d *Duty) completeQuarantine(p *pendingAppend) {
	d.quarantineDue = !p.quarantined.IsEqual(d.quarantined)
	d.State.MergeQuarantine(view.Quarantine{Offset: p.offset, List: p.quarantined})
}
