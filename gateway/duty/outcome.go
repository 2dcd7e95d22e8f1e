package duty

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/guidance"
	"github.com/burdockspindle/burdockspindle/gateway/quota"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/site"
	"github.com/burdockspindle/burdockspindle/gateway/store"
	"github.com/burdockspindle/burdockspindle/gateway/urgency"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// handleAppend processes the result of an append. An append without a usable response is
// retried unchanged, because an earlier attempt may still take effect; the offset ensures
// that only one attempt does.
func (d *Duty) handleAppend(ctx context.Context, r appendResult) {
	p := r.pending
	if r.err == nil || r.alreadyApplied {
		d.completeAppend(ctx, p, r.startedAt)
		return
	}
	if r.newEra != nil {
		d.appending = nil
		d.handleNewEra(p, r.newEra, clock.Now())
		return
	}
	var conflict *store.ConflictError
	var trimmed *store.TrimmedError
	if errors.As(r.err, &conflict) || errors.As(r.err, &trimmed) {
		d.appending = nil
		d.handleConflict(p)
		return
	}
	if p.claim != nil && d.hadNoEffect(r.err) {
		d.appending = nil
		d.noClaimBefore = clock.Now().Add(appendRetryDelay) // avoids a request at every tick to a store that refuses
		return
	}
	eventAppendFailed.Log(d.Logger, "offset", p.offset, "key", p.record.Key, "cause", r.err)
	go func() {
		if clock.Wait(ctx, appendRetryDelay) {
			d.sendAppend(ctx, p)
		}
	}()
}

// hadNoEffect reports whether a failed claim is known to have had no effect.
func (d *Duty) hadNoEffect(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.NotApplied
}

func (d *Duty) completeAppend(ctx context.Context, p *pendingAppend, startedAt time.Time) {
	now := clock.Now()
	d.appending = nil
	d.topicEnd = p.offset + 1
	d.confirmedAt = startedAt
	d.nextConfirm = now.Add(confirmInterval)
	if d.allocator != nil {
		d.allocator.Answered(startedAt, now)
		setGrantMetrics(d.allocator.Ages(now))
	}
	switch {
	case p.claim != nil:
		d.beginLease(p, now)
		d.queryPreviousLessor(ctx, p)
	case p.change != nil:
		d.allocator.Appended(p.change)
		d.nextChange = now.Add(minChangeInterval)
		d.table = view.Table{Offset: p.offset, Table: p.change.Table}
		d.shownSerial = 0
		eventTableChanged.Log(d.Logger, "offset", p.offset, "ranges", d.table.Table.Ranges())
		d.endReissue(p)
	case p.quarantined != nil:
		d.completeQuarantine(p)
	case p.resigns:
		eventResigned.Log(d.Logger, "offset", p.offset)
		d.endLease()
		d.Feed.SetResigned(true)
	}
}

func (d *Duty) beginLease(p *pendingAppend, now time.Time) {
	eventLessor.Log(d.Logger, "offset", p.offset, "formerHold", p.previousHold)
	d.allocator = ranges.NewAllocator(p.claim, d.Timing, p.previousHold, now)
	d.allocator.LimitUncertain(p.uncertainHold, now)
	d.earlierHoldEnd = now.Add(p.earlierHold)
	d.loads = ranges.NewLoads()
	d.quota = quota.New()
	d.beginGuidance(now)
	d.beginQuarantine(now)
	d.leaseOffset, d.sharesSerial = p.offset, 0
	d.sendShares(nil, now) // replaces the shares of the previous lessor
	d.lessorSince = now
	d.shownSerial = 0
	d.setLessor(true)
	d.Feed.SetResigned(false)
	d.table = view.Table{Offset: p.offset, Table: p.claim}
}

// handleConflict ends the lease or the claim after another node's record was found in the
// topic.
func (d *Duty) handleConflict(p *pendingAppend) {
	if p.claim != nil {
		eventClaimLost.Log(d.Logger, "offset", p.offset)
		d.noClaimBefore = clock.Now().Add(lostClaimPause)
		return
	}
	eventDeposed.Log(d.Logger, "offset", p.offset)
	d.endLease()
}

func (d *Duty) endLease() {
	d.allocator = nil
	d.reissue = nil
	d.resignationSent = false
	d.yielding = false
	d.endHandOff()
	d.setLessor(false)
	setGrantMetrics(ranges.GrantAges{})
	d.endSpeeds()
}

// setLessor records whether this node is the lessor, here, in the metrics and in the
// reader.
func (d *Duty) setLessor(isLessor bool) {
	d.isLessor.Store(isLessor)
	lessorGauge.Set(0)
	if isLessor {
		lessorGauge.Set(1)
	}
	d.Reader.SetLessor(isLessor)
}

// showRoutes merges the allocator's routes into the view when they have changed.
func (d *Duty) showRoutes() {
	if d.allocator == nil || d.allocator.Serial() == d.shownSerial {
		return
	}
	d.shownSerial = d.allocator.Serial()
	routes := view.Routes{Lessor: d.Self, Offset: d.table.Offset, Serial: d.shownSerial, Services: d.allocator.Routes()}
	d.State.MergeRoutes(routes)
}

// Dump returns the state of the duty for the state dump.
func (d *Duty) Dump() any {
	v := d.State.Now()
	return struct {
		Lessor ranges.Lessor `json:"self"`
		Holds  bool          `json:"holdsLease"`
		// StoreEra is the era of the store as of this node's latest read.
		StoreEra store.Era `json:"storeEra"`
		// EvacuatedZones are those whose servers get no requests.
		EvacuatedZones []string `json:"evacuatedZones"`
		// ServerLimits are the requests a second that servers take from all nodes together, by the incarnation whose
		// answer says so.
		ServerLimits map[site.ServerID]float64 `json:"serverLimits"`
		// LeavingServers are registered servers that have said in an answer that they are about to end.
		LeavingServers []site.ServerID `json:"leavingServers"`
		// Speeds are the lessor's estimates of the speeds of servers.
		Speeds []serviceDump `json:"speeds"`
		// Admissions are the shares that this node admits by the guidance, and AdmissionDecisions the lessor's latest.
		Admissions         map[site.ServiceName]guidance.Admission `json:"admissions"`
		AdmissionDecisions []urgency.Decision                      `json:"admissionDecisions"`
	}{d.Self, d.IsLessor(), d.Reader.Era(), v.Evacuation.Zones(), v.Limits.Rates(time.Now()), v.LeavingServers(), d.dumpSpeeds(), v.Guidance.Admissions, d.admissions.dump(d.IsLessor())}
}
