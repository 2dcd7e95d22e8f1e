package router

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/clock"
	"github.com/burdockspindle/burdockspindle/topo"
)

// remoteLoadTTL is how long a load that an admission point reported remains in use.
const remoteLoadTTL = time.Second

// remoteLoads estimates the load of servers whose admission point is another
// node, from this node's own requests there and the load that the other node last
// reported.
type remoteLoads struct {
	servers sync.Map // topo.ServerID → *remoteLoad
}

type remoteLoad struct {
	own        atomic.Int64
	reported   atomic.Uint64 // bits of a float64
	receivedAt atomic.Int64  // time since the start of the process, in nanoseconds
}

func (r *remoteLoads) of(id topo.ServerID) *remoteLoad {
	if found, exists := r.servers.Load(id); exists {
		return found.(*remoteLoad)
	}
	found, _ := r.servers.LoadOrStore(id, &remoteLoad{})
	return found.(*remoteLoad)
}

// load returns the server's load as a fraction of its limit. The weight of the
// reported load decreases linearly with its age.
func (r *remoteLoads) load(now time.Time, id topo.ServerID, limit int) float64 {
	known := r.of(id)
	own := float64(known.own.Load()) / float64(max(limit, 1))
	age := clock.SinceStart(now) - time.Duration(known.receivedAt.Load())
	if age > remoteLoadTTL {
		return own
	}
	reported := math.Float64frombits(known.reported.Load())
	freshness := 1 - float64(max(age, 0))/float64(remoteLoadTTL)
	return max(own, reported*freshness)
}

func (r *remoteLoads) store(now time.Time, id topo.ServerID, load float64) {
	if id == "" || math.IsNaN(load) || load < 0 {
		return
	}
	known := r.of(id)
	known.reported.Store(math.Float64bits(load))
	known.receivedAt.Store(int64(clock.SinceStart(now)))
}

// retain removes the servers for which keep returns false.
func (r *remoteLoads) retain(keep func(topo.ServerID) bool) {
	r.servers.Range(func(id, _ any) bool {
		if !keep(id.(topo.ServerID)) {
			r.servers.Delete(id)
		}
		return true
	})
}
