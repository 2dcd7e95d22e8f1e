package admin

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/peer"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

const (
	// moveTimeout is the timeout of a move request to a lessor.
	moveTimeout = 3 * time.Second
	// moveRetryAfter is the delay before an operator retries a move request that
	// the lessor did not answer. By then another lessor has taken over.
	moveRetryAfter = 3 * time.Second
	defaultReason  = "operator"
)

// plannedMoves maps the group of the shards' owners to its validated moves.
type plannedMoves map[topo.GroupID][]*bspb.ShardMove

// postMoves requests planned moves from the lessors of the shards' owners, because
// only these lessors may change an owned shard.
func (a *api) postMoves(w http.ResponseWriter, r *http.Request) {
	var request adminapi.Moves
	if err := readJSON(w, r, &request); err != nil {
		writeError(w, err)
		return
	}
	view := a.source.View()
	planned, problems := planMoves(view, request.Moves)
	if len(problems) > 0 {
		eventMovesRefused.Log(a.logger, "problems", len(problems), "operator", operatorName(r), "remote", r.RemoteAddr)
		writeError(w, invalidError("no move is asked for", problems))
		return
	}
	if request.Reason == "" {
		request.Reason = defaultReason
	}
	accepted := 0
	for _, id := range sortedKeys(planned) {
		count, err := a.requestMoves(r.Context(), view, id, planned[id], request.Reason)
		accepted += count
		if err != nil {
			body := failureOf(err)
			body.Message += "; accepted before: " + strconv.Itoa(accepted)
			eventMovesRefused.Log(a.logger, "group", id, "code", string(body.Code), "operator", operatorName(r), "remote", r.RemoteAddr)
			writeError(w, err)
			return
		}
	}
	metricMoves.Add(int64(len(request.Moves)))
	eventMovesRequested.Log(a.logger, "asked", len(request.Moves), "accepted", accepted, "reason", request.Reason,
		"operator", operatorName(r), "remote", r.RemoteAddr)
	writeJSON(w, http.StatusAccepted, adminapi.Accepted{Accepted: accepted})
}

// planMoves validates every move against the state and groups the valid moves by
// the owner's group.
func planMoves(view *state.View, moves []adminapi.Move) (plannedMoves, []jsonc.Problem) {
	planned := plannedMoves{}
	var problems []jsonc.Problem
	if len(moves) == 0 {
		problems = append(problems, newProblem("moves", "name at least one move"))
	}
	for i, move := range moves {
		field := "moves[" + strconv.Itoa(i) + "]"
		group, encoded, text := planMove(view, move)
		if text != "" {
			problems = append(problems, newProblem(field, text))
			continue
		}
		planned[group] = append(planned[group], encoded)
	}
	return planned, problems
}

// planMove validates one move and encodes it. The returned text describes the
// problem of an invalid move and is empty for a valid one.
func planMove(view *state.View, move adminapi.Move) (topo.GroupID, *bspb.ShardMove, string) {
	id, err := topo.ParseShardID(move.Shard)
	if err != nil {
		return "", nil, err.Error()
	}
	shard, exists := view.Shard(id)
	if !exists {
		return "", nil, "no such shard: " + move.Shard
	}
	owner, hasOwner := view.Server(shard.Owner)
	if shard.Fence.IsZero() || !hasOwner {
		return "", nil, "the shard has no owner; it will be assigned without being asked for"
	}
	if move.To == shard.Owner {
		return "", nil, string(move.To) + " owns the shard already"
	}
	if text := targetProblem(view, id.Service, move.To); text != "" {
		return "", nil, text
	}
	if move.Standby != "" {
		if text := targetProblem(view, id.Service, move.Standby); text != "" {
			return "", nil, "standby: " + text
		}
		if move.Standby == move.To {
			return "", nil, "standby must be another server than to"
		}
	}
	return owner.Group, &bspb.ShardMove{
		Shard:   &bspb.ShardRef{Service: string(id.Service), Index: id.Index, Key: id.Key},
		Fence:   &bspb.Ordinal{Offset: uint64(shard.Fence.Offset), Rank: shard.Fence.Rank},
		To:      string(move.To),
		Standby: string(move.Standby),
	}, ""
}

// targetProblem describes why a server cannot take a shard of a service. It is
// empty if the server can.
func targetProblem(view *state.View, service topo.Service, id topo.ServerID) string {
	server, exists := view.Server(id)
	switch {
	case !exists:
		return "no server is called " + string(id)
	case server.Service != service:
		return string(id) + " serves " + string(server.Service) + ", not " + string(service)
	case server.Phase != state.PhaseLive || view.ServerLost(id):
		return string(id) + " takes no new shards"
	}
	return ""
}

// requestMoves sends moves to the lessor of a group, which may be this node, and
// returns the number of accepted moves.
func (a *api) requestMoves(ctx context.Context, view *state.View, id topo.GroupID, moves []*bspb.ShardMove, reason string) (int, error) {
	group, exists := view.Group(id)
	if !exists {
		return 0, noLessorError(id, "it has no lessor")
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	request := &bspb.MoveRequest{Sender: a.peers.Sender(), Group: string(id), Moves: moves, Reason: reason}
	response, err := a.callMove(ctx, group.Lessor, request)
	if err == nil {
		return int(response.GetAccepted()), nil
	}
	var call *peer.CallError
	if errors.As(err, &call) && !call.Sent {
		return 0, noLessorError(id, err.Error())
	}
	message := "group " + string(id) + ": no answer from its lessor, the moves may come: " + err.Error()
	return 0, unavailable(adminapi.CodeMoveUnknown, message, moveRetryAfter)
}

func noLessorError(id topo.GroupID, why string) error {
	message := "group " + string(id) + ": its lessor was not asked: " + why
	return unavailable(adminapi.CodeNoLessor, message, moveRetryAfter)
}

func (a *api) callMove(ctx context.Context, lessor topo.NodeID, request *bspb.MoveRequest) (*bspb.MoveResponse, error) {
	if lessor == a.identity.Node && a.localMoves != nil && a.localMoves.Move != nil {
		return a.localMoves.Move(ctx, request)
	}
	return a.peers.Move(ctx, lessor, request)
}
