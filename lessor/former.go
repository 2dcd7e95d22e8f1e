package lessor

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// former are the runs that may have renewed leases in earlier terms, and their
// answers that they have stopped. A run that has seen a later term renews nothing
// under an earlier one, for good.
//
// The answers count for the runs since a settled term: the lessor of that term knew
// that nobody before it could renew. Lists here are never changed in place, so that a
// copy of the struct is one of its own.
type former struct {
	runs []state.FormerRun // by their latest terms, the latest first
	// since is the offset of the first term from which on no run is missing.
	since topo.Offset
	// settled is the latest term known to be settled: every lease of terms before
	// it has ended.
	settled    topo.Offset
	superseded supersessions
	replies    []stopReply
	askedAt    moment // latest question
}

// stopReply is what one run said, or this run knows of itself.
type stopReply struct {
	run Run
	// at is when the word arrived; the run had stopped by then.
	at time.Duration
	// settled is the latest term that the run knows to be settled.
	settled topo.Term
	// disconnected is the latest term in which the run, as the lessor, asked for
	// disconnected mode, if it tells.
	disconnected topo.Term
	reportsMode  bool
	// askedStandbys are the standby lessors that the run asked for it, if it tells.
	askedStandbys   []AskedStandby
	reportsStandbys bool
}

// mayHaveAsked reports whether the run may have asked a standby lessor for disconnected
// mode in a term since an offset.
func (w stopReply) mayHaveAsked(standby Run, since topo.Offset) bool {
	if w.reportsStandbys {
		return wasAsked(w.askedStandbys, standby, since)
	}
	return !w.reportsMode || w.disconnected.Offset >= since
}

// formerOf returns the lessors of the group's earlier terms. What this run itself
// was has ended.
func (m *Member) formerOf(now time.Duration) former {
	group := m.facts.Group
	f := former{since: group.Term.Offset, settled: group.HeldSince, superseded: m.superseded}
	if group.Former != nil {
		f.runs, f.since = group.Former.Runs, group.Former.Since
	}
	f.record(stopReply{
		run:             m.self(),
		at:              now,
		settled:         m.settledTerm,
		disconnected:    m.disconnectedTerm,
		reportsMode:     true,
		askedStandbys:   m.askedStandbys.list,
		reportsStandbys: !m.askedStandbys.isPartial,
	})
	return f
}

func runOf(r state.FormerRun) Run { return Run{Node: r.Node, Boot: r.Boot} }

// recordFormerReply takes the reply of a node that may be a former lessor.
func (m *Member) recordFormerReply(now time.Duration, reply HeartbeatReply) {
	if reply.HighestTerm.Less(m.term) && !m.rules.noSeenTerm {
		return
	}
	w := stopReply{
		run:             reply.From,
		at:              now,
		settled:         reply.SettledTerm,
		disconnected:    reply.DisconnectedTerm,
		reportsMode:     reply.TellsMode,
		askedStandbys:   reply.AskedStandbys,
		reportsStandbys: reply.TellsStandbys,
	}
	if !w.settled.Less(m.term) {
		w.settled = topo.Term{} // it has taken this node's term
	}
	m.takeover.former.record(w)
}

// record keeps the first word of each run that is asked for one.
func (f *former) record(w stopReply) {
	listed := func(r state.FormerRun) bool { return runOf(r) == w.run }
	if _, known := f.reply(w.run); known || !slices.ContainsFunc(f.runs, listed) {
		return
	}
	f.replies = append(slices.Clip(f.replies), w)
	f.settled = max(f.settled, w.settled.Offset)
}

func (f *former) reply(run Run) (stopReply, bool) {
	i := slices.IndexFunc(f.replies, func(w stopReply) bool { return w.run == run })
	if i < 0 {
		return stopReply{}, false
	}
	return f.replies[i], true
}

// needed lists the runs whose words are needed: all since the latest settled term.
func (f *former) needed(r rules) []state.FormerRun {
	settled := f.settled
	if r.noSettledReply && len(f.runs) > 0 {
		settled = f.runs[0].Latest().Offset
	}
	count := 0
	for count < len(f.runs) && f.runs[count].Latest().Offset >= settled {
		count++
	}
	return f.runs[:count]
}

