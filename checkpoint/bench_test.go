package checkpoint_test

import (
	"fmt"
	"testing"

	"github.com/burdockspindle/burdockspindle/checkpoint"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// ownedShards returns a snapshot of owned shards on 1,000 servers.
func ownedShards(count int) *bspb.Snapshot {
	owned := &bspb.Snapshot{Format: 1, Applied: 1}
	for i := range count {
		owned.Shards = append(owned.Shards, &bspb.ShardEntry{
			Shard:     &bspb.ShardRef{Service: "well-logs", Index: uint32(i)},
			Fence:     &bspb.Ordinal{Offset: uint64(1_000_000 + i*7919%50_000)},
			Owner:     fmt.Sprintf("server-%04d", i*31%1000),
			OwnerBoot: fmt.Sprintf("%016x", i*31%1000*7919),
			Standby:   fmt.Sprintf("server-%04d", i*17%1000),
		})
	}
	return owned
}

// BenchmarkSplit reports the chunk data that one checkpoint adds to the log, in
// bytes.
func BenchmarkSplit(b *testing.B) {
	for _, shards := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			owned := ownedShards(shards)
			b.ReportAllocs()
			bytes, count := 0, 0
			for b.Loop() {
				chunks, err := checkpoint.Split(owned, "a/1", checkpoint.ChunkBytes)
				if err != nil {
					b.Fatal(err)
				}
				bytes, count = 0, len(chunks)
				for _, chunk := range chunks {
					bytes += len(chunk.GetData())
				}
			}
			b.ReportMetric(float64(bytes), "log-B")
			b.ReportMetric(float64(count), "chunks")
		})
	}
}
