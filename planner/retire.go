package planner

import (
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// releaseService requests the release of a retiring service's shards. Their
// owners complete the requests in flight, and the shards get no new owner.
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
