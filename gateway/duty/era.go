package duty

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// When the store comes back from a copy, records of the ownership topic may be gone: moves, and claims. The
// lessor then writes its table again, with every fence raised into the new era. It does so only if no other node
// can have taken over by a claim that is gone. Any other node does not know who holds which keys, and claims the
// lease only when every grant of the ended era has expired.

// reissue is the state of a lessor that is to write its table again.
type reissue struct {
	end   store.Offset // of the ownership topic in the new era
	since time.Time    // when this node noticed the new era
}

// readNewEra reads the state of the ownership topic in the new era after an append under an offset of an
// ended one.
func (d *Duty) readNewEra(ctx context.Context) (*follow.Ownership, error) {
	batch, err := d.Store.Newest(ctx, store.Ownership)
	if err != nil {
		return nil, err
	}
	ownership := follow.OwnershipOf(batch, clock.Now())
	return &ownership, nil
}

// handleNewEra handles an append under an offset of an era that has ended. The append may have taken effect in
// the new era, where its record counts for nothing.
func (d *Duty) handleNewEra(p *pendingAppend, ownership *follow.Ownership, now time.Time) {
	eventEraEnded.Log(d.Logger, "from", p.offset.Era(), "to", ownership.End.Era(), "offset", p.offset.Place(), "end", ownership.End.Place(), "key", p.record.Key, "isClaim", p.claim != nil, "confirmedAgo", now.Sub(d.confirmedAt))
	if p.claim != nil {
		d.noClaimBefore = now.Add(lostClaimPause) // the topic is read again meanwhile
		return
	}
	if isWrittenInEra(ownership) {
		eventDeposed.Log(d.Logger, "offset", p.offset)
		d.endLease()
		return
	}
	d.allocator.Discard()
	d.resignationSent = false // a resignation under the ended era is not read
	d.reissue = &reissue{end: ownership.End, since: now}
}

// isWrittenInEra reports whether a lessor has written its table in the present era.
func isWrittenInEra(ownership *follow.Ownership) bool {
	return ownership.Table.Table != nil && ownership.Table.Offset.Era() == ownership.End.Era()
}

// continueReissue renews grants until it is certain that there is no other lessor, and then appends the table.
func (d *Duty) continueReissue(ctx context.Context, now time.Time) {
	d.sendCalls(ctx, now)
	if d.appending != nil {
		return
	}
	proof := d.allocator.AcceptedSince(d.reissue.since)
	if proof.Fenced || now.Sub(d.confirmedAt) >= d.Timing.GrantPeriod {
		eventReissueEnded.Log(d.Logger, "fenced", proof.Fenced, "confirmedAgo", now.Sub(d.confirmedAt), "accepted", proof.Accepted, "ranges", proof.Ranges)
		d.endLease()
		return
	}
	// Nobody claims within suspectTimeout of a record.
	if d.reissue.since.Sub(d.confirmedAt) >= suspectTimeout && !proof.IsComplete() {
		return
	}
	d.topicEnd = d.reissue.end
	d.append(ctx, &pendingAppend{change: d.allocator.Reissue(ranges.Fence(d.topicEnd), now)})
}

// endReissue records that the table stands in the new era. The list of quarantined requests follows it.
func (d *Duty) endReissue(p *pendingAppend) {
	if d.reissue == nil {
		return
	}
	eventReissued.Log(d.Logger, "offset", p.offset, "era", p.offset.Era(), "took", clock.Since(d.reissue.since), "ranges", p.change.Table.Ranges())
	d.reissue = nil
	d.quarantineDue = len(d.quarantined) > 0
}

// awaitsHolds reports whether grants of the era before may still be in force, whose holders the table does not
// name.
func (d *Duty) awaitsHolds(ownership follow.Ownership, now time.Time) bool {
	if !ownership.IsFromCopy() {
		return false
	}
	left := d.Timing.PreviousHold() - now.Sub(ownership.EraObservedAt)
	if era := ownership.End.Era(); left > 0 && d.awaitedEra != era {
		d.awaitedEra = era
		eventAwaitingHolds.Log(d.Logger, "era", era, "tableOffset", ownership.Table.Offset, "left", left)
	}
	return left > 0
}
