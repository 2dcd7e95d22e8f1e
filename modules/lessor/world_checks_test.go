package lessor

import (
	"context"
	"fmt"
	"slices"
	"time"

	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const checkEvery = 2 * time.Millisecond

// check repeatedly checks the ownership of all shards as the servers see it.
func (w *world) check(ctx context.Context) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.checkNow()
	}
}

func (w *world) checkNow() {
	owners, serving := map[topo.ShardID][]topo.ServerID{}, map[topo.ShardID][]topo.ServerID{}
	for _, s := range w.servers {
		for _, held := range s.owns() {
			owners[held.Shard] = append(owners[held.Shard], s.id)
			if !s.isDown() {
				serving[held.Shard] = append(serving[held.Shard], s.id)
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for i := range shardCount {
		id := topo.ShardID{Service: "wells", Index: uint32(i)}
		list := owners[id]
		if len(list) > 1 && len(w.dualOwners) < 5 {
			w.dualOwners = append(w.dualOwners, fmt.Sprintf("%v %v %v", time.Since(w.began), id, list))
		}
		w.recordOwners(id, serving[id], now)
	}
}

func (w *world) recordOwners(id topo.ShardID, owners []topo.ServerID, now time.Time) {
	since, unowned := w.unownedSince[id]
	if len(owners) == 0 {
		if !unowned {
			w.unownedSince[id] = now
			since = now
		}
		if _, everOwned := w.ownedBy[id]; everOwned {
			w.longestGap[id] = max(w.longestGap[id], now.Sub(since))
		}
		return
	}
	delete(w.unownedSince, id)
	w.ownedBy[id] = owners[0]
}

// reset clears the gaps measured so far.
func (w *world) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.longestGap)
	clear(w.unownedSince)
}

// gaps returns the longest time without an owner among the chosen shards.
func (w *world) gaps(chosen func(topo.ShardID) bool) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := time.Duration(0)
	for id, gap := range w.longestGap {
		if chosen == nil || chosen(id) {
			longest = max(longest, gap)
		}
	}
	return longest
}

// owners returns the server that owns each shard now.
func (w *world) owners() map[topo.ShardID]topo.ServerID {
	owners := map[topo.ShardID]topo.ServerID{}
	for _, s := range w.servers {
		for _, held := range s.owns() {
			owners[held.Shard] = s.id
		}
	}
	return owners
}

// shardsOn lists the shards that the given servers own now.
func (w *world) shardsOn(ids ...topo.ServerID) map[topo.ShardID]bool {
	shards := map[topo.ShardID]bool{}
	for shard, owner := range w.owners() {
		if slices.Contains(ids, owner) {
			shards[shard] = true
		}
	}
	return shards
}

// waitFor waits until a condition holds, and fails the test after limit.
func (w *world) waitFor(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	if !w.waitWithin(limit, holds) {
		w.t.Fatalf("not within %v: %s; owners %v\n%s", limit, what, w.owners(), w.dumps())
	}
	return time.Since(began)
}

// waitWithin waits until a condition holds, and reports whether it did so within limit.
func (w *world) waitWithin(limit time.Duration, holds func() bool) bool {
	began := time.Now()
	for !holds() {
		if time.Since(began) > limit {
			return false
		}
		time.Sleep(checkEvery)
	}
	return true
}

func (w *world) dumps() string {
	text := ""
	for _, id := range w.nodeIDs() {
		if n := w.nodes[id]; n.running {
			text += fmt.Sprintf("%s: %+v\n", id, n.module.Dump())
		}
	}
	return text
}

func (w *world) allServed() bool { return len(w.owners()) == shardCount }

// lessorOfA returns the node that is the lessor of zone a's group and may renew.
func (w *world) lessorOfA() *testNode {
	for _, id := range w.nodeIDs() {
		if n := w.nodes[id]; n.running && n.module.MayRenew("a/0") {
			return n
		}
	}
	return nil
}

// standby returns the node that is a group's standby lessor.
func (w *world) standby(group topo.GroupID) *testNode {
	for _, id := range w.nodeIDs() {
		n := w.nodes[id]
		if !n.running {
			continue
		}
		if worker, exists := n.module.worker(group); exists && worker.current.Load().role == core.RoleStandby {
			return n
		}
	}
	return nil
}

func (w *world) view() *state.View {
	for _, id := range w.nodeIDs() {
		if n := w.nodes[id]; n.running && !n.log.isDown() {
			return n.follower.View()
		}
	}
	return nil
}

// testOutput writes log lines to the test's log with the fake time.
type testOutput struct{ world *world }

func (o testOutput) Write(line []byte) (int, error) {
	o.world.t.Logf("%8.3fs %s", time.Since(o.world.began).Seconds(), line)
	return len(line), nil
}

// serving returns the server that owns each shard now and responds.
func (w *world) serving() map[topo.ShardID]topo.ServerID {
	serving := w.owners()
	for shard, id := range serving {
		if w.servers[id].isDown() {
			delete(serving, shard)
		}
	}
	return serving
}

// fences returns the fence under which each shard is owned.
func (w *world) fences() map[topo.ShardID]topo.Fence {
	fences := map[topo.ShardID]topo.Fence{}
	for _, s := range w.servers {
		for _, held := range s.owns() {
			fences[held.Shard] = held.Fence
		}
	}
	return fences
}

// zoneA is the zone in which the scenarios inject faults.
const zoneA topo.Zone = "a"

// shardsInA lists the shards that the servers of zone a own now.
func (w *world) shardsInA() map[topo.ShardID]bool {
	shards := map[topo.ShardID]bool{}
	for shard, owner := range w.owners() {
		if w.servers[owner].zone == zoneA {
			shards[shard] = true
		}
	}
	return shards
}

func (w *world) anyNode() *testNode {
	for _, id := range w.nodeIDs() {
		if w.nodes[id].running {
			return w.nodes[id]
		}
	}
	return nil
}

// logDown sets whether the log is unavailable to all nodes.
func (w *world) logDown(down bool) {
	for _, n := range w.nodes {
		n.log.setDown(down)
	}
}

// cutA sets whether zone a's nodes are cut off from the log and from the nodes and
// servers of other zones, and its servers from the nodes of other zones.
func (w *world) cutA(cut bool) {
	if cut {
		w.network.CutZone(zoneA)
	} else {
		w.network.Heal()
	}
	for _, n := range w.nodes {
		if n.zone == zoneA {
			n.log.setDown(cut)
		}
		for _, s := range w.servers {
			if (s.zone == zoneA) != (n.zone == zoneA) {
				n.cutServers(cut, s.id)
			}
		}
	}
}

func (w *world) listServer(id topo.ServerID, phase bspb.ServerPhase) {
	s := w.servers[id]
	w.anyNode().submit(&bspb.Record{Body: &bspb.Record_UpdateServers{UpdateServers: &bspb.UpdateServers{
		Upsert: []*bspb.ServerEntry{{
			Id: string(id), Service: "wells", Zone: string(s.zone), Address: string(id) + ":1",
			Group: string(s.zone) + "/0", Phase: phase,
		}},
	}}})
}
