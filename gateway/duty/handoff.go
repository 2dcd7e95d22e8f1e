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

// Former asks the lessor before a claim what it granted.
type Former interface {
	AskFormer(ctx context.Context, former ranges.Lessor, claim store.Offset) (follow.FormerGrants, error)
}

// previousReport is what the lessor before this one's claim granted.
type previousReport struct {
	claim      store.Offset
	grants     follow.FormerGrants
	receivedAt time.Time // when it came
}

// queryRetryDelay is the pause after a former lessor did not answer: a node whose process was killed
// starts again within a second or two, and then knows that it has ended.
const queryRetryDelay = 500 * time.Millisecond

// queryPreviousLessor asks the lessor before this one's claim, unless that has resigned and told.
func (d *Duty) queryPreviousLessor(ctx context.Context, p *pendingAppend) {
	if p.previousLessor.Boot == "" || p.previousLessor.Node == d.Self.Node || d.Former == nil {
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

// awaitPreviousGrants asks the former lessor until it answers, for as long as its grants may be in
// force.
func (d *Duty) awaitPreviousGrants(ctx context.Context, p *pendingAppend) (grants follow.FormerGrants, isKnown bool) {
	end := clock.Now().Add(p.previousHold)
	for tries := 0; ; tries++ {
		grants, err := d.Former.AskFormer(ctx, p.previousLessor, p.offset)
		if err == nil {
			return grants, true
		}
		if tries == 0 {
			eventPreviousUnresponsive.Log(d.Logger, "former", p.previousLessor.Node, "offset", p.offset, "cause", err)
		}
		var unknown *follow.NotFormerLessorError
		if errors.As(err, &unknown) || clock.Now().After(end) || !clock.Wait(ctx, queryRetryDelay) {
			return follow.FormerGrants{}, false
		}
	}
}

// handlePreviousGrants takes what the former lessor granted.
func (d *Duty) handlePreviousGrants(r previousReport) {
	if d.allocator == nil || d.leaseOffset != r.claim {
		return
	}
	if r.grants.HasEnded {
		d.allocator.FormerEnded(r.receivedAt.Add(-r.grants.EndedFor), d.earlierHoldEnd)
	} else {
		d.allocator.LimitFormer(r.grants.Ranges, r.receivedAt)
	}
	eventPreviousReported.Log(d.Logger, "offset", r.claim, "ranges", len(r.grants.Ranges), "hasEnded", r.grants.HasEnded, "endedFor", r.grants.EndedFor, "held", d.allocator.Held(r.receivedAt))
}

// beginHandOff takes the request of a node that has claimed the lease. The claim stands in the
// store, so nothing that this node appends succeeds any more, and its grants are refused
// wherever the next lessor's were.
func (d *Duty) beginHandOff(request *follow.HandOff) {
	if request.Former.Node == d.Self.Node && request.Former.Boot != d.Self.Boot {
		request.Reply <- follow.FormerGrants{HasEnded: true, EndedFor: clock.Since(d.StartedAt)}
		return
	}
	if request.Former.Boot != d.Self.Boot || d.allocator == nil || request.Claim < d.topicEnd {
		close(request.Reply)
		return
	}
	eventHandingOff.Log(d.Logger, "claim", request.Claim, "confirmedAgo", clock.Since(d.confirmedAt))
	d.endHandOff() // an earlier request
	d.pendingHandOff = request
	d.setLessor(false)
}

// finishHandOff tells the next lessor what was granted, once no call is under way, and ends
// the duty when the fate of this node's own append is known.
func (d *Duty) finishHandOff(now time.Time) {
	if d.pendingHandOff != nil && !d.allocator.Calling() {
		d.pendingHandOff.Reply <- follow.FormerGrants{Ranges: d.allocator.Remaining(now)}
		d.pendingHandOff = nil
		d.handedOff = true
	}
	if d.handedOff && d.appending == nil {
		d.endLease()
	}
}

// endHandOff ends a hand-off, without a reply if there was none yet.
func (d *Duty) endHandOff() {
	if d.pendingHandOff != nil {
		close(d.pendingHandOff.Reply)
	}
	d.pendingHandOff, d.handedOff = nil, false
}
