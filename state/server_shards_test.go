package state

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// checkServerShards checks that the lists by server agree with the assignments.
func checkServerShards(t *rapid.T, view *View) {
	for _, service := range view.Tables() {
		owned, standby := map[topo.ServerID][]topo.ShardID{}, map[topo.ServerID][]topo.ShardID{}
		view.EachShard(service, func(a Assignment) bool {
			owned[a.Owner] = append(owned[a.Owner], a.Shard)
			standby[a.Standby] = append(standby[a.Standby], a.Shard)
			return true
		})
		for _, id := range modelServers[1:] {
			server := topo.ServerID(id)
			checkList(t, "owned by "+id, owned[server], view.OwnedBy(service, server))
			checkList(t, "standby of "+id, standby[server], view.StandbyOf(service, server))
		}
	}
}

func checkList(t *rapid.T, what string, want, got []topo.ShardID) {
	slices.SortFunc(want, compareShardIDs)
	if !slices.Equal(want, got) {
		t.Fatalf("%s: assignments %v, list %v", what, want, got)
	}
}

// One record may assign many shards to a server: the server's list then has all
// of them, and a View taken before keeps its own lists.
func TestOlderViewKeepsItsServerShards(t *testing.T) {
	const shards = 300
	l := newLog()
	l.add("op", publish(0, keyed("s0", shards, 0)))
	l.add("vms", update([]*bspb.ServerEntry{server("v0", "s0", "z/0", PhaseLive), server("v1", "s0", "z/0", PhaseLive)}))
	l.add("n0@b1", claimRecord(claim("z/0", topo.Term{}, "n0", "n1")))
	var all []*bspb.Assignment
	for i := range uint32(shards) {
		all = append(all, newAssignment(topo.ShardID{Service: "s0", Index: i}, topo.Fence{}, "v0", "v1"))
	}
	l.add("n0@b1", assign("z/0", topo.Term{}, all...))
	before := l.state.View()
	held := fmt.Sprint(before.OwnedBy("s0", "v0"))

	group, _ := before.Group("z/0")
	current, _ := before.Shard(topo.ShardID{Service: "s0", Index: 7})
	l.add("n0@b1", assign("z/0", group.Term, newAssignment(current.Shard, current.Fence, "v1", "v0")))

	if fmt.Sprint(before.OwnedBy("s0", "v0")) != held {
		t.Fatal("the older view's list changed")
	}
	after := l.state.View()
	if got := len(after.OwnedBy("s0", "v0")); got != shards-1 {
		t.Fatalf("v0 owns %d", got)
	}
	if got := after.OwnedBy("s0", "v1"); len(got) != 1 || got[0] != current.Shard {
		t.Fatalf("v1 owns %v", got)
	}
}
