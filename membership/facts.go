package membership

import (
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
	"github.com/burdockspindle/burdockspindle/vmlist"
)

// facts combines what the VM list and the server's own reports say of one server.
type facts struct {
	authority       authority
	row             vmlist.VM
	listed          bool
	gone            bool // enough lists in a row show the VM as gone
	absentFor       time.Duration
	report          ServerReport
	responding      bool // responded to its lessor recently
	unresponsiveFor time.Duration
}

func (o *Observed) facts(server state.Server, level authority) facts {
	id := string(server.ID)
	f := facts{authority: level, gone: o.Roster.Gone(id), absentFor: o.Roster.AbsentFor(id)}
	f.row, f.listed = o.Roster.Row(id)
	if level != authorityLessor {
		return f
	}
	report, exists := o.Reports[server.ID]
	if !exists {
		return f
	}
	f.report = report
	if !report.Silent.IsZero() {
		f.unresponsiveFor = o.Now.Sub(report.Silent)
	}
	f.responding = !report.At.IsZero() && report.Silent.IsZero() && o.Now.Sub(report.At) < MaxReportAge
	return f
}

// unreachable reports whether the server does not respond to its lessor, or has no
// lessor to respond to.
func (f *facts) unreachable() bool {
	switch f.authority {
	case authorityOrphan:
		return true
	case authorityLessor:
		return f.unresponsiveFor >= UnresponsiveServerAfter
	}
	return false
}

// confirmedGone reports whether the platform says that the VM has stopped and the
// server does not contradict it. A server that still responds takes precedence over
// the list.
func (f *facts) confirmedGone() bool { return f.gone && f.unreachable() }

// removable reports whether the server should be removed from the state once no
// shard refers to it.
func (f *facts) removable() bool {
	return f.unreachable() && (f.gone || f.absentFor >= RemoveServerAfter)
}

// phase returns the server's next phase.
func (f *facts) phase(now state.Phase) state.Phase {
	switch {
	case f.mustDrain():
		if now == state.PhaseGone {
			return now
		}
		return state.PhaseDraining
	case f.mayReturn():
		return state.PhaseLive
	}
	return now
}

// mustDrain reports whether the server should get no new shards: the list or the
// server itself says that it is leaving, it is unresponsive, or it is missing from
// the list and does not respond.
func (f *facts) mustDrain() bool {
	switch {
	case f.listed && f.row.Phase != vmlist.PhaseLive:
		return true
	case f.responding && f.report.Draining:
		return true
	case f.authority == authorityLessor && f.unresponsiveFor >= UnresponsiveServerAfter:
		return true
	}
	return f.unreachable() && f.absentFor >= AbsentServerAfter
}

// mayReturn reports whether the server may get shards again: the list shows it as
// live and the server reports that it is not draining. The list alone is not
// enough, because it may lag behind the server's own report.
func (f *facts) mayReturn() bool {
	return f.listed && f.row.Phase == vmlist.PhaseLive && f.responding && !f.report.Draining
}

// group returns the server's lessor group: the assigned one, or the present one
// as long as shards refer to the server.
func (f *facts) group(server state.Server, perZone int, inUse *serversInUse) topo.GroupID {
	best := AssignGroup(server.Zone, server.ID, perZone)
	if best == server.Group || inUse.has(server.ID) {
		return server.Group
	}
	return best
}
