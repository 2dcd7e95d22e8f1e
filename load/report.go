package load

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Report returns the averages as of now, encoded in at most limit bytes, without
// counting the envelope's own fields. Servers come first, then the hottest keys,
// then the shards with the highest busy times. Load of shards that do not fit is
// contained in the servers' totals only.
func (t *Table) Report(now time.Time, limit int) *bspb.ReportLoadRequest {
	request := &bspb.ReportLoadRequest{WindowSeconds: t.config.HalfLife.Seconds()}
	remaining := limit
	for _, entry := range t.serverLoads(now) {
		if !reserve(&remaining, entry) {
			return request
		}
		request.Servers = append(request.Servers, entry)
	}
	keyLimit := remaining / keySpaceDivisor
	for _, entry := range t.keyLoads(now) {
		if !reserve(&keyLimit, entry) {
			break
		}
		reserve(&remaining, entry)
		request.Keys = append(request.Keys, entry)
	}
	for _, entry := range t.shardLoads(now) {
		if !reserve(&remaining, entry) {
			break
		}
		request.Shards = append(request.Shards, entry)
	}
	return request
}

// keySpaceDivisor limits hot keys to 1/keySpaceDivisor of the remaining bytes.
const keySpaceDivisor = 3

// entryOverhead is the maximum size in bytes of the tag and the length that
// precede an encoded entry.
const entryOverhead = 4

// reserve subtracts an entry's encoded size from the remaining bytes. If the entry
// does not fit, it returns false and subtracts nothing.
func reserve(remaining *int, entry proto.Message) bool {
	size := proto.Size(entry) + entryOverhead
	if size > *remaining {
		return false
	}
	*remaining -= size
	return true
}

func (t *Table) serverLoads(now time.Time) []*bspb.ServerLoad {
	list := make([]*bspb.ServerLoad, 0, len(t.servers))
	for id, server := range t.servers {
		rate, busy := server.run.rates(now, t.meanLifetime)
		failures, _ := server.failures.rates(now, t.meanLifetime)
		shed, _ := server.shed.rates(now, t.meanLifetime)
		entry := &bspb.ServerLoad{
			Server: string(id), InFlight: busy, ShedPerSecond: shed, ErrorPerSecond: failures,
		}
		if rate > 0 {
			entry.MeanLatencyMs = busy / rate * millisecondsPerSecond
		}
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b *bspb.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

const millisecondsPerSecond = 1000

// keyLoads lists the hot keys of all services in descending order of their rates.
func (t *Table) keyLoads(now time.Time) []*bspb.KeyLoad {
	var list []*bspb.KeyLoad
	for _, sketch := range t.sketches {
		for _, entry := range sketch.Top(now, t.config.SketchCounters) {
			if entry.PerSecond-entry.ErrorPerSecond < negligibleRate {
				continue
			}
			list = append(list, &bspb.KeyLoad{
				Shard:          &bspb.ShardRef{Service: string(entry.ID.Service), Index: entry.ID.Index},
				Key:            entry.ID.Key,
				PerSecond:      entry.PerSecond,
				ErrorPerSecond: entry.ErrorPerSecond,
			})
		}
	}
	slices.SortFunc(list, func(a, b *bspb.KeyLoad) int {
		return cmp.Or(
			cmp.Compare(b.PerSecond-b.ErrorPerSecond, a.PerSecond-a.ErrorPerSecond),
			cmp.Compare(a.Shard.Service, b.Shard.Service),
			cmp.Compare(a.Key, b.Key),
		)
	})
	return list
}

// shardLoads lists the shards in descending order of their busy times.
func (t *Table) shardLoads(now time.Time) []*bspb.ShardLoad {
	list := make([]*bspb.ShardLoad, 0, len(t.shards))
	for id, m := range t.shards {
		rate, busy := m.rates(now, t.meanLifetime)
		list = append(list, &bspb.ShardLoad{Shard: shardRefOf(id), PerSecond: rate, Busy: busy})
	}
	slices.SortFunc(list, func(a, b *bspb.ShardLoad) int {
		return cmp.Or(
			cmp.Compare(b.Busy, a.Busy),
			cmp.Compare(a.Shard.Service, b.Shard.Service),
			cmp.Compare(a.Shard.Index, b.Shard.Index),
			cmp.Compare(a.Shard.Key, b.Shard.Key),
		)
	})
	return list
}

func shardRefOf(id topo.ShardID) *bspb.ShardRef {
	return &bspb.ShardRef{Service: string(id.Service), Index: id.Index, Key: id.Key}
}

func shardIDOf(ref *bspb.ShardRef) topo.ShardID {
	return topo.ShardID{
		Service: topo.Service(ref.GetService()), Index: ref.GetIndex(), Key: ref.GetKey(),
	}
}
