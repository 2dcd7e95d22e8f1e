package admin

import (
	"net/http"

	"github.com/burdockspindle/burdockspindle/adminapi"
	"github.com/burdockspindle/burdockspindle/jsonc"
	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"

	bspb "github.com/burdockspindle/burdockspindle/proto/burdockspindle/v1"
)

func (a *api) postDrain(w http.ResponseWriter, r *http.Request) {
	eventDrainAsked.Log(a.logger, "operator", operator(r), "remote", r.RemoteAddr)
	a.drain()
	writeJSON(w, http.StatusAccepted, adminapi.Accepted{Accepted: 1})
}

// postLoss records that machines have stopped for good, so that their leases
// need not be waited for.
func (a *api) postLoss(w http.ResponseWriter, r *http.Request) {
	var loss adminapi.Loss
	if err := readJSON(w, r, &loss); err != nil {
		writeError(w, err)
		return
	}
	if problems := checkLoss(a.source.View(), loss); len(problems) > 0 {
		writeError(w, invalid("the loss is not recorded", problems))
		return
	}
	fate, err := a.submit(r, &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: &bspb.ConfirmLoss{
		Servers: texts(loss.Servers),
		Nodes:   texts(loss.Nodes),
		Source:  "operator " + operator(r),
	}}})
	if err == nil && !fate.Accepted {
		err = failed(http.StatusConflict, adminapi.Failure{Code: adminapi.CodeRejected, Message: fate.Conflict + "; nothing changed"})
	}
	fields := []any{"servers", loss.Servers, "nodes", loss.Nodes, "operator", operator(r), "remote", r.RemoteAddr}
	if err != nil {
		eventLossRefused.Log(a.logger, append(fields, "code", string(bodyOf(err).Code))...)
		writeError(w, err)
		return
	}
	metricLosses.Add(1)
	eventLossConfirmed.Log(a.logger, append(fields, "offset", fate.Offset)...)
	writeJSON(w, http.StatusOK, adminapi.Accepted{Accepted: len(loss.Servers) + len(loss.Nodes), Offset: fate.Offset})
}

func texts[T ~string](names []T) []string {
	all := make([]string, len(names))
	for i, name := range names {
		all[i] = string(name)
	}
	return all
}

func problem(field, text string) jsonc.Problem {
	return jsonc.Problem{File: "request", Field: field, Text: text}
}

// checkLoss returns all that is wrong with an operator's word.
func checkLoss(view *state.View, loss adminapi.Loss) []jsonc.Problem {
	var problems []jsonc.Problem
	if !loss.Stopped {
		problems = append(problems, problem("stopped", "must be true: say it only of machines that have stopped for good"))
	}
	if len(loss.Servers)+len(loss.Nodes) == 0 {
		problems = append(problems, problem("servers", "name at least one server or node"))
	}
	for _, id := range loss.Servers {
		if _, exists := view.Server(id); !exists {
			problems = append(problems, problem("servers", "no server is called "+string(id)))
		}
	}
	for _, id := range loss.Nodes {
		if !knownNode(view, id) {
			problems = append(problems, problem("nodes", "no node is called "+string(id)))
		}
	}
	return problems
}

// knownNode reports whether a node is a member, or still named by a group.
func knownNode(view *state.View, id topo.NodeID) bool {
	if _, exists := view.Node(id); exists {
		return true
	}
	for _, group := range view.Groups() {
		if group.Lessor == id || group.Standby == id {
			return true
		}
	}
	return false
}
