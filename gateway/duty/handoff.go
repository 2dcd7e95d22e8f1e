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

// formerReport is what the lessor before this one's claim granted.
type formerReport struct {
	claim  store.Offset
	grants follow.FormerGrants
	at     time.Time // when it came
}

// askAgain is the pause after a former lessor did not answer: a node whose process was killed
// starts again within a second or two, and then knows that it has ended.
const askAgain = 500 * time.Millisecond

// askFormer asks the lessor before this one's claim, unless that has resigned and told.
func (d *Duty) askFormer(ctx context.Context, p *pendingAppend) {
	if p.after.Boot == "" || p.after.Node == d.Self.Node || d.Former == nil {
		return
	}
	go func() {
		grants, isKnown := d.awaitFormer(ctx, p)
		if !isKnown {
			return
		}
		select {
		case d.reported <- formerReport{claim: p.at, grants: grants, at: clock.Now()}:
		case <-ctx.Done():
		}
	}()
}

// awaitFormer asks the former lessor until it answers, for as long as its grants may be in
// force.
func (d *Duty) awaitFormer(ctx context.Context, p *pendingAppend) (grants follow.FormerGrants, isKnown bool) {
	end := clock.Now().Add(p.former)
	for tries := 0; ; tries++ {
		grants, err := d.Former.AskFormer(ctx, p.after, p.at)
		if err == nil {
			return grants, true
		}
		if tries == 0 {
			eventFormerSilent.Log(d.Logger, "former", p.after.Node, "offset", p.at, "cause", err)
		}
		var unknown *follow.NotFormerLessorError
		if errors.As(err, &unknown) || clock.Now().After(end) || !clock.Wait(ctx, askAgain) {
			return follow.FormerGrants{}, false
		}
	}
}

// takeFormer takes what the former lessor granted.
func (d *Duty) takeFormer(r formerReport) {
	if d.allocator == nil || d.leaseOffset != r.claim {
		return
	}
	if r.grants.HasEnded {
		d.allocator.FormerEnded(r.at.Add(-r.grants.EndedFor), d.beforeUntil)
	} else {
		d.allocator.LimitFormer(r.grants.Ranges, r.at)
	}
	eventFormerTold.Log(d.Logger, "offset", r.claim, "ranges", len(r.grants.Ranges), "hasEnded", r.grants.HasEnded, "endedFor", r.grants.EndedFor, "held", d.allocator.Held(r.at))
}

// handOff takes the request of a node that has claimed the lease. The claim stands in the
// store, so nothing that this node appends succeeds any more, and its grants are refused
// wherever the next lessor's were.
func (d *Duty) handOff(asked *follow.HandOff) {
	if asked.Former.Node == d.Self.Node && asked.Former.Boot != d.Self.Boot {
		asked.Reply <- follow.FormerGrants{HasEnded: true, EndedFor: clock.Since(d.StartedAt)}
		return
	}
	if asked.Former.Boot != d.Self.Boot || d.allocator == nil || asked.Claim < d.end {
		close(asked.Reply)
		return
	}
	eventHandingOff.Log(d.Logger, "claim", asked.Claim, "confirmedAgo", clock.Since(d.confirmedAt))
	d.endHandOff() // an earlier request
	d.handingOff = asked
	d.setLessor(false)
}

// finishHandOff tells the next lessor what was granted, once no call is under way, and ends
// the duty when the fate of this node's own append is known.
func (d *Duty) finishHandOff(now time.Time) {
	if d.handingOff != nil && !d.allocator.Calling() {
		d.handingOff.Reply <- follow.FormerGrants{Ranges: d.allocator.Remaining(now)}
		d.handingOff = nil
		d.handedOff = true
	}
	if d.handedOff && d.appending == nil {
		d.stop()
	}
}

// endHandOff ends a hand-off, without a reply if there was none yet.
func (d *Duty) endHandOff() {
	if d.handingOff != nil {
		close(d.handingOff.Reply)
	}
	d.handingOff, d.handedOff = nil, false
}
