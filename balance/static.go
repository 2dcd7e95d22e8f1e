package balance

import (
	"github.com/cespare/xxhash/v2"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Static places every shard by rendezvous hashing over the live servers and
// ignores load. It is the baseline against which other policies are measured.
type Static struct{}

// Name implements Policy.
func (Static) Name() string { return "static" }

// Decide implements Policy.
func (Static) Decide(in *Input) []Move {
	in.Probed = 0
	hashes := serverHashes(in.Servers)
	var moves []Move
	remaining := in.Budget
	for i := range in.Shards {
		shard := &in.Shards[i]
		to := rendezvous(in.Servers, hashes, shard.ID)
		if shard.Moving || to == NoOwner || to == shard.Owner {
			continue
		}
		move := Move{Kind: MoveShard, Shard: shard.ID, To: in.Servers[to].ID, Cause: mustMove(in.Servers, shard.Owner)}
		if move.Cause == 0 {
			move.Cause = CausePlacement
		}
		if shard.Owner != NoOwner {
			move.From = in.Servers[shard.Owner].ID
		}
		if remaining.spend(move) {
			moves = append(moves, move)
		}
	}
	return moves
}

func serverHashes(servers []Server) []uint64 {
	hashes := make([]uint64, len(servers))
	for i := range servers {
		hashes[i] = xxhash.Sum64String(string(servers[i].ID))
	}
	return hashes
}

// rendezvous returns the live server with the highest weight for a shard, or
// NoOwner if no server is live. The result changes only when that server leaves
// or a server with a higher weight joins. A split key is placed with its hash
// range.
func rendezvous(servers []Server, hashes []uint64, id topo.ShardID) int {
	shardHash := mix(xxhash.Sum64String(string(id.Service)) + uint64(id.Index))
	best, bestWeight := NoOwner, uint64(0)
	for i := range servers {
		if servers[i].Phase != state.PhaseLive {
			continue
		}
		weight := mix(hashes[i] ^ shardHash)
		if best == NoOwner || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

// mix is the finalizer of SplitMix64, which makes every bit of the result depend
// on every input bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
