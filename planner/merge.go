package planner

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Merge sums the load reports of several nodes into one of at most limit bytes,
// the envelope's own fields left out of the count: servers first, then the
// hottest keys in a third of the room, then the busiest shards.
func Merge(reports []*bspb.ReportLoadRequest, limit int) *bspb.ReportLoadRequest {
	m := &merge{
		servers: map[string]*bspb.ServerLoad{},
		keys:    map[topo.ShardID]*bspb.KeyLoad{},
		shards:  map[topo.ShardID]*bspb.ShardLoad{},
	}
	merged := &bspb.ReportLoadRequest{}
	for _, report := range reports {
		merged.WindowSeconds = max(merged.WindowSeconds, report.GetWindowSeconds())
		m.add(report)
	}
	left := limit
	merged.Servers = take(&left, m.serverList())
	keyRoom := left / keyShare
	used := keyRoom
	merged.Keys = take(&keyRoom, m.keyList())
	left -= used - keyRoom
	merged.Shards = take(&left, m.shardList())
	return merged
}

const (
	// keyShare is the part of the room, one in keyShare, that keys may take.
	keyShare = 3
	// entryOverhead is the most bytes of an entry's tag and length.
	entryOverhead = 4
)

type merge struct {
	servers map[string]*bspb.ServerLoad
	keys    map[topo.ShardID]*bspb.KeyLoad
	shards  map[topo.ShardID]*bspb.ShardLoad
}

func (m *merge) add(report *bspb.ReportLoadRequest) {
	for _, entry := range report.GetServers() {
		m.addServer(entry)
	}
	for _, entry := range report.GetKeys() {
		m.addKey(entry)
	}
	for _, entry := range report.GetShards() {
		m.addShard(entry)
	}
}

// addServer adds a node's view of a server; mean latencies are weighted by the
// requests that they are means of.
func (m *merge) addServer(entry *bspb.ServerLoad) {
	sum, exists := m.servers[entry.GetServer()]
	if !exists {
		m.servers[entry.GetServer()] = proto.CloneOf(entry)
		return
	}
	rate := served(sum) + served(entry)
	sum.InFlight += entry.GetInFlight()
	sum.MeanLatencyMs = 0
	if rate > 0 {
		sum.MeanLatencyMs = sum.InFlight / rate
	}
	sum.ShedPerSecond += entry.GetShedPerSecond()
	sum.ErrorPerSecond += entry.GetErrorPerSecond()
}

// served returns a server's requests per millisecond, by Little's law.
func served(entry *bspb.ServerLoad) float64 {
	if entry.GetMeanLatencyMs() <= 0 {
		return 0
	}
	return entry.GetInFlight() / entry.GetMeanLatencyMs()
}

func (m *merge) addKey(entry *bspb.KeyLoad) {
	id := ShardFromProto(entry.GetShard())
	id.Key = entry.GetKey()
	if sum, exists := m.keys[id]; exists {
		sum.PerSecond += entry.GetPerSecond()
		sum.ErrorPerSecond += entry.GetErrorPerSecond()
		return
	}
	m.keys[id] = proto.CloneOf(entry)
}

func (m *merge) addShard(entry *bspb.ShardLoad) {
	id := ShardFromProto(entry.GetShard())
	if sum, exists := m.shards[id]; exists {
		sum.PerSecond += entry.GetPerSecond()
		sum.Busy += entry.GetBusy()
		return
	}
	m.shards[id] = proto.CloneOf(entry)
}

func (m *merge) serverList() []*bspb.ServerLoad {
	list := values(m.servers)
	slices.SortFunc(list, func(a, b *bspb.ServerLoad) int {
		return cmp.Or(cmp.Compare(b.GetInFlight(), a.GetInFlight()), cmp.Compare(a.GetServer(), b.GetServer()))
	})
	return list
}

func (m *merge) keyList() []*bspb.KeyLoad {
	list := values(m.keys)
	slices.SortFunc(list, func(a, b *bspb.KeyLoad) int {
		return cmp.Or(
			cmp.Compare(b.GetPerSecond()-b.GetErrorPerSecond(), a.GetPerSecond()-a.GetErrorPerSecond()),
			cmp.Compare(a.GetShard().GetService(), b.GetShard().GetService()),
			cmp.Compare(a.GetKey(), b.GetKey()),
		)
	})
	return list
}

func (m *merge) shardList() []*bspb.ShardLoad {
	list := values(m.shards)
	slices.SortFunc(list, func(a, b *bspb.ShardLoad) int {
		return cmp.Or(
			cmp.Compare(b.GetBusy(), a.GetBusy()),
			cmp.Compare(a.GetShard().GetService(), b.GetShard().GetService()),
			cmp.Compare(a.GetShard().GetIndex(), b.GetShard().GetIndex()),
			cmp.Compare(a.GetShard().GetKey(), b.GetShard().GetKey()),
		)
	})
	return list
}

func values[K comparable, V any](byKey map[K]V) []V {
	list := make([]V, 0, len(byKey))
	for _, value := range byKey {
		list = append(list, value)
	}
	return list
}

// take returns the entries, from the first on, that fit what is left.
func take[M proto.Message](left *int, list []M) []M {
	for i, entry := range list {
		size := proto.Size(entry) + entryOverhead
		if size > *left {
			return list[:i]
		}
		*left -= size
	}
	return list
}
