package topo

import "github.com/cespare/xxhash/v2"

// ShardIndex maps a key to one of count shards by xxHash64 modulo count. The site
// configuration fixes the shard count of a service, so that every process
// computes the same shard for the same key. A count of 0 yields 0.
func ShardIndex(key string, count uint32) uint32 {
	if count == 0 {
		return 0
	}
	return uint32(xxhash.Sum64String(key) % uint64(count))
}
