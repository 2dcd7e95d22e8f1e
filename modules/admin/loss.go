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
	eventDrainRequested.Log(a.logger, "operator", operatorName(r), "remote", r.RemoteAddr)
	a.drain()
	writeJSON(w, http.StatusAccepted, adminapi.Accepted{Accepted: 1})
}

// postLoss records that machines have stopped permanently, so that the nodes do not
// wait for the leases of these machines to expire.
func (a *api) postLoss(w http.ResponseWriter, r *http.Request) {
	var loss adminapi.Loss
	if err := readJSON(w, r, &loss); err != nil {
		writeError(w, err)
		return
	}
	if problems := checkLoss(a.source.View(), loss); len(problems) > 0 {
		writeError(w, invalidError("the loss is not recorded", problems))
		return
	}
	outcome, err := a.submit(r, &bspb.Record{Body: &bspb.Record_ConfirmLoss{ConfirmLoss: &bspb.ConfirmLoss{
		Servers: toStrings(loss.Servers),
		Nodes:   toStrings(loss.Nodes),
		Source:  "operator " + operatorName(r),
	}}})
	if err == nil && !outcome.Accepted {
		err = newFailure(http.StatusConflict, adminapi.Failure{Code: adminapi.CodeRejected, Message: outcome.Conflict + "; nothing changed"})
	}
	fields := []any{"servers", loss.Servers, "nodes", loss.Nodes, "operator", operatorName(r), "remote", r.RemoteAddr}
	if err != nil {
		eventLossRefused.Log(a.logger, append(fields, "code", string(failureOf(err).Code))...)
		writeError(w, err)
		return
	}
	metricLosses.Add(1)
	eventLossConfirmed.Log(a.logger, append(fields, "offset", outcome.Offset)...)
	writeJSON(w, http.StatusOK, adminapi.Accepted{Accepted: len(loss.Servers) + len(loss.Nodes), Offset: outcome.Offset})
}

func toStrings[T ~string](names []T) []string {
	all := make([]string, len(names))
	for i, name := range names {
		all[i] = string(name)
	}
	return all
}

func newProblem(field, text string) jsonc.Problem {
	return jsonc.Problem{File: "request", Field: field, Text: text}
}

// checkLoss returns all problems of an operator's statement about a loss.
func checkLoss(view *state.View, loss adminapi.Loss) []jsonc.Problem {
	var problems []jsonc.Problem
	if !loss.Stopped {
		problems = append(problems, newProblem("stopped", "must be true: say it only of machines that have stopped for good"))
	}
	if len(loss.Servers)+len(loss.Nodes) == 0 {
		problems = append(problems, newProblem("servers", "name at least one server or node"))
	}
	for _, id := range loss.Servers {
		if _, exists := view.Server(id); !exists {
			problems = append(problems, newProblem("servers", "no server is called "+string(id)))
		}
	}
	for _, id := range loss.Nodes {
		if !isKnownNode(view, id) {
			problems = append(problems, newProblem("nodes", "no node is called "+string(id)))
		}
	}
	return problems
}

// isKnownNode reports whether a node is a member or is still the lessor or standby
// of a group.
func isKnownNode(view *state.View, id topo.NodeID) bool {
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
