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
	said       []word
	asked      moment // latest question
}

// word is what one run said, or this run knows of itself.
type word struct {
	run Run
	// at is when the word arrived; the run had stopped by then.
	at time.Duration
	// settled is the latest term that the run knows to be settled.
	settled topo.Term
	// disconnected is the latest term in which the run, as the lessor, asked for
	// disconnected mode, if it tells.
	disconnected topo.Term
	tellsMode    bool
	// asked are the standby lessors that the run asked for it, if it tells.
	asked         []AskedStandby
	tellsStandbys bool
}

// mayHaveAsked reports whether the run may have asked a standby lessor for disconnected
// mode in a term since an offset.
func (w word) mayHaveAsked(standby Run, since topo.Offset) bool {
	if w.tellsStandbys {
		return wasAsked(w.asked, standby, since)
	}
	return !w.tellsMode || w.disconnected.Offset >= since
}

// formerOf returns the lessors of the group's earlier terms. What this run itself
// was has ended.
func (m *Member) formerOf(now time.Duration) former {
	group := m.facts.Group
	f := former{since: group.Term.Offset, settled: group.HeldSince, superseded: m.superseded}
	if group.Former != nil {
		f.runs, f.since = group.Former.Runs, group.Former.Since
	}
	f.note(word{
		run:           m.self(),
		at:            now,
		settled:       m.settledTerm,
		disconnected:  m.disconnectedTerm,
		tellsMode:     true,
		asked:         m.asked.list,
		tellsStandbys: !m.asked.isPartial,
	})
	return f
}

func runOf(r state.FormerRun) Run { return Run{Node: r.Node, Boot: r.Boot} }

// formerSaid takes the reply of a node that may be a former lessor.
func (m *Member) formerSaid(now time.Duration, reply HeartbeatReply) {
	if reply.HighestTerm.Less(m.term) && !m.rules.noSeenTerm {
		return
	}
	w := word{
		run:           reply.From,
		at:            now,
		settled:       reply.SettledTerm,
		disconnected:  reply.DisconnectedTerm,
		tellsMode:     reply.TellsMode,
		asked:         reply.AskedStandbys,
		tellsStandbys: reply.TellsStandbys,
	}
	if !w.settled.Less(m.term) {
		w.settled = topo.Term{} // it has taken this node's term
	}
	m.takeover.former.note(w)
}

// note keeps the first word of each run that is asked for one.
func (f *former) note(w word) {
	listed := func(r state.FormerRun) bool { return runOf(r) == w.run }
	if _, known := f.word(w.run); known || !slices.ContainsFunc(f.runs, listed) {
		return
	}
	f.said = append(slices.Clip(f.said), w)
	f.settled = max(f.settled, w.settled.Offset)
}

func (f *former) word(run Run) (word, bool) {
	i := slices.IndexFunc(f.said, func(w word) bool { return w.run == run })
	if i < 0 {
		return word{}, false
	}
	return f.said[i], true
}

// needed lists the runs whose words are needed: all since the latest settled term.
func (f *former) needed(r rules) []state.FormerRun {
	settled := f.settled
	if r.noSettledWord && len(f.runs) > 0 {
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

// silence is how long a former run that says nothing may go on.
type silence struct {
	unseen limit         // after its term was superseded, if others may support it
	alone  time.Duration // on what it has of the log, or of a standby lessor's promise
}

// rightEnd returns when the right of all former lessors to renew leases has surely
// ended, by their own words or after their silence; never if one of them may go on
// without limit.
func (f *former) rightEnd(s silence, r rules) moment {
	if f.since == 0 {
		return moment{} // not known
	}
	end := momentAt(0)
	complete := f.complete(r)
	if !complete {
		end = s.unseen.endAfter(f.superseded.unlisted)
	}
	said, missing := f.split(f.needed(r), r)
	for _, w := range said {
		end = end.latest(momentAt(w.at))
	}
	alone := complete && (len(missing) == 1 || r.noLone)
	for _, run := range missing {
		one := s.unseen.endAfter(f.superseded.at(run))
		if alone {
			one = one.earlier(f.silentEnd(run, said, s, r))
		}
		end = end.latest(one)
	}
	return end
}

// split returns the words of the runs that are needed, and the runs without one.
func (f *former) split(needed []state.FormerRun, r rules) (said []word, missing []state.FormerRun) {
	for _, run := range needed {
		w, known := f.word(runOf(run))
		switch {
		case known:
			said = append(said, w)
		case r.noStandbyWord && run.Led.Offset < f.settled:
		default:
			missing = append(missing, run)
		}
	}
	return said, missing
}

// silentEnd returns when the right of the only run without a word has ended, as far
// as the others' words bound it. If no lessor asked it for disconnected mode, it has not
// gone on as the standby lessor; and as the lessor it gets no promise any more.
func (f *former) silentEnd(run state.FormerRun, said []word, s silence, r rules) moment {
	if run.StoodBy.Offset >= f.settled && f.mayHaveBeenAsked(run, r) && !r.noConnected && !r.noLone {
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
	return momentAt(supported + s.alone)
}

// mayHaveBeenAsked reports whether a lessor since the latest settled term may have asked
// a standby lessor for disconnected mode, without which that does not go on by itself.
func (f *former) mayHaveBeenAsked(standby state.FormerRun, r rules) bool {
	return slices.ContainsFunc(f.needed(r), func(run state.FormerRun) bool {
		if run.Led.Offset < f.settled || run == standby {
			return false
		}
		w, said := f.word(runOf(run))
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
		w, said := f.word(runOf(run))
		return !said || !w.tellsMode || w.disconnected.Offset >= f.settled
	})
}

// asks lists the nodes whose words are missing.
func (f *former) asks(self Run) []topo.NodeID {
	var nodes []topo.NodeID
	for _, needed := range f.needed(rules{}) {
		run := runOf(needed)
		_, said := f.word(run)
		if run != self && !said && !slices.Contains(nodes, run.Node) {
			nodes = append(nodes, run.Node)
		}
	}
	return nodes
}
