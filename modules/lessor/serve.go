package lessor

import (
	"context"

	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// serveHeartbeat handles a lessor's heartbeat as its standby lessor.
func (m *Module) serveHeartbeat(ctx context.Context, req *bspb.HeartbeatRequest) (*bspb.HeartbeatResponse, error) {
	w, exists := m.worker(topo.GroupID(req.GetGroup()))
	if !exists {
		return nil, &UnknownGroupError{Group: topo.GroupID(req.GetGroup())}
	}
	in := heartbeatReceived{heartbeat: heartbeatFromProto(req), reply: make(chan core.HeartbeatReply, 1)}
	reply, err := deliver(ctx, w, in, in.reply)
	if err != nil {
		return nil, err
	}
	return replyToProto(m.caller.Sender(), reply), nil
}

// serveMove handles a request for planned moves as the group's lessor.
func (m *Module) serveMove(ctx context.Context, req *bspb.MoveRequest) (*bspb.MoveResponse, error) {
	w, exists := m.worker(topo.GroupID(req.GetGroup()))
	if !exists {
		return nil, &UnknownGroupError{Group: topo.GroupID(req.GetGroup())}
	}
	in := movesRequested{moves: movesFromProto(req.GetMoves()), accepted: make(chan int, 1)}
	accepted, err := deliver(ctx, w, in, in.accepted)
	if err != nil {
		return nil, err
	}
	return &bspb.MoveResponse{Sender: m.caller.Sender(), Accepted: uint32(accepted)}, nil
}

// serveAnnounce handles a lessor's decisions that were made off the log.
func (m *Module) serveAnnounce(_ context.Context, req *bspb.AnnounceRequest) error {
	announcement := core.Announcement{Term: termFromProto(req.GetTerm())}
	for _, a := range req.GetActivations() {
		announcement.Activations = append(announcement.Activations, core.Activation{
			Shard:  shardFromProto(a.GetShard()),
			Fence:  fenceFromProto(a.GetFence()),
			Server: topo.ServerID(a.GetOwner()),
		})
	}
	m.publishAnnouncement(topo.GroupID(req.GetGroup()), incarnationOf(req.GetSender()), announcement)
	return nil
}

// publishAnnouncement passes a lessor's decisions that were made off the log to the request
// path.
func (m *Module) publishAnnouncement(group topo.GroupID, lessor core.Incarnation, a core.Announcement) {
	if m.sink == nil {
		return
	}
	for _, active := range a.Activations {
		m.sink.Activated(active.Shard, active.Fence, active.Server)
	}
	if a.Term.Rank > 0 {
		m.sink.Continued(group, a.Term, lessor.Node, lessor.Boot)
	}
}

// deliver passes an input from another node to the worker and waits for the answer.
// Errors are a *ring.FullError, a *StoppingError or the context's error.
func deliver[T any](ctx context.Context, w *worker, in input, answer <-chan T) (T, error) {
	var none T
	if err := w.put(ctx, in); err != nil {
		return none, err
	}
	select {
	case got := <-answer:
		return got, nil
	case <-w.stopped:
		return none, &StoppingError{}
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// put passes an input from another node to the worker. A full inbox refuses it.
func (w *worker) put(ctx context.Context, in input) error {
	err := w.inbox.Put(ctx, in)
	if err != nil {
		metricInboxFull.Add(1)
	}
	return err
}

// MayRenew implements lessor.Directory.
func (m *Module) MayRenew(group topo.GroupID) bool {
	w, exists := m.worker(group)
	if !exists {
		return false
	}
	current := w.current.Load()
	return current.hasRight && m.now() < current.rightUntil
}

// Term implements lessor.Directory.
func (m *Module) Term(group topo.GroupID) (topo.Term, bool) {
	w, exists := m.worker(group)
	if !exists {
		return topo.Term{}, false
	}
	current := w.current.Load()
	return current.term, current.role == core.RoleLessor
}

// MaySend implements lessor.Directory.
func (m *Module) MaySend(group topo.GroupID, shard topo.ShardID, server topo.ServerID, fence topo.Fence) bool {
	w, exists := m.worker(group)
	if !exists {
		return false
	}
	current := w.current.Load()
	end, known := current.serviceUntil[shard.Service]
	if !known || m.now() >= end {
		return false
	}
	return current.granted[shard] == core.Holding{Server: server, Fence: fence}
}
