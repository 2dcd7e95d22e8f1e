package balance

import (
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// balancer computes one decision on a working copy of the input: owners and
// loads include the effect of the moves decided so far.
type balancer struct {
	in              *Input
	tuning          Tuning
	loads           []float64 // by server
	owners          []int     // by shard, after the moves decided
	shards          [][]int   // by server: indices of the shards that it owns
	keys            [][]int   // by server: indices of hot keys inside its hash ranges
	keySplit        []bool    // by hot key: split in this decision
	meanUtilization float64   // utilization of live servers if the load were even
	meanLoad        float64   // mean load of a live server with capacity
	splits          int       // split keys after the moves decided
	moves           []Move
	remaining       Budget // budget that the moves decided have not used
}

func newBalancer(in *Input, tuning Tuning) *balancer {
	b := &balancer{
		in:        in,
		tuning:    tuning,
		loads:     make([]float64, len(in.Servers)),
		owners:    make([]int, len(in.Shards)),
		keySplit:  make([]bool, len(in.HotKeys)),
		remaining: in.Budget,
	}
	for i := range in.Servers {
		b.loads[i] = in.Servers[i].Background
	}
	b.indexShards()
	b.indexKeys()
	b.computeMeans()
	return b
}

// indexShards lists the shards of each server in one backing array.
func (b *balancer) indexShards() {
	counts := make([]int, len(b.in.Servers))
	for i := range b.in.Shards {
		shard := &b.in.Shards[i]
		b.owners[i] = shard.Owner
		if shard.ID.Key != "" {
			b.splits++
		}
		if shard.Owner != NoOwner {
			b.loads[shard.Owner] += shard.Load
			counts[shard.Owner]++
		}
	}
	backing := make([]int, 0, len(b.in.Shards))
	b.shards = make([][]int, len(counts))
	for server, count := range counts {
		start := len(backing)
		backing = backing[:start+count]
		b.shards[server] = backing[start : start : start+count]
	}
	for i, owner := range b.owners {
		if owner != NoOwner {
			b.shards[owner] = append(b.shards[owner], i)
		}
	}
}

func (b *balancer) indexKeys() {
	b.keys = make([][]int, len(b.in.Servers))
	for i := range b.in.HotKeys {
		owner := b.owners[b.in.HotKeys[i].Shard]
		if owner != NoOwner {
			b.keys[owner] = append(b.keys[owner], i)
		}
	}
}

// computeMeans sets the mean utilization and the mean load that live servers
// would have if the whole load were spread evenly over them.
func (b *balancer) computeMeans() {
	load, capacity, usable := 0.0, 0.0, 0
	for i := range b.in.Servers {
		load += b.loads[i]
		if b.canReceive(i) {
			capacity += b.in.Servers[i].Capacity
			usable++
		}
	}
	for i := range b.in.Shards {
		if b.in.Shards[i].Owner == NoOwner {
			load += b.in.Shards[i].Load
		}
	}
	if capacity > 0 {
		b.meanUtilization = load / capacity
		b.meanLoad = load / float64(usable)
	}
}

// canReceive reports whether a server may be assigned a shard.
func (b *balancer) canReceive(server int) bool {
	s := &b.in.Servers[server]
	return s.Phase == state.PhaseLive && s.Capacity > 0
}

// live reports whether a server is live, with or without capacity.
func (b *balancer) live(server int) bool {
	return b.in.Servers[server].Phase == state.PhaseLive
}

// utilization returns a server's load divided by its capacity.
func (b *balancer) utilization(server int) float64 {
	return b.utilizationWith(server, 0)
}

// utilizationWith returns the utilization that a server would have with
// additional load. A server without capacity is treated as more than fully
// utilized, so that its shards are moved away.
func (b *balancer) utilizationWith(server int, load float64) float64 {
	capacity := b.in.Servers[server].Capacity
	if capacity <= 0 {
		return 1 + b.loads[server] + load
	}
	return (b.loads[server] + load) / capacity
}

// coldest returns the server, other than except, that would have the lowest
// utilization after receiving load. It returns NoOwner if no server can receive.
func (b *balancer) coldest(load float64, except int) int {
	best, bestUtilization := NoOwner, 0.0
	for i := range b.in.Servers {
		if i == except || !b.canReceive(i) {
			continue
		}
		utilization := b.utilizationWith(i, load)
		if best == NoOwner || utilization < bestUtilization {
			best, bestUtilization = i, utilization
		}
	}
	return best
}

// moveShard records the move of a whole shard.
func (b *balancer) moveShard(shard, to int, cause Cause) {
	s := &b.in.Shards[shard]
	from := b.owners[shard]
	b.owners[shard] = to
	b.loads[to] += s.Load
	if from != NoOwner {
		b.loads[from] -= s.Load
		b.shards[from] = remove(b.shards[from], shard)
		b.moveKeys(shard, from, to)
	}
	b.shards[to] = append(b.shards[to], shard)
	b.record(Move{Kind: MoveShard, Shard: s.ID, From: b.id(from), To: b.id(to), Cause: cause})
}

// moveKeys assigns the hot keys inside a shard to the shard's new owner.
func (b *balancer) moveKeys(shard, from, to int) {
	kept := b.keys[from][:0]
	for _, key := range b.keys[from] {
		if b.in.HotKeys[key].Shard == shard {
			b.keys[to] = append(b.keys[to], key)
			continue
		}
		kept = append(kept, key)
	}
	b.keys[from] = kept
}

// splitHotKey records that a hot key becomes a shard of its own at another
// server.
func (b *balancer) splitHotKey(key, to int) {
	hot := &b.in.HotKeys[key]
	from := b.owners[hot.Shard]
	b.loads[from] -= hot.Load
	b.loads[to] += hot.Load
	b.keySplit[key] = true
	b.splits++
	id := b.in.Shards[hot.Shard].ID
	id.Key = hot.Key
	b.record(Move{Kind: SplitKey, Shard: id, From: b.id(from), To: b.id(to), Cause: CauseLoad})
}

func (b *balancer) record(move Move) {
	b.moves = append(b.moves, move)
	b.remaining.spend(move)
}

// movesLeft reports whether the budget allows one more move between live
// servers, of any kind.
func (b *balancer) movesLeft() bool { return b.remaining.Ranges > 0 || b.remaining.Keys > 0 }

func (b *balancer) evacuationsLeft() bool { return b.remaining.Evacuations > 0 }

func (b *balancer) id(server int) topo.ServerID {
	if server == NoOwner {
		return ""
	}
	return b.in.Servers[server].ID
}

// movable reports whether a shard may move because of load: no move of it is in
// flight or decided, and its owner has not changed for the dwell time.
func (b *balancer) movable(shard int) bool {
	s := &b.in.Shards[shard]
	if s.Moving || b.owners[shard] != s.Owner {
		return false
	}
	return s.Changed.IsZero() || b.in.Now.Sub(s.Changed) >= b.tuning.Dwell
}

func remove(list []int, value int) []int {
	for i, v := range list {
		if v == value {
			list[i] = list[len(list)-1]
			return list[:len(list)-1]
		}
	}
	return list
}
