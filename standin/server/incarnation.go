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

// incarnation is the state of the server that a restart discards.
type incarnation struct {
	server  *Server
	boot    topo.BootID
	started history.Time
	tickets *ticket.Record
	ctx     context.Context // ends with the incarnation
	cancel  context.CancelFunc

	mu        sync.Mutex
	holder    *lease.Holder
	shards    map[topo.ShardID]*shardState
	intervals map[intervalKey]history.OwnerInterval // open ones
	ended     bool
}

// shardState is what the server keeps for one shard under one fence.
type shardState struct {
	fence  topo.Fence
	values map[string]uint64
}

func newIncarnation(s *Server) *incarnation {
	boot := s.config.NewBoot()
	ctx, cancel := context.WithCancel(context.Background())
	return &incarnation{
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

// now reads the incarnation's own clock, which drifts. It blocks while the server
// is frozen.
func (inc *incarnation) now() time.Duration {
	inc.server.gate.pass()
	return inc.readClock()
}

// lockNow locks the incarnation and then reads its clock. A clock read before
// waiting for the lock would be out of date when the decision is made.
func (inc *incarnation) lockNow() time.Duration {
	inc.server.gate.pass()
	inc.mu.Lock()
	return inc.readClock()
}

func (inc *incarnation) readClock() time.Duration {
	elapsed := int64(inc.server.config.Clock().Sub(inc.started))
	return time.Duration(elapsed + elapsed*int64(inc.server.config.DriftPPM)/partsPerMillion)
}

// sharedTime converts d, a reading of the incarnation's own clock, to the shared
// clock.
func (inc *incarnation) sharedTime(d time.Duration) history.Time {
	rate := int64(partsPerMillion + inc.server.config.DriftPPM)
	whole, rest := int64(d)/rate, int64(d)%rate
	return inc.started + history.Time(whole*partsPerMillion+rest*partsPerMillion/rate)
}

// renew applies a lessor's renewal.
func (inc *incarnation) renew(req serverapi.LeaseRequest) serverapi.LeaseReply {
	now := inc.lockNow()
	defer inc.mu.Unlock()
	reply := inc.holder.Lease(now, req)
	if !inc.ended {
		inc.trackIntervals(now)
	}
	return reply
}

func (inc *incarnation) otherServer() serverapi.LeaseReply {
	now := inc.lockNow()
	defer inc.mu.Unlock()
	return inc.holder.RefuseOtherServer(now)
}

func (inc *incarnation) acknowledge(req serverapi.AcknowledgeRequest) serverapi.LeaseReply {
	now := inc.lockNow()
	defer inc.mu.Unlock()
	return inc.holder.Acknowledge(now, req)
}

// begin checks that the server owns the shard of a request and registers the run.
// It returns the shared time of the check.
func (inc *incarnation) begin(req serveRequest) (lease.RunID, history.Time, error) {
	now := inc.lockNow()
	defer inc.mu.Unlock()
	run, err := inc.holder.Begin(now, req.shard, req.fence, req.key)
	return run, inc.sharedTime(now), err
}

// recheck checks that the ownership under which the run began still holds. It
// returns the shared time of the check.
func (inc *incarnation) recheck(run lease.RunID) (history.Time, error) {
	now := inc.lockNow()
	defer inc.mu.Unlock()
	if inc.ended {
		return 0, &StoppedError{Server: inc.server.config.ID, Boot: inc.boot}
	}
	return inc.sharedTime(now), inc.holder.Recheck(now, run)
}

func (inc *incarnation) end(run lease.RunID) {
	now := inc.lockNow()
	defer inc.mu.Unlock()
	inc.holder.End(run)
	if !inc.ended {
		inc.trackIntervals(now)
	}
}

// change applies a request to its key's value. alive is false when the
// incarnation has ended; the request then has no effect.
func (inc *incarnation) change(req serveRequest) (value uint64, alive bool) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.ended {
		return 0, false
	}
	state, exists := inc.shards[req.shard]
	if !exists || state.fence != req.fence {
		state = &shardState{fence: req.fence, values: map[string]uint64{}}
		inc.shards[req.shard] = state
	}
	return req.applyTo(state.values), true
}

// terminate ends the incarnation.
func (inc *incarnation) terminate() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.ended {
		return
	}
	inc.ended = true
	inc.cancel()
	now := inc.server.config.Clock()
	inc.closeIntervals(now)
	inc.server.config.Recorder.Record(history.ServerStopped{At: now, Server: inc.server.config.ID, Boot: inc.boot})
}

// StoppedError reports that an incarnation of a server has ended.
type StoppedError struct {
	Server topo.ServerID
	Boot   topo.BootID
}

// Error implements error.
func (e *StoppedError) Error() string {
	return "server " + string(e.Server) + ": run " + string(e.Boot) + " is over"
}
