package duty

import (
	"context"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
)

// Conditions under which a lessor releases its lease, and how long it does not claim
// afterwards.
const (
	// minLeaseBeforeResign is how long a lessor has held the lease before it resigns
	// because most owners are unresponsive to it, so that a node that may reach them takes
	// over.
	minLeaseBeforeResign = 2 * time.Second
	// resignedClaimPause is how long a node does not claim after it resigned for
	// unresponsive owners or yielded.
	resignedClaimPause = 6 * time.Second
	// partitionedClaimDelay is the additional delay of a claim by a node that can connect to no
	// keyed server: it could grant nothing. A node that reaches servers claims well before.
	partitionedClaimDelay = 3 * time.Second
	// minLeaseBeforeYield is how long a lessor has held the lease before it yields to a
	// node with at least yieldFactor times its capacity. A node with little capacity claims
	// when the others are absent: at startup, when few nodes read the store, or after their
	// loss. On a node with 0.16 cores the renewals of 308 owners are late.
	minLeaseBeforeYield = 3 * time.Second
	yieldFactor         = 2
	// minYieldInterval is how long a lessor that had to claim again after yielding keeps
	// the lease, because the node with more capacity cannot take it.
	minYieldInterval = 30 * time.Second
)

// Resign releases the lease if the node holds it, and ends the node's claims. It returns
// when the store has accepted the record or ctx ends. While the store does not respond the
// duty continues, because no other node could take over.
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

// CanGrantNothing reports whether this node can connect to no server of any keyed service.
func (d *Duty) CanGrantNothing() bool {
	v := d.State.Now()
	if d.IsPartitioned == nil || v.Config == nil {
		return false
	}
	keyed := 0
	for name, service := range v.Config.Services {
		if !service.Keyed || len(v.ServersOf(name)) == 0 {
			continue
		}
		keyed++
		if !d.IsPartitioned(name) {
			return false
		}
	}
	return keyed > 0
}

// NeedsLessor reports whether there is no lessor to this node's knowledge and it could grant nothing
// as one, so that its followers should claim the lease.
func (d *Duty) NeedsLessor() bool {
	if !d.CanGrantNothing() {
		return false
	}
	now := clock.Now()
	ownership := d.Reader.Ownership()
	if isFresh(ownership, now) {
		return isLeaseVacant(ownership, d.Self, now)
	}
	return d.Reader.IsLessorNeeded()
}

// mustResign reports whether another node should be the lessor: this one can connect to no
// keyed server, or most owners are unresponsive to it and it has held the lease for more than
// minLeaseBeforeResign.
func (d *Duty) mustResign(now time.Time) bool {
	if len(d.State.Now().Members) > 1 && d.CanGrantNothing() {
		return true
	}
	unresponsive, owners := d.allocator.Unresponsive(d.State.Now().Registered())
	return owners > 2 && 2*unresponsive > owners && now.Sub(d.lessorSince) > minLeaseBeforeResign && len(d.State.Now().Members) > 1
}

// considerYielding decides whether to yield the lease to a node with more capacity.
func (d *Duty) considerYielding(now time.Time) {
	if d.yielding || d.resigning != nil || now.Sub(d.lessorSince) < minLeaseBeforeYield || !d.yieldedAt.IsZero() && now.Sub(d.yieldedAt) < minYieldInterval {
		return
	}
	for _, m := range d.State.Now().Members {
		if m.Capacity > 0 && m.Capacity >= yieldFactor*d.Member.Capacity && m.Node != d.Self.Node {
			d.yielding = true
			d.yieldedAt = now
			d.noClaimBefore = now.Add(resignedClaimPause)
			eventYielding.Log(d.Logger, "strength", d.Member.Capacity, "stronger", m.Node, "itsStrength", m.Capacity)
			return
		}
	}
}

// appendResignation appends the record that releases the lease. Nothing is granted after
// that.
func (d *Duty) appendResignation(ctx context.Context) {
	if d.appending != nil {
		return
	}
	d.resignationSent = true
	eventResigning.Log(d.Logger, "offset", d.topicEnd)
	now := clock.Now()
	d.append(ctx, &pendingAppend{resigns: true, outstandingHold: d.allocator.HeldFor(now), uncertainHold: d.allocator.UncertainFor(now)})
}
