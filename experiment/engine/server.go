package engine

import (
	"math/rand/v2"
	"time"

	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/model"
	"github.com/burdockspindle/burdockspindle/outcome"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// server simulates a backend server: it follows the production
// rule of ownership, refuses requests beyond its concurrency limit, and spends on
// each request the service time of its arrival, scaled by its speed.
type server struct {
	site    *site
	id      topo.ServerID
	service *model.Service
	index   int // index of the service in the deployment
	zone    topo.Zone
	holder  *lease.Holder
	random  *rand.Rand

	startedAt time.Time
	boot      topo.BootID
	up        bool
	draining  bool // takes no new requests of an unkeyed service
	coldUntil time.Time

	slow          float64 // divides the speed; 1 normally
	shed          float64 // fraction of requests refused as overloaded
	fail          float64 // fraction of requests broken without an answer
	reportsNoLoad bool
	inFlight      int
	peakInFlight  int
	limitExceeded int // requests that arrived at the concurrency limit
	conns         int
	peakConns     int // highest number of connections at once
}

// work is one attempt at the server.
type work struct {
	call     *call
	shard    topo.ShardID
	fence    topo.Fence
	key      string
	deadline time.Time
	// reply receives the server's answer; broken is true if the connection ended
	// instead.
	reply func(v outcome.Verdict, broken bool)
}

func (s *server) clock() *clock { return s.site.clock }

// uptime returns the server's monotonic clock.
func (s *server) uptime() time.Duration { return s.clock().now.Sub(s.startedAt) }

// speed returns the speed of the server relative to the nominal speed.
func (s *server) speed() float64 {
	speed := 1 / s.slow
	if left := s.coldUntil.Sub(s.clock().now); left > 0 {
		warm := 1 - float64(left)/float64(coldTime)
		speed *= coldSpeed + (1-coldSpeed)*warm
	}
	return speed
}

// accept refuses one request or runs it.
func (s *server) accept(w work) {
	if verdict, refused := s.refuse(w); refused {
		w.reply(verdict, false)
		return
	}
	s.inFlight++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	run, owned := s.begin(w)
	if !owned {
		s.inFlight--
		w.reply(outcome.NotRun(serverapi.ReasonNotOwner), false)
		return
	}
	s.run(w, run)
}

// refuse makes the checks that do not depend on the request's shard.
func (s *server) refuse(w work) (outcome.Verdict, bool) {
	switch {
	case s.inFlight >= s.service.Concurrency:
		s.limitExceeded++
		return outcome.NotRun(serverapi.ReasonOverloaded), true
	case s.draining && !s.service.Keyed:
		return outcome.NotRun(serverapi.ReasonDraining), true
	case s.shed > 0 && s.random.Float64() < s.shed:
		return outcome.NotRun(serverapi.ReasonOverloaded), true
	case !s.clock().now.Before(w.deadline):
		return outcome.NotRun(serverapi.ReasonDeadline), true
	}
	return outcome.Verdict{}, false
}

func (s *server) begin(w work) (lease.RunID, bool) {
	if !s.service.Keyed {
		return 0, true
	}
	run, err := s.holder.Begin(s.uptime(), w.shard, w.fence, w.key)
	return run, err == nil
}

// run serves the request: half of the work, the call to another service if
// there is one, and the other half.
func (s *server) run(w work, run lease.RunID) {
	boot := s.boot
	left := w.call.work / 2
	finish := func() { s.end(w, run, boot) }
	s.spend(w, left, func() {
		s.await(w, func() { s.spend(w, left, finish) })
	})
}

// await waits for the server's call to another service, but not beyond the
// deadline, because the entry node that it called may be lost.
func (s *server) await(w work, then func()) {
	gone := false
	once := func() {
		if !gone {
			gone = true
			then()
		}
	}
	w.call.callDependency(s.id, once)
	if !gone {
		s.clock().after(w.deadline.Sub(s.clock().now), once)
	}
}

// spend occupies the server for the given work in seconds, but not beyond the deadline,
// which servers honour.
func (s *server) spend(w work, seconds float64, then func()) {
	busy := time.Duration(seconds / s.speed() * float64(time.Second))
	s.clock().after(min(busy, w.deadline.Sub(s.clock().now)), then)
}

// end releases the slot and answers. A server that was lost or restarted
// in the meantime does not answer.
func (s *server) end(w work, run lease.RunID, boot topo.BootID) {
	if !s.up || s.boot != boot {
		return
	}
	s.inFlight--
	owned := true
	if s.service.Keyed {
		owned = s.holder.Recheck(s.uptime(), run) == nil
		s.holder.End(run)
	}
	switch {
	case s.fail > 0 && s.random.Float64() < s.fail:
		w.reply(outcome.Verdict{}, true)
	case !s.clock().now.Before(w.deadline):
		w.reply(outcome.Unknown(serverapi.ReasonDeadline), false)
	case !owned:
		w.reply(outcome.Unknown(serverapi.ReasonNotOwner), false)
	default:
		w.reply(outcome.Answered(), false)
	}
}

// restart begins a new incarnation of the server without grants.
func (s *server) restart(boot topo.BootID) {
	s.boot = boot
	s.startedAt = s.clock().now
	s.holder = lease.NewHolder(boot)
	s.up = true
	s.inFlight = 0
	s.conns = 0
}

// connect counts a new connection; it returns false if the server's limit is reached.
func (s *server) connect() bool {
	if s.conns >= s.service.Connections {
		return false
	}
	s.conns++
	s.peakConns = max(s.peakConns, s.conns)
	return true
}
