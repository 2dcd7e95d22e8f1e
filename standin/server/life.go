package server

import (
	"context"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/ticket"
	"github.com/burdockspindle/burdockspindle/topo"
)

const partsPerMillion = 1_000_000

// life is one run of the server: everything that a restart loses.
type life struct {
	server  *Server
	boot    topo.BootID
	started history.Time
	tickets *ticket.Record
	ctx     context.Context // ends with the run
	cancel  context.CancelFunc

	mu        sync.Mutex
	holder    *lease.Holder
	shards    map[topo.ShardID]*shardState
	intervals map[intervalKey]history.OwnerInterval // open ones
	dead      bool
}

// shardState is what the server keeps for one shard under one fence.
type shardState struct {
	fence  topo.Fence
	values map[string]uint64
}

func newLife(s *Server) *life {
	boot := s.config.NewBoot()
	ctx, cancel := context.WithCancel(context.Background())
	return &life{
		server:    s,
		boot:      boot,
		started:   s.config.Clock(),
		tickets:   ticket.NewRecord(s.config.Tickets),
		ctx:       ctx,
		cancel:    cancel,
		holder:    lease.NewHolder(boot),
		shards:    map[topo.ShardID]*shardState{},
		intervals: map[intervalKey]history.OwnerInterval{},
	}
}

// now reads the run's own clock, which drifts. It blocks while the server is
// frozen.
func (l *life) now() time.Duration {
	l.server.gate.pass()
	return l.read()
}

// lockNow locks the run and reads its clock, in this order: what is decided by a
// reading that had waited for the lock would be decided too late.
func (l *life) lockNow() time.Duration {
	l.server.gate.pass()
	l.mu.Lock()
	return l.read()
}

func (l *life) read() time.Duration {
	elapsed := int64(l.server.config.Clock().Sub(l.started))
	return time.Duration(elapsed + elapsed*int64(l.server.config.DriftPPM)/partsPerMillion)
}

// shared returns the moment on the shared clock at which the run's own clock
// shows d.
func (l *life) shared(d time.Duration) history.Time {
	rate := int64(partsPerMillion + l.server.config.DriftPPM)
	whole, rest := int64(d)/rate, int64(d)%rate
	return l.started + history.Time(whole*partsPerMillion+rest*partsPerMillion/rate)
}

// renew and acknowledge apply a lessor's call.
func (l *life) renew(req serverapi.LeaseRequest) serverapi.LeaseReply {
	now := l.lockNow()
	defer l.mu.Unlock()
	reply := l.holder.Lease(now, req)
	if !l.dead {
		l.trackIntervals(now)
	}
	return reply
}

func (l *life) otherServer() serverapi.LeaseReply {
	now := l.lockNow()
	defer l.mu.Unlock()
	return l.holder.OtherServer(now)
}

func (l *life) acknowledge(req serverapi.AcknowledgeRequest) serverapi.LeaseReply {
	now := l.lockNow()
	defer l.mu.Unlock()
	return l.holder.Acknowledge(now, req)
}

// begin returns the moment at which the server was found to own what a request is
// for.
func (l *life) begin(req serveRequest) (lease.RunID, history.Time, error) {
	now := l.lockNow()
	defer l.mu.Unlock()
	run, err := l.holder.Begin(now, req.shard, req.fence, req.key)
	return run, l.shared(now), err
}

// recheck returns the moment at which the run's ownership was found to hold
// still.
func (l *life) recheck(run lease.RunID) (history.Time, error) {
	now := l.lockNow()
	defer l.mu.Unlock()
	if l.dead {
		return 0, &StoppedError{Server: l.server.config.ID, Boot: l.boot}
	}
	return l.shared(now), l.holder.Recheck(now, run)
}

func (l *life) end(run lease.RunID) {
	now := l.lockNow()
	defer l.mu.Unlock()
	l.holder.End(run)
	if !l.dead {
		l.trackIntervals(now)
	}
}

// change applies a request to its key's value; false when the run of the server
// is over.
func (l *life) change(req serveRequest) (value uint64, alive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return 0, false
	}
	state, exists := l.shards[req.shard]
	if !exists || state.fence != req.fence {
		state = &shardState{fence: req.fence, values: map[string]uint64{}}
		l.shards[req.shard] = state
	}
	return req.applyTo(state.values), true
}

// die ends the run.
func (l *life) die() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return
	}
	l.dead = true
	l.cancel()
	now := l.server.config.Clock()
	l.closeIntervals(now)
	l.server.config.Recorder.Record(history.ServerStopped{At: now, Server: l.server.config.ID, Boot: l.boot})
}

// StoppedError reports that a run of a server is over.
type StoppedError struct {
	Server topo.ServerID
	Boot   topo.BootID
}

// Error implements error.
func (e *StoppedError) Error() string {
	return "server " + string(e.Server) + ": run " + string(e.Boot) + " is over"
}
