package balance

import "container/heap"

// receiverHeap is a heap of the servers that may be assigned shards, coldest
// first, so that placing many shards does not scan all servers for each shard.
type receiverHeap struct {
	balancer *balancer
	servers  []int
	reserved map[int]int // by server: shards picked but not yet in balancer.shards
}

// unobservedShardLoad is the load assumed for each shard in addition to its
// observed load.
const unobservedShardLoad = 1e-6

func newReceiverHeap(b *balancer) *receiverHeap {
	r := &receiverHeap{balancer: b, reserved: map[int]int{}}
	for i := range b.in.Servers {
		if b.canReceive(i) {
			r.servers = append(r.servers, i)
		}
	}
	heap.Init(r)
	return r
}

// pickColdest returns the coldest server and orders the heap as if the server
// already had the additional load, which the caller then adds to the balancer.
// The second result is false if there is no server.
func (r *receiverHeap) pickColdest(load float64) (int, bool) {
	if len(r.servers) == 0 {
		return NoOwner, false
	}
	coldest := r.servers[0]
	r.balancer.loads[coldest] += load
	r.reserved[coldest]++
	heap.Fix(r, 0)
	r.balancer.loads[coldest] -= load
	r.reserved[coldest]--
	return coldest, true
}

// effectiveUtilization returns a server's utilization with a small additional
// load for each shard that it owns, so that shards without an observed load are
// spread evenly by their number.
func (r *receiverHeap) effectiveUtilization(server int) float64 {
	unknown := unobservedShardLoad * float64(len(r.balancer.shards[server])+r.reserved[server])
	return r.balancer.utilizationWith(server, unknown)
}

// Len implements heap.Interface.
func (r *receiverHeap) Len() int { return len(r.servers) }

// Less implements heap.Interface.
func (r *receiverHeap) Less(i, j int) bool {
	return r.effectiveUtilization(r.servers[i]) < r.effectiveUtilization(r.servers[j])
}

// Swap implements heap.Interface.
func (r *receiverHeap) Swap(i, j int) {
	r.servers[i], r.servers[j] = r.servers[j], r.servers[i]
}

// Push implements heap.Interface.
func (r *receiverHeap) Push(x any) { r.servers = append(r.servers, x.(int)) }

// Pop implements heap.Interface.
func (r *receiverHeap) Pop() any {
	last := r.servers[len(r.servers)-1]
	r.servers = r.servers[:len(r.servers)-1]
	return last
}
