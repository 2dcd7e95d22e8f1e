package histcheck

import (
	"github.com/burdockspindle/burdockspindle/history"
	"github.com/burdockspindle/burdockspindle/topo"
)

// Options supply what a history does not record.
type Options struct {
	// Idempotent reports whether a method of a service may be repeated. Nil
	// means that GET and HEAD may be, for every service.
	Idempotent func(service topo.Service, method string) bool
	// Settled lists the nodes that were connected and caught up when the
	// history ended. Each must know every acknowledged assignment.
	Settled []topo.NodeID
	// SettledAt is the offset up to which they had applied the log when they
	// were found to have caught up. Assignments in later records are not required
	// of them, because nodes are stopped one after another. 0 requires all.
	SettledAt topo.Offset
}

// mustKnow reports whether the settled nodes must know an assignment.
func (o Options) mustKnow(e history.AssignmentKnown) bool {
	return e.Acknowledged && (o.SettledAt == 0 || e.Fence.Offset <= o.SettledAt)
}

func (o Options) idempotent(service topo.Service, method string) bool {
	if o.Idempotent != nil {
		return o.Idempotent(service, method)
	}
	return method == "GET" || method == "HEAD"
}

// Check applies every plain checker to a history sorted by When.
func Check(events []history.Event, options Options) []Violation {
	var found []Violation
	found = append(found, SoleOwner(events)...)
	found = append(found, AtMostOnce(events, options)...)
	found = append(found, WholeAnswer(events)...)
	found = append(found, NotRun(events, options)...)
	found = append(found, Assignments(events, options)...)
	found = append(found, SiteVersions(events)...)
	return found
}
