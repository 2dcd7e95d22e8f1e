package duty

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/gateway/follow"
	"github.com/burdockspindle/burdockspindle/gateway/ranges"
	"github.com/burdockspindle/burdockspindle/gateway/view"
)

// considerClaim claims the lease if there is no lessor and the delay of the claim has
// passed.
func (d *Duty) considerClaim(ctx context.Context, now time.Time) {
	if d.resigning != nil {
		close(d.resigning)
		d.resigning = nil
	}
	ownership := d.Reader.Ownership()
	if d.claimIsDue(ownership, now) {
		d.claim(ctx, ownership)
	}
}

// claimIsDue reports whether there is no lessor and the delay of the claim has passed.
func (d *Duty) claimIsDue(ownership follow.Ownership, now time.Time) bool {
	if d.shuttingDown || d.appending != nil || !isFresh(ownership, now) || now.Before(d.noClaimBefore) || !d.State.Now().IsComplete() {
		d.claimAt = time.Time{}
		return false
	}
	if !isLeaseVacant(ownership, d.Self, now) {
		d.claimAt = time.Time{}
		return false
	}
	if d.awaitsHolds(ownership, now) {
		d.claimAt = time.Time{}
		return false
	}
	if d.claimAt.IsZero() && isEarlierIncarnation(ownership, d.Self) {
		d.claimAt = now // other nodes have not detected the restart yet
	}
	if d.claimAt.IsZero() {
		d.claimAt = now.Add(claimDelay(d.Member, d.State.Now()))
	}
	claimAt := d.claimAt
	if d.CanGrantNothing() {
		claimAt = claimAt.Add(partitionedClaimDelay)
	}
	return !now.Before(claimAt)
}

// isLeaseVacant reports whether there is no lessor to this node's knowledge: there has been
// none, the lessor has resigned or does not confirm its lease, or it was an earlier
// incarnation of this node. In the last case the node need not wait suspectTimeout (1.2 s).
// This matters after the loss of all nodes: no node writes records, and holds expire
// meanwhile. A claim is safe in any case, because owners respond to the new lessor before
// they refuse the previous one.
func isLeaseVacant(ownership follow.Ownership, self ranges.Lessor, now time.Time) bool {
	table := ownership.Table.Table
	if table == nil || ownership.Resigned {
		return true
	}
	return isEarlierIncarnation(ownership, self) || now.Sub(ownership.EndObservedAt) > suspectTimeout
}

// isEarlierIncarnation reports whether the lessor is an earlier incarnation of the node of
// self.
func isEarlierIncarnation(ownership follow.Ownership, self ranges.Lessor) bool {
	table := ownership.Table.Table
	return table != nil && table.Lessor.Node == self.Node && table.Lessor.Boot != self.Boot
}

// claimDelay returns how long a node waits before a claim. At startup no node knows the
// other members, so the delay depends on the node's own capacity.
func claimDelay(self view.Member, v *view.View) time.Duration {
	jitter := time.Duration(rand.Int64N(int64(claimJitter)))
	if rank, known := follow.Rank(self, v); known {
		return min(time.Duration(rank)*claimRankDelay+jitter, maxClaimDelay)
	}
	missingCapacity := 1 - min(self.Capacity, 1)
	jitter = time.Duration((0.5 + 5*missingCapacity) * float64(jitter))
	return min(time.Duration(missingCapacity*float64(maxClaimDelay)/2)+jitter, maxClaimDelay)
}

func (d *Duty) claim(ctx context.Context, ownership follow.Ownership) {
	d.claimAt = time.Time{}
	d.topicEnd = ownership.End
	table := ownership.Table.Table
	if table == nil {
		table = &ranges.Table{}
	}
	next := table.Refenced(d.Self, ranges.Fence(d.topicEnd))
	eventClaiming.Log(d.Logger, "offset", d.topicEnd, "formerLessor", table.Lessor.Node, "resigned", ownership.Resigned, "quietFor", clock.Since(ownership.EndObservedAt))
	previousHold := d.Timing.PreviousHoldAfterIdle(clock.Since(ownership.EndObservedAt))
	p := &pendingAppend{claim: next, previousHold: previousHold, uncertainHold: previousHold, previousLessor: table.Lessor, earlierHold: d.Timing.PreviousHold()}
	if ownership.KnowsPrevious {
		p.earlierHold = ownership.PreviousHeld
	}
	if isEarlierIncarnation(ownership, d.Self) {
		endedHold := max(d.Timing.HoldAfterExit()-clock.Since(d.StartedAt), p.earlierHold)
		p.previousHold, p.uncertainHold = min(p.previousHold, endedHold), min(p.uncertainHold, endedHold)
	}
	if ownership.Resigned {
		p.previousHold, p.uncertainHold = ownership.Held, ownership.Uncertain
		p.previousLessor = ranges.Lessor{}
	}
	d.append(ctx, p)
}
