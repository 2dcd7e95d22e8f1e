package duty

import (
	"context"
	"errors"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/store"
)

// PreviousLessor queries the previous lessor for its outstanding grants.
type PreviousLessor interface {
	RequestGrants(ctx context.Context, former ranges.Lessor, claim store.Offset) (follow.PreviousGrants, error)
}

// previousReport holds the outstanding grants of the lessor that preceded a claim.
type previousReport struct {
	claim      store.Offset
	grants     follow.PreviousGrants
	receivedAt time.Time
}

// queryRetryDelay is the pause after the previous lessor did not respond. A node whose
// process was killed restarts within a second or two, and then reports that the process has
// ended.
const queryRetryDelay = 500 * time.Millisecond

// queryPreviousLessor queries the lessor before this node's claim, unless that lessor has
// resigned and its record states the remaining holds.
func (d *Duty) queryPreviousLessor(ctx context.Context, p *pendingAppend) {
	if p.previousLessor.Boot == "" || p.previousLessor.Node == d.Self.Node || d.PreviousLessor == nil {
		return
	}
	go func() {
		grants, isKnown := d.awaitPreviousGrants(ctx, p)
		if !isKnown {
			return
		}
		select {
		case d.previousReports <- previousReport{claim: p.offset, grants: grants, receivedAt: clock.Now()}:
		case <-ctx.Done():
		}
	}()
}

// awaitPreviousGrants queries the previous lessor until it responds or its grants have
// expired.
func (d *Duty) awaitPreviousGrants(ctx context.Context, p *pendingAppend) (grants follow.PreviousGrants, isKnown bool) {
	end := clock.Now().Add(p.previousHold)
	for tries := 0; ; tries++ {
		grants, err := d.PreviousLessor.RequestGrants(ctx, p.previousLessor, p.offset)
		if err == nil {
			return grants, true
		}
		if tries == 0 {
			eventPreviousUnresponsive.Log(d.Logger, "former", p.previousLessor.Node, "offset", p.offset, "cause", err)
		}
		var unknown *follow.UnknownLessorError
		if errors.As(err, &unknown) || clock.Now().After(end) || !clock.Wait(ctx, queryRetryDelay) {
			return follow.PreviousGrants{}, false
		}
	}
}

// handlePreviousGrants applies the outstanding grants that the previous lessor reported.
func (d *Duty) handlePreviousGrants(r previousReport) {
	if d.allocator == nil || d.leaseOffset != r.claim {
		return
	}
	if r.grants.HasEnded {
		d.allocator.PreviousEnded(r.receivedAt.Add(-r.grants.EndedFor), d.earlierHoldEnd)
	} else {
		d.allocator.LimitPrevious(r.grants.Ranges, r.receivedAt)
	}
	eventPreviousReported.Log(d.Logger, "offset", r.claim, "ranges", len(r.grants.Ranges), "hasEnded", r.grants.HasEnded, "endedFor", r.grants.EndedFor, "held", d.allocator.HeldFor(r.receivedAt))
}

// beginHandOff handles the request of a node that has claimed the lease. Because the claim
// is in the store, no append of this node succeeds any more, and owners that have accepted
// a grant of the next lessor refuse the grants of this one.
func (d *Duty) beginHandOff(request *follow.HandOff) {
	if request.Previous.Node == d.Self.Node && request.Previous.Boot != d.Self.Boot {
		request.Reply <- follow.PreviousGrants{HasEnded: true, EndedFor: clock.Since(d.StartedAt)}
		return
	}
	if request.Previous.Boot != d.Self.Boot || d.allocator == nil || request.Claim < d.topicEnd {
		close(request.Reply)
		return
	}
	eventHandingOff.Log(d.Logger, "claim", request.Claim, "confirmedAgo", clock.Since(d.confirmedAt))
	d.endHandOff() // closes an earlier request
	d.pendingHandOff = request
	d.setLessor(false)
}

// finishHandOff reports the outstanding grants to the next lessor once no call is in
// flight, and ends the duty once the outcome of this node's own append is known.
func (d *Duty) finishHandOff(now time.Time) {
	if d.pendingHandOff != nil && !d.allocator.GrantInFlight() {
		d.pendingHandOff.Reply <- follow.PreviousGrants{Ranges: d.allocator.Remaining(now)}
		d.pendingHandOff = nil
		d.handedOff = true
	}
	if d.handedOff && d.appending == nil {
		d.endLease()
	}
}

// endHandOff ends a hand-off. A request without a reply is closed.
func (d *Duty) endHandOff() {
	if d.pendingHandOff != nil {
		close(d.pendingHandOff.Reply)
	}
	d.pendingHandOff, d.handedOff = nil, false
}
