package lessor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// runs of a group whose terms were 10 (l, standby s), 20 (c, standby b) and 30 (b,
// standby d).
var threeTerms = []state.FormerRun{
	formerRun("b", 30, 20), formerRun("d", 0, 30), formerRun("c", 20, 0), formerRun("l", 10, 0), formerRun("s", 0, 10),
}

func formerRun(node topo.NodeID, led, stoodBy topo.Offset) state.FormerRun {
	return state.FormerRun{
		Node: node, Boot: topo.BootID(node) + "-1", Led: topo.MakeTerm(led, 0), StoodBy: topo.MakeTerm(stoodBy, 0),
	}
}

// TestFormerWordsReachBackToASettledTerm: words shorten a wait only when every run
// since a settled term has given one.
func TestFormerWordsReachBackToASettledTerm(t *testing.T) {
	says := func(node topo.NodeID, at time.Duration, settled topo.Offset) word {
		return word{run: Run{Node: node, Boot: topo.BootID(node) + "-1"}, at: at, settled: topo.MakeTerm(settled, 0)}
	}
	restarted := word{run: Run{Node: "s", Boot: "s-2"}, at: 6}
	const fromFirst, fromLatest, known = 10, 30, 5
	rows := []struct {
		name    string
		since   topo.Offset // no run is missing since
		settled topo.Offset // by the log
		words   []word
		ended   moment
		asks    []topo.NodeID
	}{
		{"nobody", fromFirst, known, nil, moment{}, []topo.NodeID{"b", "d", "c", "l", "s"}},
		{"the latest pair, settled", fromFirst, known, []word{says("b", 1, 30), says("d", 2, 0)}, momentAt(2), nil},
		{"the latest lessor alone", fromFirst, known, []word{says("b", 1, 30)}, moment{}, []topo.NodeID{"d"}},
		{"the latest pair, unsettled", fromFirst, known, []word{says("b", 1, 0), says("d", 2, 0)}, moment{}, []topo.NodeID{"c", "l", "s"}},
		{"a gap", fromFirst, known, []word{says("b", 1, 0), says("d", 2, 0), says("l", 3, 10), says("s", 4, 0)}, moment{},
			[]topo.NodeID{"c"}},
		{"all, without one that was settled, incomplete", fromFirst, known,
			[]word{says("b", 1, 0), says("d", 2, 0), says("c", 3, 0), says("l", 4, 0), says("s", 5, 0)}, moment{}, nil},
		{"all, without one that was settled, since the first term", fromFirst, fromFirst,
			[]word{says("b", 1, 0), says("d", 2, 0), says("c", 3, 0), says("l", 4, 0), says("s", 5, 0)}, momentAt(5), nil},
		{"all, the first one settled", fromFirst, known,
			[]word{says("b", 1, 0), says("d", 2, 0), says("c", 9, 0), says("l", 4, 10), says("s", 5, 0)}, momentAt(9), nil},
		{"settled in a term that is not listed", fromFirst, known, []word{says("b", 1, 7), says("d", 2, 0)}, moment{},
			[]topo.NodeID{"c", "l", "s"}},
		{"another run of a standby lessor", fromFirst, known,
			[]word{says("b", 1, 0), says("d", 2, 0), says("c", 3, 0), says("l", 4, 10), restarted}, moment{}, []topo.NodeID{"s"}},
		{"a settled term before those that are listed whole", fromLatest, known,
			[]word{says("b", 1, 20), says("d", 2, 0), says("c", 3, 0)}, moment{}, nil},
		{"settled by the log", fromFirst, 30, []word{says("b", 1, 0), says("d", 2, 0)}, momentAt(2), nil},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := former{runs: threeTerms, since: row.since, settled: row.settled}
			for _, w := range row.words {
				f.note(w)
			}
			g.Expect(f.rightEnd(limit{forever: true}, rules{})).To(gomega.Equal(row.ended))
			g.Expect(f.asks(Run{Node: "a", Boot: "a-1"})).To(gomega.Equal(row.asks))
		})
	}
}

// TestFirstWordOfARunStands: what a run says later, when it may have become the
// lessor of a later term, changes nothing of when it had stopped.
func TestFirstWordOfARunStands(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor := Run{Node: "l", Boot: "l-1"}
	f := former{runs: []state.FormerRun{formerRun("l", 10, 0)}, since: 10, settled: 10}
	f.note(word{run: lessor, at: 1, settled: topo.MakeTerm(10, 0)})
	copied := f
	f.note(word{run: lessor, at: 5})
	f.note(word{run: Run{Node: "x", Boot: "1"}, at: 5})
	g.Expect(f).To(gomega.Equal(copied))
	g.Expect(f.rightEnd(limit{forever: true}, rules{})).To(gomega.Equal(momentAt(1)))
}

// A run that has become the lessor of a later term and settled says nothing of the
// terms before the one that asks.
func TestSettledWordOfALaterTermIsNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember(Config{Node: "a", Boot: "a-1", Group: searchGroup})
	m.term = topo.MakeTerm(40, 0)
	m.takeover.former = former{runs: threeTerms, since: 10, settled: 10}
	m.formerSaid(1, HeartbeatReply{
		From: Run{Node: "b", Boot: "b-1"}, HighestTerm: topo.MakeTerm(50, 0), SettledTerm: topo.MakeTerm(50, 0),
	})
	g.Expect(m.takeover.former.settled).To(gomega.Equal(topo.Offset(10)))
	g.Expect(m.takeover.former.said).To(gomega.HaveLen(1))
}
