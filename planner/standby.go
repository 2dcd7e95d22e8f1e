package planner

import (
	"github.com/burdockspindle/burdockspindle/state"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// replaceMissingStandbys chooses a new standby server for shards whose standby is
// missing or not usable. The owner does not change, but the shard gets a new
// fence. A usable standby is therefore kept even if a closer server exists.
func (d *decision) replaceMissingStandbys(pool *serverPool) {
	remaining := MaxInFlightMoves - d.in.Tracker.inFlight(pool.service.Name)
	d.in.View.EachShard(pool.service.Name, func(a state.Assignment) bool {
		if remaining <= 0 {
			return false
		}
		if a.Fence.IsZero() || !pool.usable(a.Owner) || d.in.Tracker.Moving(a.Shard) {
			return true
		}
		if a.Standby != a.Owner && pool.usable(a.Standby) {
			return true
		}
		standby := pool.chooseStandby(a.Owner)
		if standby == "" {
			return false // the owner is the only live server
		}
		next := &bspb.ShardMove{Shard: shardToProto(a.Shard), To: string(a.Owner), Standby: string(standby)}
		if d.addMove(a, next, ReasonStandby) {
			remaining--
		}
		return true
	})
}
