package router

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// remoteLoadTTL is how long a load that an admission point told counts.
const remoteLoadTTL = time.Second

// remoteLoads is what this node knows of the load of servers whose admission
// point is another node: its own requests there, and what that node last said.
type remoteLoads struct {
	servers sync.Map // topo.ServerID → *remoteLoad
}

type remoteLoad struct {
	own        atomic.Int64
	reported   atomic.Uint64 // bits of a float64
	receivedAt atomic.Int64  // Unix nanoseconds
}

func (r *remoteLoads) of(id topo.ServerID) *remoteLoad {
	if found, exists := r.servers.Load(id); exists {
		return found.(*remoteLoad)
	}
	found, _ := r.servers.LoadOrStore(id, &remoteLoad{})
	return found.(*remoteLoad)
}

// load is requests over what the server may hold.
func (r *remoteLoads) load(now time.Time, id topo.ServerID, limit int) float64 {
	known := r.of(id)
	own := float64(known.own.Load()) / float64(max(limit, 1))
	age := now.UnixNano() - known.receivedAt.Load()
	if age > int64(remoteLoadTTL) {
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
	known.receivedAt.Store(now.UnixNano())
}

// retain forgets servers that keep says no to.
func (r *remoteLoads) retain(keep func(topo.ServerID) bool) {
	r.servers.Range(func(id, _ any) bool {
		if !keep(id.(topo.ServerID)) {
			r.servers.Delete(id)
		}
		return true
	})
}
