package lessor

import (
	"math"
	"time"

	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/topo"
)

// dumpInterval is how often the member's state is copied for the state dump.
const dumpInterval = 200 * time.Millisecond

// unsettledLogTTLs is how many lease TTLs a lessor may be unsettled before it is logged.
const unsettledLogTTLs = 2

// publish updates the member's state for other goroutines, and logs and counts the
// changes since the last call.
func (w *worker) publish() {
	now := w.module.now()
	status := w.member.Status(now)
	w.report(status, now)
	next := &published{role: status.Role, term: w.member.Term(), alone: w.alone()}
	next.rightUntil, next.hasRight = w.member.RightUntil()
	next.serviceUntil = w.member.ServiceUntil()
	version := w.member.ListsVersion()
	next.granted = w.current.Load().granted
	if version != w.listsVersion {
		w.listsVersion = version
		next.granted = w.member.Granted()
	}
	w.current.Store(next)
	if now-w.dumpAt >= dumpInterval {
		w.dumpAt = now
		dump := w.member.Dump(now)
		w.dump.Store(&dump)
	}
}

// alone reports whether there is no other node in the state.
func (w *worker) alone() bool {
	for _, node := range w.facts.Nodes {
		if node.ID != w.module.self.Node {
			return false
		}
	}
	return true
}

func (w *worker) report(next core.Status, now time.Duration) {
	last := w.last
	logger := w.module.logger
	if next.Role != last.Role || next.Term != last.Term {
		w.reportRole(next, last)
	}
	if next.Settled && !last.Settled {
		eventSettled.Log(logger, "group", w.group, "term", next.Term)
	}
	w.reportAwaited(next, now)
	if next.Role == core.RoleLessor && last.Role == core.RoleLessor {
		w.reportRight(next, last)
		metricUnserved.Add(int64(last.Unserved) * (now - w.lastAt).Milliseconds())
	}
	switch {
	case next.Suspected > last.Suspected:
		eventUnresponsive.Log(logger, "group", w.group, "servers", next.Suspected)
	case next.Suspected < last.Suspected:
		eventResponsive.Log(logger, "group", w.group, "still_silent", next.Suspected)
	}
	w.reportServers()
	w.last, w.lastAt = next, now
}

func (w *worker) reportRole(next, last core.Status) {
	logger := w.module.logger
	switch next.Role {
	case core.RoleLessor:
		metricTakeovers.Add(1)
		eventLessor.Log(logger, "group", w.group, "term", next.Term, "off_log", next.OffLog, "basis", next.Basis)
	case core.RoleStandby:
		eventStandby.Log(logger, "group", w.group, "term", next.Term)
	default:
		eventSteppedDown.Log(logger, "group", w.group, "was", last.Role)
	}
}

// reportAwaited logs, once per term, what shards without an owner wait for.
func (w *worker) reportAwaited(status core.Status, now time.Duration) {
	if status.Term != w.unsettledTerm {
		w.unsettledTerm, w.unsettledSince = status.Term, now
	}
	if status.Role != core.RoleLessor || status.Settled || now-w.unsettledSince < unsettledLogTTLs*w.module.timing.LeaseTTL {
		return
	}
	w.unsettledSince = math.MaxInt64
	awaited := w.member.Awaited(now)
	if awaited.Shards == 0 {
		return
	}
	var unresponsive []string
	for _, incarnation := range awaited.Unresponsive {
		unresponsive = append(unresponsive, string(incarnation.Node)+"@"+string(incarnation.Boot))
	}
	eventAwaited.Log(w.module.logger, "group", w.group, "term", status.Term, "shards", awaited.Shards,
		"silent", unresponsive, "left", awaited.Left, "endless", awaited.Endless)
}

func (w *worker) reportRight(next, last core.Status) {
	logger := w.module.logger
	if next.Mode != last.Mode {
		metricModeChanges.Add(1)
		eventMode.Log(logger, "group", w.group, "mode", next.Mode)
	}
	if !next.MayRenew && last.MayRenew {
		metricRightExpired.Add(1)
		eventRightExpired.Log(logger, "group", w.group, "term", next.Term)
	}
	if next.MayRenew && !last.MayRenew {
		eventRightRegained.Log(logger, "group", w.group, "term", next.Term)
	}
}

// reportServers passes the servers' answers on to membership.ServerReports.
func (w *worker) reportServers() {
	reports := w.module.reports
	if reports == nil {
		return
	}
	servers := w.member.Servers()
	kept := make(map[topo.ServerID]bool, len(servers))
	for _, s := range servers {
		kept[s.ID] = true
		switch {
		case s.Suspected:
			reports.NoteUnresponsive(s.ID, w.module.started.Add(s.RepliedAt))
		case s.Replied && s.RepliedAt > w.reportedAt[s.ID]:
			w.reportedAt[s.ID] = s.RepliedAt
			reports.NoteAnswer(s.ID, s.Draining, w.module.started.Add(s.RepliedAt))
		}
	}
	for id := range w.reportedAt {
		if !kept[id] {
			delete(w.reportedAt, id)
			reports.Forget(id)
		}
	}
}
