package lessor

import (
	"slices"
	"time"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// former are the runs that may have renewed leases in earlier terms, and their
// words that they have stopped. A run that has seen a later term renews nothing
// under an earlier one, for good.
//
// The words count once they reach back without a gap to a term whose lessor was
// settled: that lessor knew that nobody before it could renew. Lists here are
// never changed in place, so that a copy of the struct is one of its own.
type former struct {
	terms []formerTerm // latest first
	said  []word
	asked moment // latest question
}

// formerTerm is an earlier term and the two runs that may have renewed leases
// in it.
type formerTerm struct {
	term    topo.Term
	lessor  Run
	standby Run // of no node if there was none
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
	var f former
	for earlier := m.facts.Group.Former; earlier != nil; earlier = earlier.Earlier {
		f.terms = append(f.terms, formerTermOf(earlier))
	}
	f.note(word{run: m.self(), at: now, settled: m.settledTerm})
	return f
}

func formerTermOf(f *state.Former) formerTerm {
	return formerTerm{
		term:    f.Term,
		lessor:  Run{Node: f.Lessor, Boot: f.LessorBoot},
		standby: Run{Node: f.Standby, Boot: f.StandbyBoot},
	}
}

// formerSaid takes the reply of a node that may be a former lessor.
func (m *Member) formerSaid(now time.Duration, reply HeartbeatReply) {
	if reply.HighestTerm.Less(m.term) && !m.rules.noSeenTerm {
		return
	}
	m.takeover.former.note(word{run: reply.From, at: now, settled: reply.SettledTerm})
}

// note keeps the first word of each run that is asked for one.
func (f *former) note(w word) {
	asked := func(t formerTerm) bool { return w.run == t.lessor || w.run == t.standby }
	if _, known := f.word(w.run); known || !slices.ContainsFunc(f.terms, asked) {
		return
	}
	f.said = append(slices.Clip(f.said), w)
}

func (f *former) word(run Run) (word, bool) {
	i := slices.IndexFunc(f.said, func(w word) bool { return w.run == run })
	if i < 0 {
		return word{}, false
	}
	return f.said[i], true
}

// ended returns when the right of all former lessors had surely ended by their
// own words; never if one of them is missing, or if the words do not reach a
// settled term.
func (f *former) ended(r rules) moment {
	var end moment
	for _, t := range f.terms {
		at, complete := f.endOf(t, r)
		if !complete {
			return moment{}
		}
		end = end.later(at)
		if f.covers(t, r) {
			return end
		}
	}
	return moment{}
}

// endOf returns when the right of one term's lessors had ended, once each of
// them has said so.
func (f *former) endOf(t formerTerm, r rules) (moment, bool) {
	lessor, said := f.word(t.lessor)
	if !said {
		return moment{}, false
	}
	end := momentAt(lessor.at)
	if t.standby.Node == "" || r.noStandbyWord {
		return end, true
	}
	standby, said := f.word(t.standby)
	return end.later(momentAt(standby.at)), said
}

// covers reports whether a term's lessor said that it was settled in it, so that
// nobody before it can renew.
func (f *former) covers(t formerTerm, r rules) bool {
	lessor, said := f.word(t.lessor)
	return said && (lessor.settled == t.term || r.noSettledWord)
}

// asks lists the former lessors whose word is missing: of the latest terms back
// to the first that covers, or that cannot be told to.
func (f *former) asks(self Run) []topo.NodeID {
	var nodes []topo.NodeID
	ask := func(run Run) {
		_, said := f.word(run)
		if run.Node != "" && run != self && !said && !slices.Contains(nodes, run.Node) {
			nodes = append(nodes, run.Node)
		}
	}
	for _, t := range f.terms {
		ask(t.lessor)
		ask(t.standby)
		if _, said := f.word(t.lessor); !said || f.covers(t, rules{}) {
			break
		}
	}
	return nodes
}
