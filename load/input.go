package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/balance"
	"github.com/burdockspindle/burdockspindle/siteconfig"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// PlannedMoves describes the planner's own moves.
type PlannedMoves interface {
	// Changed returns the time of the last change of a shard's owner, or the zero
	// time if no recent change is known.
	Changed(id topo.ShardID) time.Time
	// Moving reports whether a move of the shard is in progress.
	Moving(id topo.ShardID) bool
}

// Sources holds the data from which the balancer's input for one service is built.
type Sources struct {
	View         *state.View
	Service      *siteconfig.Service
	Snapshot     Snapshot
	PlannedMoves PlannedMoves
	// CapacityFraction returns the fraction, 0 to 1, of a server's capacity that
	// may be used while the server is cold or warms up after an ejection. If it is
	// nil, the whole capacity may be used.
	CapacityFraction func(topo.ServerID) float64
	MoveCost         time.Duration
	Budget           balance.Budget
	Rand             *rand.Rand
}

// Input builds the balancer's input as of now. Loads are those that the entry
// nodes observed; reports of the servers themselves are not used. A server with a
// clearly higher mean service time than the median server is treated as a server
// of less capacity, and the loads of its shards are scaled to a server of median
// speed.
func (s *Sources) Input(now time.Time) *balance.Input {
	in := &balance.Input{
		Service:   s.Service.Name,
		Now:       now,
		Weighting: s.Service.Weighting,
		MoveCost:  s.MoveCost,
		Budget:    s.Budget,
		Rand:      s.Rand,
	}
	index := s.addServers(in)
	speeds := s.speeds(in.Servers)
	for i := range in.Servers {
		in.Servers[i].Capacity = s.capacity(in.Servers[i].ID, speeds[i])
	}
	ranges := s.addShards(in, index, speeds)
	s.addKeys(in, ranges)
	s.addBackground(in, speeds)
	return in
}

// addServers adds the service's servers in the order of their IDs and returns
// their indices.
func (s *Sources) addServers(in *balance.Input) map[topo.ServerID]int {
	for id, server := range s.View.Servers() {
		if server.Service != s.Service.Name {
			continue
		}
		phase := server.Phase
		if s.View.ServerLost(id) {
			phase = state.PhaseGone
		}
		in.Servers = append(in.Servers, balance.Server{ID: id, Zone: server.Zone, Phase: phase})
	}
	slices.SortFunc(in.Servers, func(a, b balance.Server) int { return cmp.Compare(a.ID, b.ID) })
	index := make(map[topo.ServerID]int, len(in.Servers))
	for i := range in.Servers {
		index[in.Servers[i].ID] = i
	}
	return index
}

func (s *Sources) capacity(id topo.ServerID, speed float64) float64 {
	capacity := float64(s.Service.ConcurrencyPerServer) * speed
	if s.CapacityFraction != nil {
		capacity *= s.CapacityFraction(id)
	}
	return capacity
}

const (
	// slowRatio is the ratio to the median busy time above which a server is slow.
	// Smaller differences are attributed to the keys of the server.
	slowRatio = 1.5
	// minSpeed is the lowest relative speed that a very slow server is given.
	minSpeed = 0.1
	// minServersForSpeed is the least number of servers for a meaningful median.
	minServersForSpeed = 3
)

// speeds returns each server's speed relative to the service's median server. It
// is 1 for a server that is not slow.
func (s *Sources) speeds(servers []balance.Server) []float64 {
	speeds := make([]float64, len(servers))
	busy := make([]float64, 0, len(servers))
	for i := range servers {
		speeds[i] = 1
		if mean := s.Snapshot.Servers[servers[i].ID].MeanBusy(); mean > 0 {
			busy = append(busy, mean)
		}
	}
	if len(busy) < minServersForSpeed {
		return speeds
	}
	slices.Sort(busy)
	median := busy[len(busy)/2]
	for i := range servers {
		if mean := s.Snapshot.Servers[servers[i].ID].MeanBusy(); mean > slowRatio*median {
			speeds[i] = max(median/mean, minSpeed)
		}
	}
	return speeds
}

