package planner

import (
	"context"

	"github.com/burdockspindle/burdockspindle/peer"
	core "github.com/burdockspindle/burdockspindle/planner"
	"github.com/burdockspindle/burdockspindle/ring"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

// moveResult is the outcome of one request to a lessor.
type moveResult struct {
	request  *core.Request
	accepted uint32
	err      error
}

// mover sends requests to lessors. Each request is sent by its own goroutine, so
// that an unresponsive lessor delays only the requests of its group. At most
// maxSenders requests are in flight.
type mover struct {
	module   *Module
	requests *ring.Ring[*core.Request]
	results  *ring.Ring[moveResult]
}

// maxSenders is the maximum number of requests that are sent concurrently.
const maxSenders = 16

// run sends requests until ctx ends.
func (m *mover) run(ctx context.Context) {
	slots := make(chan struct{}, maxSenders)
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-m.requests.Items():
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			m.module.running.Go(func() {
				defer func() { <-slots }()
				accepted, err := m.send(ctx, request)
				_ = m.results.Put(ctx, moveResult{request: request, accepted: accepted, err: err})
			})
		}
	}
}

// send sends a request to the group's lessor, which may be this node, and returns
// the number of accepted moves.
func (m *mover) send(ctx context.Context, request *core.Request) (uint32, error) {
	group, exists := m.module.source.View().Group(request.Group)
	if !exists {
		return 0, &NoLessorError{Group: request.Group}
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	metricMovesRequested.Add(request.Reason, int64(len(request.Moves)))
	eventMovesRequested.Log(m.module.logger, "group", request.Group, "lessor", group.Lessor,
		"reason", request.Reason, "moves", len(request.Moves))
	response, err := m.call(ctx, group.Lessor, request.Proto())
	if err != nil {
		return 0, err
	}
	return response.GetAccepted(), nil
}

func (m *mover) call(ctx context.Context, lessor topo.NodeID, request *bspb.MoveRequest) (*bspb.MoveResponse, error) {
	if lessor != m.module.identity.Node {
		return m.module.caller.Move(ctx, lessor, request)
	}
	if m.module.handlers.Move == nil {
		return nil, &peer.UnimplementedError{Kind: peer.KindMove}
	}
	request.Sender = m.module.caller.Sender()
	return m.module.handlers.Move(ctx, request)
}

// NoLessorError reports a group that has no lessor.
type NoLessorError struct{ Group topo.GroupID }

// Error implements error.
func (e *NoLessorError) Error() string { return "group " + string(e.Group) + " has no lessor" }
