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
	// moveTimeout is how long a lessor's answer is waited for.
	moveTimeout = 3 * time.Second
	// moveRetryAfter is when to ask again after a lessor gave no answer: by
	// then another has taken over.
	moveRetryAfter = 3 * time.Second
	defaultReason  = "operator"
)

// plannedMoves are checked moves by the group of the shards' owners.
type plannedMoves map[topo.GroupID][]*bspb.ShardMove

// postMoves asks the lessors of the shards' owners for planned moves. Only they
// may change an owned shard.
func (a *api) postMoves(w http.ResponseWriter, r *http.Request) {
	var wanted adminapi.Moves
	if err := readJSON(w, r, &wanted); err != nil {
		writeError(w, err)
		return
	}
	view := a.source.View()
	planned, problems := planMoves(view, wanted.Moves)
	if len(problems) > 0 {
		eventMovesRefused.Log(a.logger, "problems", len(problems), "operator", operator(r), "remote", r.RemoteAddr)
		writeError(w, invalid("no move is asked for", problems))
		return
	}
	if wanted.Reason == "" {
		wanted.Reason = defaultReason
	}
	accepted := 0
	for _, id := range sortedKeys(planned) {
		count, err := a.askLessor(r.Context(), view, id, planned[id], wanted.Reason)
		accepted += count
		if err != nil {
			body := bodyOf(err)
			body.Message += "; accepted before: " + strconv.Itoa(accepted)
			eventMovesRefused.Log(a.logger, "group", id, "code", string(body.Code), "operator", operator(r), "remote", r.RemoteAddr)
			writeError(w, err)
			return
		}
	}
	metricMoves.Add(int64(len(wanted.Moves)))
	eventMovesAsked.Log(a.logger, "asked", len(wanted.Moves), "accepted", accepted, "reason", wanted.Reason,
		"operator", operator(r), "remote", r.RemoteAddr)
	writeJSON(w, http.StatusAccepted, adminapi.Accepted{Accepted: accepted})
}

// planMoves checks every move against the state and sorts them by group.
func planMoves(view *state.View, wanted []adminapi.Move) (plannedMoves, []jsonc.Problem) {
	planned := plannedMoves{}
	var problems []jsonc.Problem
	if len(wanted) == 0 {
		problems = append(problems, problem("moves", "name at least one move"))
	}
	for i, move := range wanted {
		field := "moves[" + strconv.Itoa(i) + "]"
		group, encoded, text := planMove(view, move)
		if text != "" {
			problems = append(problems, problem(field, text))
			continue
		}
		planned[group] = append(planned[group], encoded)
	}
	return planned, problems
}

// planMove checks one move; the text says what is wrong with it.
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
	if text := checkTarget(view, id.Service, move.To); text != "" {
		return "", nil, text
	}
	if move.Standby != "" {
		if text := checkTarget(view, id.Service, move.Standby); text != "" {
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

// checkTarget says why a server cannot take a shard of a service; empty when it
// can.
func checkTarget(view *state.View, service topo.Service, id topo.ServerID) string {
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

// askLessor asks a group's lessor, which may be this node, for moves.
func (a *api) askLessor(ctx context.Context, view *state.View, id topo.GroupID, moves []*bspb.ShardMove, reason string) (int, error) {
	group, exists := view.Group(id)
	if !exists {
		return 0, noLessor(id, "it has no lessor")
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	request := &bspb.MoveRequest{Sender: a.peers.Sender(), Group: string(id), Moves: moves, Reason: reason}
	answer, err := a.callMove(ctx, group.Lessor, request)
	if err == nil {
		return int(answer.GetAccepted()), nil
	}
	var call *peer.CallError
	if errors.As(err, &call) && !call.Sent {
		return 0, noLessor(id, err.Error())
	}
	message := "group " + string(id) + ": no answer from its lessor, the moves may come: " + err.Error()
	return 0, unavailable(adminapi.CodeMoveUnknown, message, moveRetryAfter)
}

func noLessor(id topo.GroupID, why string) error {
	message := "group " + string(id) + ": its lessor was not asked: " + why
	return unavailable(adminapi.CodeNoLessor, message, moveRetryAfter)
}

func (a *api) callMove(ctx context.Context, lessor topo.NodeID, request *bspb.MoveRequest) (*bspb.MoveResponse, error) {
	if lessor == a.identity.Node && a.localMoves != nil && a.localMoves.Move != nil {
		return a.localMoves.Move(ctx, request)
	}
	return a.peers.Move(ctx, lessor, request)
}
