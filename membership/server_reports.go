package membership

import (
	"sync"
	"time"

	"github.com/burdockspindle/burdockspindle/topo"
)

// MaxReportAge is the age up to which a server's report is used.
const MaxReportAge = 3 * time.Second

// ServerReport is the latest state of a server as observed by its lessor.
type ServerReport struct {
	At       time.Time // time of the latest answer; zero if there is none
	Draining bool      // the server reported that it is draining
	// Silent is the time since which the server has been unresponsive; zero while it
	// answers.
	Silent time.Time
}

// ServerReports collects the reports that the lessors on this node receive from
// their servers. The membership module provides it and the lessor module updates
// it. It is safe for concurrent use.
type ServerReports struct {
	mu       sync.Mutex
	byServer map[topo.ServerID]ServerReport
	changed  chan struct{} // size 1; signals that a report differs from the previous one
}

// NewServerReports returns an empty collection.
func NewServerReports() *ServerReports {
	return &ServerReports{byServer: map[topo.ServerID]ServerReport{}, changed: make(chan struct{}, 1)}
}

// NoteAnswer records an answer of a server to its lessor.
func (r *ServerReports) NoteAnswer(id topo.ServerID, draining bool, now time.Time) {
	r.mu.Lock()
	last := r.byServer[id]
	r.byServer[id] = ServerReport{At: now, Draining: draining}
	r.mu.Unlock()
	if last.At.IsZero() || last.Draining != draining || !last.Silent.IsZero() {
		r.signalChange()
	}
}

// NoteUnresponsive records that a server does not answer its lessor; since is the
// time since which it has been unresponsive.
func (r *ServerReports) NoteUnresponsive(id topo.ServerID, since time.Time) {
	r.mu.Lock()
	last := r.byServer[id]
	wasResponsive := last.Silent.IsZero()
	if wasResponsive {
		last.Silent = since
		r.byServer[id] = last
	}
	r.mu.Unlock()
	if wasResponsive {
		r.signalChange()
	}
}

// Forget removes the report of a server that this node is not the lessor of.
func (r *ServerReports) Forget(id topo.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byServer, id)
}

// Changed returns a channel that receives a value after a server's report has
// changed.
func (r *ServerReports) Changed() <-chan struct{} { return r.changed }

// All returns a copy of all reports.
func (r *ServerReports) All() map[topo.ServerID]ServerReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := make(map[topo.ServerID]ServerReport, len(r.byServer))
	for id, report := range r.byServer {
		reports[id] = report
	}
	return reports
}

func (r *ServerReports) signalChange() {
	select {
	case r.changed <- struct{}{}:
	default: // a change is already signalled
	}
}
