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
// The answers count once every run since a settled term has given one: the lessor
// of that term knew that nobody before it could renew. Lists here are never changed
// in place, so that a copy of the struct is one of its own.
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
	// settled is the latest term by which the run was a settled lessor.
	settled topo.Term
}

// formerOf returns the lessors of the group's earlier terms. What this run itself
// was has ended.
func (m *Member) formerOf(now time.Duration) former {
	group := m.facts.Group
	f := former{since: group.Term.Offset, settled: group.HeldSince, superseded: m.superseded}
	if group.Former != nil {
		f.runs, f.since = group.Former.Runs, group.Former.Since
	}
	f.note(word{run: m.self(), at: now, settled: m.settledTerm})
	return f
}

func runOf(r state.FormerRun) Run { return Run{Node: r.Node, Boot: r.Boot} }

// formerSaid takes the reply of a node that may be a former lessor.
func (m *Member) formerSaid(now time.Duration, reply HeartbeatReply) {
	if reply.HighestTerm.Less(m.term) && !m.rules.noSeenTerm {
		return
	}
	w := word{run: reply.From, at: now, settled: reply.SettledTerm}
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

// rightEnd returns when the right of all former lessors to renew leases has surely
// ended: by their own words, or silence after their latest terms were superseded;
// never if one of them may go on without limit.
func (f *former) rightEnd(silence limit, r rules) moment {
	var end moment
	if !f.complete(r) {
		end = silence.endAfter(f.superseded.unlisted)
		if !end.set {
			return end
		}
	}
	for _, needed := range f.needed(r) {
		one := f.rightEndOf(needed, silence, r)
		if !one.set {
			return one
		}
		end = end.later(one)
	}
	return end
}

func (f *former) rightEndOf(needed state.FormerRun, silence limit, r rules) moment {
	w, said := f.word(runOf(needed))
	switch {
	case said:
		return momentAt(w.at)
	case r.noStandbyWord && needed.Led.Offset < f.settled:
		return momentAt(0)
	}
	return silence.endAfter(f.superseded.at(needed))
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
