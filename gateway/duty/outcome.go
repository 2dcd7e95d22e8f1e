package duty

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// takeAppend acts on the outcome of an append. One without a usable answer is
// tried again as it was, since it may still take effect; only one of the tries
// can.
func (d *Duty) takeAppend(ctx context.Context, r appendResult) {
	p := r.pending
	if r.err == nil || r.mine {
		d.succeeded(ctx, p, r.startedAt)
		return
	}
	var conflict *store.ConflictError
	var trimmed *store.TrimmedError
	if errors.As(r.err, &conflict) || errors.As(r.err, &trimmed) {
		d.appending = nil
		d.depose(p)
		return
	}
	if p.claim != nil && d.mayDropClaim(r.err) {
		d.appending = nil
		d.noClaim = clock.Now().Add(retryAppend) // a store that refuses is not asked at every tick
		return
	}
	eventAppendFailed.Log(d.Logger, "offset", p.at, "key", p.record.Key, "cause", r.err)
	go func() {
		if clock.Wait(ctx, retryAppend) {
			d.send(ctx, p)
		}
	}()
}

// mayDropClaim reports whether a claim surely had no effect.
func (d *Duty) mayDropClaim(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.NotDone
}

func (d *Duty) succeeded(ctx context.Context, p *pendingAppend, startedAt time.Time) {
	now := clock.Now()
	d.appending = nil
	d.end = p.at + 1
	d.confirmedAt = startedAt
	d.nextConfirm = now.Add(confirmEvery)
	if d.allocator != nil {
		d.allocator.Answered(startedAt, now)
		showGrants(d.allocator.Ages(now))
	}
	switch {
	case p.claim != nil:
		d.begin(p, now)
		d.askFormer(ctx, p)
	case p.change != nil:
		d.allocator.Appended(p.change)
		d.nextChange = now.Add(changePause)
		d.table = view.Table{Offset: p.at, Table: p.change.Table}
		d.shown = 0
		eventTableChanged.Log(d.Logger, "offset", p.at, "ranges", d.table.Table.Ranges())
	case p.resigns:
		eventResigned.Log(d.Logger, "offset", p.at)
		d.stop()
		d.Feed.SetResigned(true)
	}
}

func (d *Duty) begin(p *pendingAppend, now time.Time) {
	eventLessor.Log(d.Logger, "offset", p.at, "formerHold", p.former)
	d.allocator = ranges.NewAllocator(p.claim, d.Timing, p.former, now)
	d.allocator.LimitDoubt(p.doubt, now)
	d.beforeUntil = now.Add(p.before)
	d.loads = ranges.NewLoads()
	d.quota = quota.New()
	d.leaseOffset, d.sharesSerial = p.at, 0
	d.tellShares(nil, now) // those of the former lessor hold no longer
	d.lessorSince = now
	d.shown = 0
	d.setLessor(true)
	d.Feed.SetResigned(false)
	d.table = view.Table{Offset: p.at, Table: p.claim}
}

// depose ends the duty after another node's record was found in the topic.
func (d *Duty) depose(p *pendingAppend) {
	if p.claim != nil {
		eventClaimLost.Log(d.Logger, "offset", p.at)
		d.noClaim = clock.Now().Add(claimPause)
		return
	}
	eventDeposed.Log(d.Logger, "offset", p.at)
	d.stop()
}

func (d *Duty) stop() {
	d.allocator = nil
	d.givenUp = false
	d.yielding = false
	d.endHandOff()
	d.setLessor(false)
	showGrants(ranges.GrantAges{})
}

// setLessor has the node's other parts take it for the lessor, or not.
func (d *Duty) setLessor(isLessor bool) {
	d.isLessor.Store(isLessor)
	lessorIs.Set(0)
	if isLessor {
		lessorIs.Set(1)
	}
	d.Reader.SetLessor(isLessor)
}

// showRoutes puts the allocator's routes into the view when they have changed.
func (d *Duty) showRoutes() {
	if d.allocator == nil || d.allocator.Serial() == d.shown {
		return
	}
	d.shown = d.allocator.Serial()
	routes := view.Routes{Lessor: d.Self, Offset: d.table.Offset, Serial: d.shown, Services: d.allocator.Routes()}
	d.State.MergeRoutes(routes)
}

// Dump returns the state of the duty for the state dump.
func (d *Duty) Dump() any {
	return struct {
		Lessor ranges.Lessor `json:"self"`
		Holds  bool          `json:"holdsLease"`
	}{d.Self, d.IsLessor()}
}
