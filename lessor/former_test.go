package lessor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/topo"
)

// TestFormerWordsReachBackToASettledTerm: words shorten a wait only when they
// reach without a gap to a term whose lessor was settled.
func TestFormerWordsReachBackToASettledTerm(t *testing.T) {
	term := func(offset topo.Offset) topo.Term { return topo.MakeTerm(offset, 0) }
	run := func(node topo.NodeID) Run { return Run{Node: node, Boot: topo.BootID(node) + "-1"} }
	terms := []formerTerm{ // c, then b claimed after l
		{term: term(30), lessor: run("b"), standby: run("d")},
		{term: term(20), lessor: run("c"), standby: run("b")},
		{term: term(10), lessor: run("l"), standby: run("s")},
	}
	says := func(node topo.NodeID, at time.Duration, settled topo.Offset) word {
		return word{run: run(node), at: at, settled: term(settled)}
	}
	restarted := word{run: Run{Node: "s", Boot: "s-2"}, at: 6}
	rows := []struct {
		name  string
		words []word
		ended moment
		asks  []topo.NodeID
	}{
		{"nobody", nil, moment{}, []topo.NodeID{"b", "d"}},
		{"the latest pair, settled", []word{says("b", 1, 30), says("d", 2, 0)}, momentAt(2), nil},
		{"the latest lessor alone", []word{says("b", 1, 30)}, moment{}, []topo.NodeID{"d"}},
		{"the latest pair, unsettled", []word{says("b", 1, 0), says("d", 2, 0)}, moment{}, []topo.NodeID{"c"}},
		{"a gap", []word{says("b", 1, 0), says("d", 2, 0), says("l", 3, 10), says("s", 4, 0)}, moment{}, []topo.NodeID{"c"}},
		{"all, without one that was settled", []word{says("b", 1, 0), says("d", 2, 0), says("c", 3, 0), says("l", 4, 0), says("s", 5, 0)},
			moment{}, nil},
		{"all, the first one settled", []word{says("b", 1, 0), says("d", 2, 0), says("c", 9, 0), says("l", 4, 10), says("s", 5, 0)},
			momentAt(9), nil},
		{"settled in an earlier term only", []word{says("b", 1, 5), says("d", 2, 0)}, moment{}, []topo.NodeID{"c"}},
		{"another run of a standby lessor", []word{says("b", 1, 0), says("d", 2, 0), says("c", 3, 0), says("l", 4, 10), restarted},
			moment{}, []topo.NodeID{"s"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := former{terms: terms}
			for _, w := range row.words {
				f.note(w)
			}
			g.Expect(f.ended(rules{})).To(gomega.Equal(row.ended))
			g.Expect(f.asks(run("a"))).To(gomega.Equal(row.asks))
		})
	}
}

// TestFirstWordOfARunStands: what a run says later, when it may have become the
// lessor of a later term, changes nothing of when it had stopped.
func TestFirstWordOfARunStands(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor := Run{Node: "l", Boot: "1"}
	f := former{terms: []formerTerm{{term: topo.MakeTerm(10, 0), lessor: lessor}}}
	f.note(word{run: lessor, at: 1, settled: topo.MakeTerm(10, 0)})
	copied := f
	f.note(word{run: lessor, at: 5})
	f.note(word{run: Run{Node: "x", Boot: "1"}, at: 5})
	g.Expect(f).To(gomega.Equal(copied))
	g.Expect(f.ended(rules{})).To(gomega.Equal(momentAt(1)))
}
