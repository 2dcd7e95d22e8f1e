package load

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// Report returns what the table observed as of now, encoded in at most limit
// bytes, the envelope's own fields left out of the count. Servers come first,
// then the hottest keys, then the shards of the highest busy time; what does
// not fit shows in the servers' totals only.
func (t *Table) Report(now time.Time, limit int) *bspb.ReportLoadRequest {
	request := &bspb.ReportLoadRequest{WindowSeconds: t.config.HalfLife.Seconds()}
	left := limit
	for _, entry := range t.serverLoads(now) {
		if !fits(&left, entry) {
			return request
		}
		request.Servers = append(request.Servers, entry)
	}
	keyLimit := left / keyShare
	for _, entry := range t.keyLoads(now) {
		if !fits(&keyLimit, entry) {
			break
		}
		fits(&left, entry)
		request.Keys = append(request.Keys, entry)
	}
	for _, entry := range t.shardLoads(now) {
		if !fits(&left, entry) {
			break
		}
		request.Shards = append(request.Shards, entry)
	}
	return request
}

// keyShare is the part of the room, one in keyShare, that hot keys may take.
const keyShare = 3

// entryOverhead is the most bytes by which a field's tag and length precede an
// entry.
const entryOverhead = 4

// fits takes an entry's size out of what is left, and reports whether it was
// there.
func fits(left *int, entry proto.Message) bool {
	size := proto.Size(entry) + entryOverhead
	if size > *left {
		return false
	}
	*left -= size
	return true
}

func (t *Table) serverLoads(now time.Time) []*bspb.ServerLoad {
	list := make([]*bspb.ServerLoad, 0, len(t.servers))
	for id, server := range t.servers {
		rate, busy := server.all.rates(now, t.life)
		failures, _ := server.failures.rates(now, t.life)
		shed, _ := server.shed.rates(now, t.life)
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

// keyLoads lists the hot keys of all services, highest rate first.
func (t *Table) keyLoads(now time.Time) []*bspb.KeyLoad {
	var list []*bspb.KeyLoad
	for _, sketch := range t.sketches {
		for _, entry := range sketch.Top(now, t.config.Keys) {
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

// shardLoads lists the shards, highest busy time first.
func (t *Table) shardLoads(now time.Time) []*bspb.ShardLoad {
	list := make([]*bspb.ShardLoad, 0, len(t.shards))
	for id, m := range t.shards {
		rate, busy := m.rates(now, t.life)
		list = append(list, &bspb.ShardLoad{Shard: refTo(id), PerSecond: rate, Busy: busy})
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

func refTo(id topo.ShardID) *bspb.ShardRef {
	return &bspb.ShardRef{Service: string(id.Service), Index: id.Index, Key: id.Key}
}

func idOf(ref *bspb.ShardRef) topo.ShardID {
	return topo.ShardID{
		Service: topo.Service(ref.GetService()), Index: ref.GetIndex(), Key: ref.GetKey(),
	}
}
