package duty

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// When a lessor gives its lease up, and for how long it does not claim then.
const (
	// unresponsiveTimeout is for how long most owners must be silent, while the lessor
	// has held the lease, before it gives the lease to a node that may reach them.
	unresponsiveTimeout = 2 * time.Second
	// resignedClaimPause is how long a node that resigned so does not claim.
	resignedClaimPause = 6 * time.Second
	// minLeaseBeforeYield is how long a lessor has had the lease before it gives it to a node
	// that is yieldFactor times as strong. A weak node claims when the strong ones are
	// not there: at the start, at which few nodes read the store, or after they were
	// lost. On one of 0.16 cores the renewals of 308 owners come late.
	minLeaseBeforeYield = 3 * time.Second
	yieldFactor         = 2
	// minYieldInterval is how long a lessor that has claimed again keeps the lease: the
	// stronger node cannot take it.
	minYieldInterval = 30 * time.Second
)

// Resign gives the lease up, if the node has it, and ends the node's claims. It
// returns when the store has taken that, or ctx ends. While the store does not
// answer the duty goes on: nobody else could take it over.
func (d *Duty) Resign(ctx context.Context) {
	done := make(chan struct{})
	select {
	case d.resign <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// mustResign reports whether most owners have been silent to this node for so
// long that another node had better be lessor.
func (d *Duty) mustResign(now time.Time) bool {
	unresponsive, owners := d.allocator.Silent(d.State.Now().Servers.Servers)
	return owners > 2 && 2*unresponsive > owners && now.Sub(d.lessorSince) > unresponsiveTimeout && len(d.State.Now().Members) > 1
}

// considerYielding decides whether the lease goes to a stronger node.
func (d *Duty) considerYielding(now time.Time) {
	if d.yielding || d.resigning != nil || now.Sub(d.lessorSince) < minLeaseBeforeYield || !d.yieldedAt.IsZero() && now.Sub(d.yieldedAt) < minYieldInterval {
		return
	}
	for _, m := range d.State.Now().Members {
		if m.Strength > 0 && m.Strength >= yieldFactor*d.Member.Strength && m.Node != d.Self.Node {
			d.yielding = true
			d.yieldedAt = now
			d.noClaimBefore = now.Add(resignedClaimPause)
			eventYielding.Log(d.Logger, "strength", d.Member.Strength, "stronger", m.Node, "itsStrength", m.Strength)
			return
		}
	}
}

// appendResignation appends the record that gives the lease up. Nothing is granted any more.
func (d *Duty) appendResignation(ctx context.Context) {
	if d.appending != nil {
		return
	}
	d.resignationSent = true
	eventResigning.Log(d.Logger, "offset", d.topicEnd)
	now := clock.Now()
	d.append(ctx, &pendingAppend{resigns: true, outstandingHold: d.allocator.Held(now), uncertainHold: d.allocator.Doubt(now)})
}
