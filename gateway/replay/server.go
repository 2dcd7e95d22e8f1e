package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// server is a simulated server at work.
type server struct {
	Server
	running, waiting int
	backlog          []*request
	isDown           bool
	starts           int // runs that have ended
	inRun            []*request
}

// coldFactor is how much longer work takes at a cold server.
const coldFactor = 2

// registerLag is how long after its start nodes see a run.
const registerLag = 300 * time.Millisecond

// ServerID names the first run of a server of a load.
func ServerID(i int) site.ServerID { return serverID(i) }

func serverID(i int) site.ServerID { return site.ServerID(fmt.Sprintf("s%02d", i)) }

// register has every pool see the present runs.
func (r *replay) register() {
	var list []site.Server
	for i, s := range r.servers {
		list = append(list, site.Server{ID: r.runID(i), Zone: s.Zone, Slots: s.Slots, WarmUp: s.Cold})
	}
	for i, p := range r.pools {
		p.Update(list, r.Nodes, r.now)
		r.deliver(i, p.Admit(r.now))
	}
}

// runID names the present run of a server.
func (r *replay) runID(i int) site.ServerID {
	runs := r.servers[i].starts
	switch {
	case runs == 0:
		return serverID(i)
	case r.Renamed:
		return serverID(i) + site.ServerID(fmt.Sprintf("-%d", runs))
	}
	return site.RunID(site.ServerName(serverID(i)), r.start.Add(time.Duration(runs)*time.Second))
}

// crash ends a server with the requests that it has.
func (r *replay) crash(i int) {
	s := &r.servers[i]
	lost := slices.Concat(s.inRun, s.backlog)
	s.inRun, s.backlog, s.running, s.waiting = nil, nil, 0, 0
	s.isDown = true
	s.starts++
	for _, ended := range lost {
		r.result.Lost++
		r.finish(ended, pool.Outcome{Failed: true, Reset: true, Took: r.now.Sub(ended.sent)})
	}
	r.at(s.Down, func() { s.isDown = false })
	r.at(s.Down+registerLag, r.register)
	if r.now.Sub(r.start) < r.Length {
		r.at(s.CrashEvery, func() { r.crash(i) })
	}
}

// reach has a request come to its server.
func (r *replay) reach(next *request) {
	s := &r.servers[next.server]
	next.sent = r.now
	next.sends++
	r.result.Sends++
	if s.Zone != r.zones[next.node%len(r.zones)] {
		r.result.CrossZone++
	}
	switch {
	case s.isDown:
		r.result.NotReached++
		r.finish(next, pool.Outcome{Failed: true, NotReached: true})
	case s.Hangs > 0 && r.random.Float64() < s.Hangs:
		r.result.Hung++
		r.at(r.Patient-r.now.Sub(next.arrived), func() {
			r.finish(next, pool.Outcome{Abandoned: true, Took: r.now.Sub(next.sent)})
		})
	case r.random.Float64() < s.Sheds:
		r.shed(next)
	case s.running < s.Slots:
		r.run(next)
	case s.waiting < s.Queue:
		s.waiting++
		s.backlog = append(s.backlog, next)
	default:
		r.overflow(next)
	}
}

// shed ends a request at a server that refuses it although it has room.
func (r *replay) shed(next *request) {
	r.result.Shed++
	s := &r.servers[next.server]
	outcome := pool.Outcome{NoRoom: true}
	if s.ShedsWithLoad {
		outcome.Load = &site.Load{Running: s.running, Waiting: s.waiting, Slots: s.Slots}
	}
	r.finish(next, outcome)
}

// overflow ends a request at a full server.
func (r *replay) overflow(next *request) {
	r.result.Overflow++
	if r.servers[next.server].Resets {
		r.result.Lost++
		r.finish(next, pool.Outcome{Failed: true, Reset: true})
		return
	}
	r.finish(next, pool.Outcome{NoRoom: true})
}

// run has a request take a slot of its server.
func (r *replay) run(next *request) {
	s := &r.servers[next.server]
	s.running++
	s.inRun = append(s.inRun, next)
	runs := s.starts
	work := float64(s.Work) * (0.5 + r.random.Float64())
	if r.now.Sub(r.start) < s.Cold {
		work *= coldFactor
	}
	r.at(time.Duration(work), func() {
		if s.starts == runs { // else it was lost
			r.end(next, s)
		}
	})
}

// end lets a request leave its slot, and the next one have it.
func (r *replay) end(ended *request, s *server) {
	s.inRun = slices.DeleteFunc(s.inRun, func(other *request) bool { return other == ended })
	loadNow := site.Load{Running: s.running, Waiting: s.waiting, Slots: s.Slots}
	r.lessor.present += loadNow.Total()
	r.lessor.answers++
	s.running--
	if len(s.backlog) > 0 {
		next := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.waiting--
		r.run(next)
	}
	r.count(ended)
	r.finish(ended, pool.Outcome{Took: r.now.Sub(ended.sent), Load: &loadNow})
}

// count takes the answer of a request into the result.
func (r *replay) count(ended *request) {
	took := r.now.Sub(ended.arrived)
	switch {
	case took <= r.Target:
		r.result.InTime++
		if ended.priority == 0 {
			r.result.UrgentInTime++
		}
	case took <= r.Patient:
		r.result.Late++
	default:
		r.result.InVain++
	}
}
