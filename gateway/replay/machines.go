package replay

import (
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// slowPeriod is how long a machine keeps its pace, and slowFactor how many times longer work takes on a slow one.
const (
	slowPeriod = 400 * time.Millisecond
	slowFactor = 3
)

// loadOf returns the load that a server reports now.
func (r *replay) loadOf(s *server) site.Load {
	load := site.Load{Running: s.running, Waiting: s.waiting, Slots: s.Slots}
	if r.Checks {
		load.Slowdown = 1
		if s.isSlow {
			load.Slowdown = slowFactor
		}
	}
	return load
}

// check checks the load of servers before a request, as package router does.
func (r *replay) check(req *request) {
	if !r.Checks {
		return
	}
	p, w := r.pools[req.node], req.waiter
	for _, ofOwnZone := range []bool{true, false} {
		for _, checked := range p.ServersToCheck(w, ofOwnZone, r.now) {
			s := &r.servers[r.indexOf(checked.ID)]
			if s.isDown {
				continue
			}
			load := r.loadOf(s)
			p.RecordCheck(checked.ID, &load, 0, false, r.now)
			w.Checked = append(w.Checked, checked.ID)
		}
		if !p.NeedsMoreChecks(w, r.now) {
			return
		}
	}
}

func (r *replay) drawSlowServers() {
	if r.now.Sub(r.start) > r.Length {
		return
	}
	for i := range r.servers {
		r.servers[i].isSlow = r.slowness.Float64() < r.SlowShare
	}
	r.schedule(slowPeriod, r.drawSlowServers)
}

// loseZone cuts a zone off with its servers. Its nodes are not part of the rest of the replay: callers send to the others.
func (r *replay) loseZone() {
	for i := range r.servers {
		r.servers[i].isDown = r.servers[i].isDown || r.servers[i].Zone == r.LostZone
	}
}
