package planner

import (
	"github.com/burdockspindle/burdockspindle/state"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// repairStandbys names a new standby server for shards whose standby is
// missing or may get nothing new. The owner stays; but the shard gets a new
// fence, so nothing is changed for a standby that is merely farther than it
// could be.
func (d *decision) repairStandbys(b *board) {
	left := MaxUnderWay - d.in.Tracker.underWay(b.service.Name)
	d.in.View.EachShard(b.service.Name, func(a state.Assignment) bool {
		if left <= 0 {
			return false
		}
		if a.Fence.IsZero() || !b.usable(a.Owner) || d.in.Tracker.Moving(a.Shard) {
			return true
		}
		if a.Standby != a.Owner && b.usable(a.Standby) {
			return true
		}
		standby := b.chooseStandby(a.Owner)
		if standby == "" {
			return false // nobody else is there
		}
		next := &bspb.ShardMove{Shard: shardToProto(a.Shard), To: string(a.Owner), Standby: string(standby)}
		if d.move(a, next, ReasonStandby) {
			left--
		}
		return true
	})
}
