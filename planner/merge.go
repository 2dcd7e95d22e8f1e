package planner

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Merge sums the load reports of several nodes into one report whose entries take
// at most limit bytes; the envelope's own fields are not counted. The busiest
// servers get up to half of the limit, the hottest keys up to a third of the
// remaining bytes and the busiest shards the rest.
func Merge(reports []*bspb.ReportLoadRequest, limit int) *bspb.ReportLoadRequest {
	m := &merger{
		servers: map[string]*bspb.ServerLoad{},
		keys:    map[topo.ShardID]*bspb.KeyLoad{},
		shards:  map[topo.ShardID]*bspb.ShardLoad{},
	}
	merged := &bspb.ReportLoadRequest{}
	for _, report := range reports {
		merged.WindowSeconds = max(merged.WindowSeconds, report.GetWindowSeconds())
		m.add(report)
	}
	remaining := limit
	merged.Servers = takeFitting(&remaining, serverDivisor, m.serverList())
	merged.Keys = takeFitting(&remaining, keyDivisor, m.keyList())
	merged.Shards = takeFitting(&remaining, 1, m.shardList())
	return merged
}

const (
	// serverDivisor and keyDivisor divide the remaining bytes: servers may take
	// 1/serverDivisor of them, and after that keys 1/keyDivisor.
	serverDivisor = 2
	keyDivisor    = 3
	// entryOverheadBytes is the maximum size of an entry's tag and length.
	entryOverheadBytes = 4
)

type merger struct {
	servers map[string]*bspb.ServerLoad
	keys    map[topo.ShardID]*bspb.KeyLoad
	shards  map[topo.ShardID]*bspb.ShardLoad
}

func (m *merger) add(report *bspb.ReportLoadRequest) {
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

// addServer adds what a node observed of a server. Mean latencies are weighted by
// the number of requests that they summarize.
func (m *merger) addServer(entry *bspb.ServerLoad) {
	sum, exists := m.servers[entry.GetServer()]
	if !exists {
		m.servers[entry.GetServer()] = proto.CloneOf(entry)
		return
	}
	rate := requestsPerMs(sum) + requestsPerMs(entry)
	sum.InFlight += entry.GetInFlight()
	sum.MeanLatencyMs = 0
	if rate > 0 {
		sum.MeanLatencyMs = sum.InFlight / rate
	}
	sum.ShedPerSecond += entry.GetShedPerSecond()
	sum.ErrorPerSecond += entry.GetErrorPerSecond()
}

// requestsPerMs returns a server's request rate, computed by Little's law.
func requestsPerMs(entry *bspb.ServerLoad) float64 {
	if entry.GetMeanLatencyMs() <= 0 {
		return 0
	}
	return entry.GetInFlight() / entry.GetMeanLatencyMs()
}

func (m *merger) addKey(entry *bspb.KeyLoad) {
	id := ShardFromProto(entry.GetShard())
	id.Key = entry.GetKey()
	if sum, exists := m.keys[id]; exists {
		sum.PerSecond += entry.GetPerSecond()
		sum.ErrorPerSecond += entry.GetErrorPerSecond()
		return
	}
	m.keys[id] = proto.CloneOf(entry)
}

func (m *merger) addShard(entry *bspb.ShardLoad) {
	id := ShardFromProto(entry.GetShard())
	if sum, exists := m.shards[id]; exists {
		sum.PerSecond += entry.GetPerSecond()
		sum.Busy += entry.GetBusy()
		return
	}
	m.shards[id] = proto.CloneOf(entry)
}

func (m *merger) serverList() []*bspb.ServerLoad {
	list := mapValues(m.servers)
	slices.SortFunc(list, func(a, b *bspb.ServerLoad) int {
		return cmp.Or(cmp.Compare(b.GetInFlight(), a.GetInFlight()), cmp.Compare(a.GetServer(), b.GetServer()))
	})
	return list
}

func (m *merger) keyList() []*bspb.KeyLoad {
	list := mapValues(m.keys)
	slices.SortFunc(list, func(a, b *bspb.KeyLoad) int {
		return cmp.Or(
			cmp.Compare(b.GetPerSecond()-b.GetErrorPerSecond(), a.GetPerSecond()-a.GetErrorPerSecond()),
			cmp.Compare(a.GetShard().GetService(), b.GetShard().GetService()),
			cmp.Compare(a.GetKey(), b.GetKey()),
		)
	})
	return list
}

func (m *merger) shardList() []*bspb.ShardLoad {
	list := mapValues(m.shards)
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

func mapValues[K comparable, V any](byKey map[K]V) []V {
	list := make([]V, 0, len(byKey))
	for _, value := range byKey {
		list = append(list, value)
	}
	return list
}

// takeFitting returns the longest prefix of the list that fits 1/divisor of the
// remaining bytes, and subtracts its size from them.
func takeFitting[M proto.Message](remaining *int, divisor int, list []M) []M {
	room := *remaining / divisor
	for i, entry := range list {
		size := proto.Size(entry) + entryOverheadBytes
		if size > room {
			return list[:i]
		}
		room -= size
		*remaining -= size
	}
	return list
}
