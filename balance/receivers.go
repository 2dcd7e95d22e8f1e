package balance

import "container/heap"

// receivers is a heap of the servers that may be given shards, coldest first,
// so that placing many shards does not look at every server for each.
type receivers struct {
	board   *board
	servers []int
	placed  map[int]int // by server: taken but not yet given
}

// unknownLoad is the load assumed of a shard in addition to what was observed.
const unknownLoad = 1e-6

func newReceivers(b *board) *receivers {
	r := &receivers{board: b, placed: map[int]int{}}
	for i := range b.in.Servers {
		if b.canReceive(i) {
			r.servers = append(r.servers, i)
		}
	}
	heap.Init(r)
	return r
}

// take returns the coldest server and counts load towards it until the board
// does. The second result is false if there is no server.
func (r *receivers) take(load float64) (int, bool) {
	if len(r.servers) == 0 {
		return NoOwner, false
	}
	coldest := r.servers[0]
	r.board.loads[coldest] += load
	r.placed[coldest]++
	heap.Fix(r, 0)
	r.board.loads[coldest] -= load
	r.placed[coldest]--
	return coldest, true
}

// fill is a server's utilization plus a little for each shard that it holds, so
// that shards whose load is not known yet are spread by their number.
func (r *receivers) fill(server int) float64 {
	unknown := unknownLoad * float64(len(r.board.shards[server])+r.placed[server])
	return r.board.utilizationWith(server, unknown)
}

// Len implements heap.Interface.
func (r *receivers) Len() int { return len(r.servers) }

// Less implements heap.Interface.
func (r *receivers) Less(i, j int) bool {
	return r.fill(r.servers[i]) < r.fill(r.servers[j])
}

// Swap implements heap.Interface.
func (r *receivers) Swap(i, j int) {
	r.servers[i], r.servers[j] = r.servers[j], r.servers[i]
}

// Push implements heap.Interface.
func (r *receivers) Push(x any) { r.servers = append(r.servers, x.(int)) }

// Pop implements heap.Interface.
func (r *receivers) Pop() any {
	last := r.servers[len(r.servers)-1]
	r.servers = r.servers[:len(r.servers)-1]
	return last
}
