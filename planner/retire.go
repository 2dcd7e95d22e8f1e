package planner

import (
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// releaseService asks for the release of a retiring service's shards: their owners
// finish what is in flight and nobody gets them.
func (d *decision) releaseService(name topo.Service) {
	remaining := MaxInFlightMoves - d.in.Tracker.inFlight(name)
	d.in.View.EachShard(name, func(a state.Assignment) bool {
		if a.Fence.IsZero() || d.in.Tracker.Moving(a.Shard) {
			return true
		}
		if remaining <= 0 {
			return false
		}
		if d.addMove(a, &bspb.ShardMove{Shard: shardToProto(a.Shard)}, ReasonRetire) {
			remaining--
		}
		return true
	})
}
