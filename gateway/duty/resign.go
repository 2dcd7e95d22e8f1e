package duty

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// When a lessor gives its lease up, and for how long it does not claim then.
const (
	// resignAfter is for how long most owners must be silent, while the lessor
	// has held the lease, before it gives the lease to a node that may reach them.
	resignAfter = 2 * time.Second
	// claimBreak is how long a node that resigned so does not claim.
	claimBreak = 6 * time.Second
	// yieldAfter is how long a lessor has had the lease before it gives it to a node
	// that is yieldFactor times as strong. A weak node claims when the strong ones are
	// not there: at the start, at which few nodes read the store, or after they were
	// lost. On one of 0.16 cores the renewals of 308 owners come late.
	yieldAfter  = 3 * time.Second
	yieldFactor = 2
	// yieldRest is how long a lessor that has claimed again keeps the lease: the
	// stronger node cannot take it.
	yieldRest = 30 * time.Second
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
	silent, owners := d.allocator.Silent(d.State.Now().Servers.Servers)
	return owners > 2 && 2*silent > owners && now.Sub(d.lessorSince) > resignAfter && len(d.State.Now().Members) > 1
}

// considerYielding decides whether the lease goes to a stronger node.
func (d *Duty) considerYielding(now time.Time) {
	if d.yielding || d.resigning != nil || now.Sub(d.lessorSince) < yieldAfter || !d.yieldedAt.IsZero() && now.Sub(d.yieldedAt) < yieldRest {
		return
	}
	for _, m := range d.State.Now().Members {
		if m.Strength > 0 && m.Strength >= yieldFactor*d.Member.Strength && m.Node != d.Self.Node {
			d.yielding = true
			d.yieldedAt = now
			d.noClaim = now.Add(claimBreak)
			eventYielding.Log(d.Logger, "strength", d.Member.Strength, "stronger", m.Node, "itsStrength", m.Strength)
			return
		}
	}
}

// giveUp appends the record that gives the lease up. Nothing is granted any more.
func (d *Duty) giveUp(ctx context.Context) {
	if d.appending != nil {
		return
	}
	d.givenUp = true
	eventResigning.Log(d.Logger, "offset", d.end)
	now := clock.Now()
	d.append(ctx, &pendingAppend{resigns: true, held: d.allocator.Held(now), doubt: d.allocator.Doubt(now)})
}
