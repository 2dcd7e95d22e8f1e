package router

import (
	"net/http"
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/gateway/quarantine"
	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// crashRefusal refuses a request under which servers ended. It has no Retry-After, because a
// return does not help.
var crashRefusal = &refusal{status: http.StatusServiceUnavailable, reason: "servers ended under this request"}

// ownQuarantine holds the requests that this node quarantines on its own observations,
// which covers the time in which no lessor receives its reports. It is safe for concurrent
// use.
type ownQuarantine struct {
	mu    sync.Mutex
	table *quarantine.Table
	list  quarantine.List
	// trials holds the latest trial in which this node sent each request.
	trials map[quarantine.Fingerprint]int
}

// maxTrials bounds the remembered trials.
const maxTrials = 4096

func newOwnQuarantine() *ownQuarantine {
	return &ownQuarantine{table: quarantine.NewTable(quarantine.OwnThreshold), trials: map[quarantine.Fingerprint]int{}}
}

// current returns the suspected and quarantined requests.
func (q *ownQuarantine) current(now time.Time) quarantine.List {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.Update(now) {
		q.list = q.table.List()
	}
	return q.list
}

func (q *ownQuarantine) noteCrash(server site.ServerID, request crashedRequest, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.NoteCrash(server, request.fingerprint, request.caller, now)
}

func (q *ownQuarantine) noteAnswer(request quarantine.Fingerprint, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.NoteAnswer(request, now)
}

// startTrial reports whether this node has not sent a request in a trial yet, and records
// that it sends it now.
func (q *ownQuarantine) startTrial(request quarantine.Fingerprint, trial int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if trial == q.trials[request] { // a lower one is of a lessor that counts anew
		return false
	}
	if len(q.trials) >= maxTrials {
		clear(q.trials)
	}
	q.trials[request] = trial
	return true
}

// knows reports whether a server ended while it had the request of this node.
func (q *ownQuarantine) knows(request quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Knows(request)
}

// isEmpty reports whether no server ended while it had a request of this node.
func (q *ownQuarantine) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.IsEmpty()
}

// maySend reports whether the request may be sent. A quarantined one may be sent once if it
// is this node's turn to try it.
func (x *exchange) maySend() bool {
	if !x.isQuarantined() {
		return true
	}
	if x.isTrial || !x.startTrial() {
		return false
	}
	x.isTrial = true
	x.trace.note("sent as a trial of a quarantined request")
	return true
}

// startTrial reports whether this node sends the quarantined request once now.
func (x *exchange) startTrial() bool {
	shared, own := x.suspicions()
	trial := own[x.fingerprint()].Trial
	if shared.IsQuarantined(x.fingerprint()) {
		members := x.router.state.Now().Members
		node, hasTrial := shared.TrialNode(x.fingerprint(), len(members))
		if !hasTrial || members[node].Node != x.router.node {
			return false
		}
		trial = shared[x.fingerprint()].Trial
	}
	return x.router.quarantined.startTrial(x.fingerprint(), trial)
}

// isQuarantined reports whether the request must not be sent. While nothing is suspected,
// the request is not hashed.
func (x *exchange) isQuarantined() bool {
	shared, own := x.suspicions()
	if len(shared)+len(own) == 0 {
		return false
	}
	return shared.IsQuarantined(x.fingerprint()) || own.IsQuarantined(x.fingerprint())
}

// suspicions returns the list of the lessor and that of this node.
func (x *exchange) suspicions() (shared, own quarantine.List) {
	return x.router.state.Now().Quarantine.List, x.router.quarantined.current(time.Now())
}

// noteAnswered reports that a server has answered a suspected request. Errors do not count: a
// failing server may send them without running the request.
func (x *exchange) noteAnswered() {
	shared := x.router.state.Now().Quarantine.List
	if len(shared) == 0 && x.router.quarantined.isEmpty() {
		return
	}
	if _, isShared := shared[x.fingerprint()]; isShared || x.router.quarantined.knows(x.fingerprint()) {
		x.router.quarantined.noteAnswer(x.fingerprint(), time.Now())
		x.router.reports.NoteAnswer(x.fingerprint())
	}
}
