package lessor

import (
	"math"
	"time"

	core "github.com/burdockspindle/burdockspindle/lessor"
	"github.com/burdockspindle/burdockspindle/topo"
)

// dumpEvery is how often the member's state is copied for the state dump.
const dumpEvery = 200 * time.Millisecond

// awaitedAfter is how many lease TTLs a lessor may be unsettled before it is logged.
const awaitedAfter = 2

// publish renews what other goroutines may know, and logs and counts what has
// changed since the last time.
func (w *worker) publish() {
	now := w.module.now()
	status := w.member.Status(now)
	w.report(status, now)
	next := &published{role: status.Role, term: w.member.Term(), alone: w.alone()}
	next.until, next.has = w.member.RightUntil()
	next.ends = w.member.ServiceUntil()
	version := w.member.ListsVersion()
	next.granted = w.current.Load().granted
	if version != w.lists {
		w.lists = version
		next.granted = w.member.Granted()
	}
	w.current.Store(next)
	if now-w.dumpAt >= dumpEvery {
		w.dumpAt = now
		dump := w.member.Dump(now)
		w.dump.Store(&dump)
	}
}

// alone reports whether the state knows no other node.
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
		eventSuspected.Log(logger, "group", w.group, "servers", next.Suspected)
	case next.Suspected < last.Suspected:
		eventAnswering.Log(logger, "group", w.group, "still_silent", next.Suspected)
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

// reportAwaited tells, once a term, what keys without an owner wait for.
func (w *worker) reportAwaited(status core.Status, now time.Duration) {
	if status.Term != w.awaitsTerm {
		w.awaitsTerm, w.awaitsFrom = status.Term, now
	}
	if status.Role != core.RoleLessor || status.Settled || now-w.awaitsFrom < awaitedAfter*w.module.timing.LeaseTTL {
		return
	}
	w.awaitsFrom = math.MaxInt64
	awaited := w.member.Awaited(now)
	if awaited.Shards == 0 {
		return
	}
	var silent []string
	for _, run := range awaited.Silent {
		silent = append(silent, string(run.Node)+"@"+string(run.Boot))
	}
	eventAwaited.Log(w.module.logger, "group", w.group, "term", status.Term, "shards", awaited.Shards,
		"silent", silent, "left", awaited.Left, "endless", awaited.Endless)
}

func (w *worker) reportRight(next, last core.Status) {
	logger := w.module.logger
	if next.Mode != last.Mode {
		metricModeChanges.Add(1)
		eventMode.Log(logger, "group", w.group, "mode", next.Mode)
	}
	if !next.MayRenew && last.MayRenew {
		metricRightLost.Add(1)
		eventRightLost.Log(logger, "group", w.group, "term", next.Term)
	}
	if next.MayRenew && !last.MayRenew {
		eventRightBack.Log(logger, "group", w.group, "term", next.Term)
	}
}

// reportServers passes on what servers say of themselves.
func (w *worker) reportServers() {
	words := w.module.words
	if words == nil {
		return
	}
	servers := w.member.Servers()
	kept := make(map[topo.ServerID]bool, len(servers))
	for _, s := range servers {
		kept[s.ID] = true
		switch {
		case s.Suspected:
			words.Silent(s.ID, w.module.started.Add(s.HeardAt))
		case s.Heard && s.HeardAt > w.told[s.ID]:
			w.told[s.ID] = s.HeardAt
			words.Heard(s.ID, s.Draining, w.module.started.Add(s.HeardAt))
		}
	}
	for id := range w.told {
		if !kept[id] {
			delete(w.told, id)
			words.Forget(id)
		}
	}
}
