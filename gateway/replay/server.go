package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/pool"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// server is the state of a simulated server.
type server struct {
	Server
	running, waiting int
	backlog          []*request
	isDown           bool
	isSlow           bool // its machine is
	crashes          int  // incarnations that have ended
	inFlight         []*request
}

// coldFactor is how many times longer work takes at a cold server.
const coldFactor = 2

// registryDelay is the time until nodes observe the start of an incarnation.
const registryDelay = 300 * time.Millisecond

// ServerID returns the ID of the first incarnation of a server of a load.
func ServerID(i int) site.ServerID { return serverID(i) }

func serverID(i int) site.ServerID { return site.ServerID(fmt.Sprintf("s%02d", i)) }

// updatePools updates every pool to the current incarnations.
func (r *replay) updatePools() {
	var list []site.Server
	for i, s := range r.servers {
		list = append(list, site.Server{ID: r.currentID(i), Zone: s.Zone, Slots: s.Slots, WarmUp: s.ColdTime})
	}
	r.registered = list
	for i, p := range r.pools {
		p.Update(list, r.Nodes, r.now)
		r.deliver(i, p.Admit(r.now))
	}
}

// currentID returns the ID of the current incarnation of a server.
func (r *replay) currentID(i int) site.ServerID {
	runs := r.servers[i].crashes
	switch {
	case runs == 0:
		return serverID(i)
	case r.NewIDPerIncarnation:
		return serverID(i) + site.ServerID(fmt.Sprintf("-%d", runs))
	}
	return site.IncarnationID(site.ServerName(serverID(i)), r.start.Add(time.Duration(runs)*time.Second))
}

// crash ends an incarnation and loses the requests that it has.
func (r *replay) crash(i int) {
	s := &r.servers[i]
	lost := slices.Concat(s.inFlight, s.backlog)
	s.inFlight, s.backlog, s.running, s.waiting = nil, nil, 0, 0
	s.isDown = true
	s.crashes++
	for _, ended := range lost {
		r.result.Lost++
		r.complete(ended, pool.Outcome{Failed: true, Reset: true, Took: r.now.Sub(ended.sent)})
	}
	r.schedule(s.DownTime, func() { s.isDown = false })
	r.schedule(s.DownTime+registryDelay, r.updatePools)
	if r.now.Sub(r.start) < r.Length {
		r.schedule(s.CrashEvery, func() { r.crash(i) })
	}
}

// receive handles the arrival of a request at its server.
func (r *replay) receive(req *request) {
	s := &r.servers[req.server]
	req.sent = r.now
	req.sends++
	r.result.Sends++
	if s.Zone != r.zones[req.node%len(r.zones)] {
		r.result.CrossZone++
	}
	switch {
	case s.isDown:
		r.result.NotReached++
		r.complete(req, pool.Outcome{Failed: true, NotReached: true})
	case s.HangShare > 0 && r.random.Float64() < s.HangShare:
		r.result.Hung++
		r.schedule(r.timeoutOf(req.caller)-r.now.Sub(req.arrived), func() {
			r.complete(req, pool.Outcome{Abandoned: true, Took: r.now.Sub(req.sent)})
		})
	case r.random.Float64() < s.ShedShare:
		r.shed(req)
	case s.running < s.Slots:
		r.run(req)
	case s.waiting < s.Queue:
		s.waiting++
		s.backlog = append(s.backlog, req)
	default:
		r.overflow(req)
	}
}

// shed refuses a request although the server has room.
func (r *replay) shed(req *request) {
	r.result.Shed++
	s := &r.servers[req.server]
	outcome := pool.Outcome{NoCapacity: true}
	if s.ShedsWithLoad {
		outcome.Load = &site.Load{Running: s.running, Waiting: s.waiting, Slots: s.Slots}
	}
	r.complete(req, outcome)
}

// overflow refuses a request at a full server, or resets its connection.
func (r *replay) overflow(req *request) {
	r.result.Overflow++
	if r.servers[req.server].ResetsWhenFull {
		r.result.Lost++
		r.complete(req, pool.Outcome{Failed: true, Reset: true})
		return
	}
	r.complete(req, pool.Outcome{NoCapacity: true})
}

// run starts a request in a slot of its server.
func (r *replay) run(req *request) {
	s := &r.servers[req.server]
	s.running++
	s.inFlight = append(s.inFlight, req)
	runs := s.crashes
	work := r.workAt(req, s) * (0.5 + r.random.Float64())
	if r.now.Sub(r.start) < s.ColdTime {
		work *= coldFactor
	}
	r.schedule(time.Duration(work), func() {
		if s.crashes == runs { // otherwise the request was lost in a crash
			r.finishWork(req, s)
		}
	})
}

// finishWork frees the slot of a request and starts the next one in the queue.
func (r *replay) finishWork(ended *request, s *server) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other *request) bool { return other == ended })
	loadNow := r.loadOf(s)
	r.lessor.observed[ended.server].present += loadNow.Total()
	r.lessor.observed[ended.server].answers++
	s.running--
	if len(s.backlog) > 0 {
		next := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.waiting--
		r.run(next)
	}
	r.noteAnswer(ended, loadNow)
	r.count(ended)
	r.complete(ended, pool.Outcome{Took: r.now.Sub(ended.sent), Load: &loadNow})
}

// count adds the answer of a request to the result.
func (r *replay) count(ended *request) {
	took := r.now.Sub(ended.arrived)
	switch {
	case !r.isCounted(ended.caller):
	case took <= r.targetOf(ended.caller):
		r.result.InTime++
		r.countInTime(ended.caller)
		if ended.priority == 0 {
			r.result.UrgentInTime++
		}
	case took <= r.timeoutOf(ended.caller):
		r.result.Late++
		if ended.priority == 0 {
			r.result.UrgentLate++
		}
	default:
		r.result.InVain++
	}
}
