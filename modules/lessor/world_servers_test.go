package lessor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/backend"
	"github.com/burdockspindle/burdockspindle/lease"
	"github.com/burdockspindle/burdockspindle/platlog"
	"github.com/burdockspindle/burdockspindle/serverapi"
	"github.com/burdockspindle/burdockspindle/topo"
)

// testServer implements the lease protocol with a lease.Holder and its own clock.
type testServer struct {
	id      topo.ServerID
	zone    topo.Zone
	mu      sync.Mutex
	holder  *lease.Holder
	boots   int
	started time.Time
	down    bool // does not respond; its clock continues
}

func (s *testServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boots++
	s.started = time.Now()
	s.holder = lease.NewHolder(topo.BootID(fmt.Sprintf("%s-boot-%d", s.id, s.boots)))
}

// stop stops the server permanently.
func (s *testServer) stop() {
	s.restart()
	s.setDown(true)
}

func (s *testServer) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *testServer) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *testServer) setDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.SetDraining(true)
}

// owns lists the grants that the server would serve now.
func (s *testServer) owns() []lease.Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.holder.Valid(time.Since(s.started)) {
		return nil
	}
	return s.holder.Grants()
}

// testLog is a node's connection to the log.
type testLog struct {
	log           platlog.Log
	mu            sync.Mutex
	down          bool
	loseResponses int // number of responses to appends to lose
}

func (l *testLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *testLog) loseResponse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loseResponses == 0 {
		return false
	}
	l.loseResponses--
	return true
}

func (l *testLog) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *testLog) Append(ctx context.Context, data []byte) (topo.Offset, error) {
	if l.isDown() {
		return 0, &platlog.UnavailableError{Op: "append", Cause: errDown}
	}
	offset, err := l.log.Append(ctx, data)
	if err == nil && l.loseResponse() {
		return 0, &platlog.UncertainError{Cause: errDown}
	}
	return offset, err
}

func (l *testLog) Read(ctx context.Context, req platlog.ReadRequest) (platlog.Batch, error) {
	if l.isDown() {
		return platlog.Batch{}, &platlog.UnavailableError{Op: "read", Cause: errDown}
	}
	batch, err := l.log.Read(ctx, req)
	if l.isDown() {
		return platlog.Batch{}, &platlog.UnavailableError{Op: "read", Cause: errDown}
	}
	return batch, err
}

// testDriver is a node's connection to the servers.
type testDriver struct{ node *testNode }

const serverDelay = time.Millisecond

func (d *testDriver) reach(ctx context.Context, to backend.Target) (*testServer, error) {
	d.node.whileRunning()
	time.Sleep(serverDelay)
	s := d.node.world.servers[to.ID]
	d.node.mu.Lock()
	cut := d.node.cut[to.ID]
	d.node.mu.Unlock()
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down || cut {
		<-ctx.Done()
		return nil, &backend.ControlError{Server: to.ID, Op: "lease", Cause: ctx.Err()}
	}
	return s, nil
}

func (d *testDriver) Lease(ctx context.Context, to backend.Target, req serverapi.LeaseRequest) (serverapi.LeaseReply, error) {
	s, err := d.reach(ctx, to)
	if err != nil {
		return serverapi.LeaseReply{}, err
	}
	s.mu.Lock()
	reply := s.holder.Lease(time.Since(s.started), req)
	s.mu.Unlock()
	return d.respond(ctx, to, reply)
}

func (d *testDriver) Acknowledge(ctx context.Context, to backend.Target, req serverapi.AcknowledgeRequest) (serverapi.LeaseReply, error) {
	s, err := d.reach(ctx, to)
	if err != nil {
		return serverapi.LeaseReply{}, err
	}
	s.mu.Lock()
	reply := s.holder.Acknowledge(time.Since(s.started), req)
	s.mu.Unlock()
	return d.respond(ctx, to, reply)
}

func (d *testDriver) respond(ctx context.Context, to backend.Target, reply serverapi.LeaseReply) (serverapi.LeaseReply, error) {
	time.Sleep(serverDelay)
	d.node.whileRunning()
	if ctx.Err() != nil {
		return serverapi.LeaseReply{}, &backend.ControlError{Server: to.ID, Op: "lease", Cause: ctx.Err()}
	}
	return reply, nil
}

func (*testDriver) Do(context.Context, backend.Target, backend.Request) (*backend.Response, error) {
	return nil, &backend.AttemptError{Cause: errDown}
}

func (*testDriver) Forget(topo.ServerID) {}
