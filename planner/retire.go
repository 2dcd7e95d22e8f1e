package planner

import (
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// retire asks for the release of a retiring service's shards: their owners
// finish what is in flight and nobody gets them.
func (d *decision) retire(name topo.Service) {
	left := MaxUnderWay - d.in.Tracker.underWay(name)
	d.in.View.EachShard(name, func(a state.Assignment) bool {
		if a.Fence.IsZero() || d.in.Tracker.Moving(a.Shard) {
			return true
		}
		if left <= 0 {
			return false
		}
		if d.move(a, &bspb.ShardMove{Shard: shardToProto(a.Shard)}, ReasonRetire) {
			left--
		}
		return true
	})
}