// complete reports whether no run since the latest settled term is missing from
// the list.
func (f *former) complete(r rules) bool { return f.settled >= f.since || r.noComplete }

// stopBounds is how long a former run that says nothing may go on.
type stopBounds struct {
	sinceSuperseded limit         // after its term was superseded, if others may support it
	sinceSupport    time.Duration // on what it has of the log, or of a standby lessor's promise
}

// rightEnd returns when the right of all former lessors to renew leases has surely
// ended, by their own words or after their silence; never if one of them may go on
// without limit.
func (f *former) rightEnd(s stopBounds, r rules) moment {
	if f.since == 0 {
		return moment{} // not known
	}
	end := momentAt(0)
	complete := f.complete(r)
	if !complete {
		end = s.sinceSuperseded.endAfter(f.superseded.unlisted)
	}
	said, missing := f.split(f.needed(r), r)
	for _, w := range said {
		end = end.latest(momentAt(w.at))
	}
	alone := complete && (len(missing) == 1 || r.noSingleMissing)
	for _, run := range missing {
		one := s.sinceSuperseded.endAfter(f.superseded.at(run))
		if alone {
			one = one.earlier(f.unresponsiveEnd(run, said, s, r))
		}
		end = end.latest(one)
	}
	return end
}

// split returns the words of the runs that are needed, and the runs without one.
func (f *former) split(needed []state.FormerRun, r rules) (said []stopReply, missing []state.FormerRun) {
	for _, run := range needed {
		w, known := f.reply(runOf(run))
		switch {
		case known:
			said = append(said, w)
		case r.noStandbyReply && run.Led.Offset < f.settled:
		default:
			missing = append(missing, run)
		}
	}
	return said, missing
}

// unresponsiveEnd returns when the right of the only run without a word has ended, as far
// as the others' words bound it. If no lessor asked it for disconnected mode, it has not
// gone on as the standby lessor; and as the lessor it gets no promise any more.
func (f *former) unresponsiveEnd(run state.FormerRun, said []stopReply, s stopBounds, r rules) moment {
	if run.StoodBy.Offset >= f.settled && f.mayHaveBeenAsked(run, r) && !r.noConnected && !r.noSingleMissing {
		return moment{}
	}
	if run.Led.Offset < f.settled {
		return momentAt(0)
	}
	supported := f.superseded.at(run)
	for _, w := range said {
		supported = max(supported, w.at)
	}
	if r.noPromise {
		return momentAt(supported)
	}
	return momentAt(supported + s.sinceSupport)
}

// mayHaveBeenAsked reports whether a lessor since the latest settled term may have asked
// a standby lessor for disconnected mode, without which that does not go on by itself.
func (f *former) mayHaveBeenAsked(standby state.FormerRun, r rules) bool {
	return slices.ContainsFunc(f.needed(r), func(run state.FormerRun) bool {
		if run.Led.Offset < f.settled || run == standby {
			return false
		}
		w, said := f.reply(runOf(run))
		return !said || w.mayHaveAsked(runOf(standby), f.settled)
	})
}

// stayedConnected reports whether no lessor since the latest settled term has asked for
// disconnected mode, without which no standby server is activated.
func (f *former) stayedConnected(r rules) bool {
	if f.since == 0 || !f.complete(r) {
		return false
	}
	return !slices.ContainsFunc(f.needed(r), func(run state.FormerRun) bool {
		if run.Led.Offset < f.settled {
			return false
		}
		w, said := f.reply(runOf(run))
		return !said || !w.reportsMode || w.disconnected.Offset >= f.settled
	})
}

// nodesToAsk lists the nodes whose words are missing.
func (f *former) nodesToAsk(self Run) []topo.NodeID {
	var nodes []topo.NodeID
	for _, needed := range f.needed(rules{}) {
		run := runOf(needed)
		_, said := f.reply(run)
		if run != self && !said && !slices.Contains(nodes, run.Node) {
			nodes = append(nodes, run.Node)
		}
	}
	return nodes
}