// addShards adds the service's shards and returns the indices of its hash ranges.
// Split keys follow the hash ranges, in the order of their keys.
func (s *Sources) addShards(in *balance.Input, index map[topo.ServerID]int, speeds []float64) []int {
	in.Shards = make([]balance.Shard, 0, s.Service.Shards)
	ranges := make([]int, 0, s.Service.Shards)
	s.View.EachShard(s.Service.Name, func(a state.Assignment) bool {
		if a.Shard.Key == "" {
			ranges = append(ranges, len(in.Shards))
		}
		in.Shards = append(in.Shards, s.shard(a, index, speeds))
		return true
	})
	split := in.Shards[len(ranges):]
	slices.SortFunc(split, func(a, b balance.Shard) int { return cmp.Compare(a.ID.Key, b.ID.Key) })
	return ranges
}

func (s *Sources) shard(a state.Assignment, index map[topo.ServerID]int, speeds []float64) balance.Shard {
	observed := s.Snapshot.Shards[a.Shard]
	shard := balance.Shard{
		ID:      a.Shard,
		Owner:   balance.NoOwner,
		Rate:    observed.PerSecond,
		Load:    observed.Busy,
		Changed: s.PlannedMoves.Changed(a.Shard),
		Moving:  s.PlannedMoves.Moving(a.Shard),
	}
	owner, known := index[a.Owner]
	if known && !a.Fence.IsZero() {
		shard.Owner = owner
		offeredRatio := s.Snapshot.Servers[a.Owner].OfferedRatio()
		shard.Rate *= offeredRatio
		shard.Load *= offeredRatio * speeds[owner]
	}
	return shard
}

// addKeys adds the hot keys that are not split from their hash range. A key's load
// is the load of its hash range times the key's fraction of the range's requests.
func (s *Sources) addKeys(in *balance.Input, ranges []int) {
	for id, observed := range s.Snapshot.Keys {
		if int(id.Index) >= len(ranges) {
			continue
		}
		if assignment, exists := s.View.Lookup(id.Service, id.Key); !exists || assignment.Shard.Key != "" {
			continue
		}
		index := ranges[id.Index]
		shard := &in.Shards[index]
		rangeRate := s.Snapshot.Shards[shard.ID].PerSecond
		if rangeRate <= 0 {
			continue
		}
		fraction := min(observed.PerSecond/rangeRate, 1)
		in.HotKeys = append(in.HotKeys, balance.HotKey{
			Shard: index, Key: id.Key, Rate: fraction * shard.Rate, Load: fraction * shard.Load,
		})
	}
	slices.SortFunc(in.HotKeys, func(a, b balance.HotKey) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
}

// addBackground sets each server's background load, which is the part of its load
// that no reported shard accounts for. The average of a server still includes
// shards that moved away recently, so the background loads sum up to the load that
// is unreported over all servers together.
func (s *Sources) addBackground(in *balance.Input, speeds []float64) {
	unreported := s.unreported(in)
	if unreported == 0 {
		return
	}
	residual := make([]float64, len(in.Servers))
	for i := range in.Servers {
		residual[i] = s.Snapshot.Servers[in.Servers[i].ID].InFlight
	}
	for i := range in.Shards {
		if owner := in.Shards[i].Owner; owner != balance.NoOwner {
			residual[owner] -= s.Snapshot.Shards[in.Shards[i].ID].Busy
		}
	}
	sum := 0.0
	for i := range residual {
		residual[i] = max(residual[i], 0)
		sum += residual[i]
	}
	for i := range in.Servers {
		if sum > 0 {
			offeredRatio := s.Snapshot.Servers[in.Servers[i].ID].OfferedRatio()
			in.Servers[i].Background = unreported * residual[i] / sum * offeredRatio * speeds[i]
		}
	}
}

// unreported returns the part of the load of all servers that no reported shard
// accounts for, or 0 if it is within the error of the averages.
func (s *Sources) unreported(in *balance.Input) float64 {
	served, reported := 0.0, 0.0
	for i := range in.Servers {
		served += s.Snapshot.Servers[in.Servers[i].ID].InFlight
	}
	for i := range in.Shards {
		reported += s.Snapshot.Shards[in.Shards[i].ID].Busy
	}
	if unreported := served - reported; unreported > unreportedTolerance*served {
		return unreported
	}
	return 0
}

// unreportedTolerance is the fraction of the load by which the averages of servers
// and shards may differ.
const unreportedTolerance = 0.02
