package planner

import (
	"time"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/load"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// agreedMoveCost is how long a shard is unavailable during a handover to which
// its previous owner agrees.
const agreedMoveCost = 100 * time.Millisecond

// balance requests moves from the policy and adds them to the plan.
func (d *decision) balance(pool *serverPool) {
	service := pool.service.Name
	allowance := d.in.Tracker.allowance(pool.service, d.in.Now)
	budget := allowance.Budget(d.in.Now)
	budget.Evacuations = MaxInFlightMoves - d.in.Tracker.inFlight(service)
	budget.Probes = MaxProbes
	sources := load.Sources{
		View:         d.in.View,
		Service:      pool.service,
		Snapshot:     d.in.Snapshot(service),
		PlannedMoves: d.in.Tracker,
		MoveCost:     agreedMoveCost,
		Budget:       budget,
		Rand:         d.in.Rand,
	}
	for _, move := range d.in.Policy.Decide(sources.Input(d.in.Now)) {
		current, exists := coveringAssignment(d.in.View, move.Shard)
		if !exists || !pool.usable(move.To) {
			continue
		}
		if current.Fence.IsZero() {
			d.assign(pool, current.Shard, move.To)
			continue
		}
		if d.makeMove(pool, current, move) {
			allowance.Spend(move)
		}
	}
}

// coveringAssignment returns the assignment that covers a shard's keys now. For a
// key that is not split out, this is the assignment of its hash range.
func coveringAssignment(view *state.View, id topo.ShardID) (state.Assignment, bool) {
	if assignment, exists := view.Shard(id); exists {
		return assignment, true
	}
	return view.Shard(topo.ShardID{Service: id.Service, Index: id.Index})
}

// assign assigns a shard without an owner to a server.
func (d *decision) assign(pool *serverPool, shard topo.ShardID, to topo.ServerID) {
	if len(d.plan.Assign) >= MaxAssignments {
		return
	}
	pool.ownedCount[to]++
	d.plan.Assign = append(d.plan.Assign, &bspb.Assignment{
		Shard:   shardToProto(shard),
		Owner:   string(to),
		Standby: string(pool.chooseStandby(to)),
	})
}

// makeMove adds one move of an owned shard or key to the plan and reports
// whether it was added.
func (d *decision) makeMove(pool *serverPool, current state.Assignment, move balance.Move) bool {
	to := move.To
	if move.Cause == balance.CauseDraining {
		to = pool.evacuationTarget(current, to)
	}
	next := &bspb.ShardMove{Shard: shardToProto(move.Shard), To: string(to)}
	if move.Kind == balance.MergeKey {
		parent, exists := d.in.View.Shard(topo.ShardID{Service: move.Shard.Service, Index: move.Shard.Index})
		if !exists || parent.Fence.IsZero() {
			return false
		}
		// A merge requires that the same server owns the key and its hash range.
		// Otherwise the key moves to the range's owner first and is merged later.
		next.To = string(parent.Owner)
		next.Merge = parent.Owner == current.Owner && parent.OwnerBoot == current.OwnerBoot
		to = parent.Owner
	}
	if !next.Merge {
		next.Standby = string(pool.standbyAfterMove(current, to))
	}
	return d.addMove(current, next, move.Cause.String())
}

// evacuationTarget returns the new owner of a shard whose owner is draining. For
// services whose weighting is unavailability this is the standby, which was
// instructed to warm the shard, if it is usable; otherwise it is the policy's
// choice.
func (pool *serverPool) evacuationTarget(current state.Assignment, chosen topo.ServerID) topo.ServerID {
	if pool.service.Weighting == siteconfig.WeightUnavailability && pool.usable(current.Standby) {
		return current.Standby
	}
	return chosen
}
