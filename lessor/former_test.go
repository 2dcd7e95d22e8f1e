package lessor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// threeTerms lists the incarnations of a group whose terms were 10 (l, standby s),
// 20 (c, standby b) and 30 (b, standby d).
var threeTerms = []state.PreviousIncarnation{
	formerRun("b", 30, 20), formerRun("d", 0, 30), formerRun("c", 20, 0), formerRun("l", 10, 0), formerRun("s", 0, 10),
}

func formerRun(node topo.NodeID, led, stoodBy topo.Offset) state.PreviousIncarnation {
	return state.PreviousIncarnation{
		Node: node, Boot: topo.BootID(node) + "-1", LessorTerm: topo.MakeTerm(led, 0), StandbyTerm: topo.MakeTerm(stoodBy, 0),
	}
}

// TestRepliesSinceSettledTermEndWait checks that replies end a wait when every
// incarnation since a settled term has replied.
// TestRepliesBoundOneUnresponsiveIncarnation has the cases with a missing reply.
func TestRepliesSinceSettledTermEndWait(t *testing.T) {
	stopped := func(node topo.NodeID, at time.Duration, settled topo.Offset) stopReply {
		return stopReply{incarnation: Incarnation{Node: node, Boot: topo.BootID(node) + "-1"}, at: at, settled: topo.MakeTerm(settled, 0)}
	}
	restarted := stopReply{incarnation: Incarnation{Node: "s", Boot: "s-2"}, at: 6}
	const fromFirst, fromLatest, known = 10, 30, 5
	rows := []struct {
		name    string
		since   topo.Offset // the list is complete from here on
		settled topo.Offset // by the log
		replies []stopReply
		ended   moment
		asks    []topo.NodeID
	}{
		{"nobody", fromFirst, known, nil, moment{}, []topo.NodeID{"b", "d", "c", "l", "s"}},
		{"the latest pair, settled", fromFirst, known, []stopReply{stopped("b", 1, 30), stopped("d", 2, 0)}, momentAt(2), nil},
		{"the latest lessor alone", fromFirst, known, []stopReply{stopped("b", 1, 30)}, moment{}, []topo.NodeID{"d"}},
		{"the latest pair, unsettled", fromFirst, known, []stopReply{stopped("b", 1, 0), stopped("d", 2, 0)}, moment{}, []topo.NodeID{"c", "l", "s"}},
		{"one missing lessor that the other replies bound", fromFirst, known,
			[]stopReply{stopped("b", 1, 0), stopped("d", 2, 0), stopped("l", 3, 10), stopped("s", 4, 0)}, momentAt(4 + time.Second), []topo.NodeID{"c"}},
		{"two missing replies", fromFirst, known, []stopReply{stopped("b", 1, 0), stopped("d", 2, 0), stopped("l", 3, 10)}, moment{}, []topo.NodeID{"c", "s"}},
		{"all replied, none settled, list incomplete", fromFirst, known,
			[]stopReply{stopped("b", 1, 0), stopped("d", 2, 0), stopped("c", 3, 0), stopped("l", 4, 0), stopped("s", 5, 0)}, moment{}, nil},
		{"all replied, none settled, since the first term", fromFirst, fromFirst,
			[]stopReply{stopped("b", 1, 0), stopped("d", 2, 0), stopped("c", 3, 0), stopped("l", 4, 0), stopped("s", 5, 0)}, momentAt(5), nil},
		{"all replied, the first lessor settled", fromFirst, known,
			[]stopReply{stopped("b", 1, 0), stopped("d", 2, 0), stopped("c", 9, 0), stopped("l", 4, 10), stopped("s", 5, 0)}, momentAt(9), nil},
		{"settled in a term that is not listed", fromFirst, known, []stopReply{stopped("b", 1, 7), stopped("d", 2, 0)}, moment{},
			[]topo.NodeID{"c", "l", "s"}},
		{"another incarnation of a standby lessor", fromFirst, known,
			[]stopReply{stopped("b", 1, 0), stopped("d", 2, 0), stopped("c", 3, 0), stopped("l", 4, 10), restarted}, moment{}, []topo.NodeID{"s"}},
		{"a settled term before the complete part of the list", fromLatest, known,
			[]stopReply{stopped("b", 1, 20), stopped("d", 2, 0), stopped("c", 3, 0)}, moment{}, nil},
		{"settled by the log", fromFirst, 30, []stopReply{stopped("b", 1, 0), stopped("d", 2, 0)}, momentAt(2), nil},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := former{incarnations: threeTerms, since: row.since, settled: row.settled}
			for _, w := range row.replies {
				f.record(w)
			}
			g.Expect(f.rightEnd(stopBounds{sinceSuperseded: limit{forever: true}, sinceSupport: time.Second}, rules{})).To(gomega.Equal(row.ended))
			g.Expect(f.nodesToAsk(Incarnation{Node: "a", Boot: "a-1"})).To(gomega.Equal(row.asks))
		})
	}
}

// TestFirstReplyOfIncarnationIsKept checks that a later reply, which an incarnation may
// give as the lessor of a later term, does not change when it had stopped.
func TestFirstReplyOfIncarnationIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	lessor := Incarnation{Node: "l", Boot: "l-1"}
	f := former{incarnations: []state.PreviousIncarnation{formerRun("l", 10, 0)}, since: 10, settled: 10}
	f.record(stopReply{incarnation: lessor, at: 1, settled: topo.MakeTerm(10, 0)})
	copied := f
	f.record(stopReply{incarnation: lessor, at: 5})
	f.record(stopReply{incarnation: Incarnation{Node: "x", Boot: "1"}, at: 5})
	g.Expect(f).To(gomega.Equal(copied))
	g.Expect(f.rightEnd(stopBounds{sinceSuperseded: limit{forever: true}, sinceSupport: time.Second}, rules{})).To(gomega.Equal(momentAt(1)))
}

// TestSettledReplyOfLaterTermIsIgnored checks that the settled term of an
// incarnation that has become the lessor of a later term proves nothing about the
// terms before the asking node's.
func TestSettledReplyOfLaterTermIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember(Config{Node: "a", Boot: "a-1", Group: searchGroup})
	m.term = topo.MakeTerm(40, 0)
	m.takeover.former = former{incarnations: threeTerms, since: 10, settled: 10}
	m.recordFormerReply(1, HeartbeatReply{
		From: Incarnation{Node: "b", Boot: "b-1"}, HighestTerm: topo.MakeTerm(50, 0), SettledTerm: topo.MakeTerm(50, 0),
	})
	g.Expect(m.takeover.former.settled).To(gomega.Equal(topo.Offset(10)))
	g.Expect(m.takeover.former.replies).To(gomega.HaveLen(1))
}

// TestRepliesBoundOneUnresponsiveIncarnation checks that, if a single reply is missing, the
// right of that incarnation ends with the support that the others and the log have given it.
func TestRepliesBoundOneUnresponsiveIncarnation(t *testing.T) {
	// Term 10 belonged to l, with the standby lessor s; c claimed term 20, with
	// d.
	twoTerms := []state.PreviousIncarnation{
		formerRun("c", 20, 0), formerRun("d", 0, 20), formerRun("l", 10, 0), formerRun("s", 0, 10),
	}
	stopped := func(node topo.NodeID, at time.Duration) stopReply {
		return stopReply{incarnation: Incarnation{Node: node, Boot: topo.BootID(node) + "-1"}, at: at, reportsMode: true}
	}
	disconnected := stopped("l", 3)
	disconnected.disconnected = topo.MakeTerm(10, 0)
	earlier := stopped("l", 3)
	earlier.disconnected = topo.MakeTerm(5, 0)
	asked := func(node topo.NodeID, term topo.Offset) stopReply {
		w := disconnected
		w.reportsStandbys = true
		w.askedStandbys = []AskedStandby{{Run: Incarnation{Node: node, Boot: topo.BootID(node) + "-1"}, Term: topo.MakeTerm(term, 0)}}
		return w
	}
	oldRelease := stopReply{incarnation: Incarnation{Node: "l", Boot: "l-1"}, at: 3}
	const superseded, sinceSuperseded, sinceSupport = 1, 100, 10
	stop := stopBounds{sinceSuperseded: limit{duration: sinceSuperseded}, sinceSupport: sinceSupport}
	rows := []struct {
		name    string
		since   topo.Offset
		replies []stopReply
		ended   moment
	}{
		{"the lessor, whose standby lessor has replied", 10, []stopReply{stopped("c", 2), stopped("d", 2), stopped("s", 4)}, momentAt(4 + sinceSupport)},
		{"a standby lessor of connected mode", 10, []stopReply{stopped("c", 2), stopped("d", 2), stopped("l", 3)}, momentAt(3)},
		{"a standby lessor of disconnected mode", 10, []stopReply{stopped("c", 2), stopped("d", 2), disconnected}, momentAt(superseded + sinceSuperseded)},
		{"a standby lessor, disconnected mode before", 10, []stopReply{stopped("c", 2), stopped("d", 2), earlier}, momentAt(3)},
		{"a standby lessor that was asked", 10, []stopReply{stopped("c", 2), stopped("d", 2), asked("s", 10)}, momentAt(superseded + sinceSuperseded)},
		{"a standby lessor that was asked before", 10, []stopReply{stopped("c", 2), stopped("d", 2), asked("s", 5)}, momentAt(3)},
		{"a standby lessor, another was asked", 10, []stopReply{stopped("c", 2), stopped("d", 2), asked("d", 10)}, momentAt(3)},
		{"a standby lessor, mode not reported", 10, []stopReply{stopped("c", 2), stopped("d", 2), oldRelease}, momentAt(superseded + sinceSuperseded)},
		{"both of a pair", 10, []stopReply{stopped("c", 2), stopped("d", 2)}, momentAt(superseded + sinceSuperseded)},
		{"the lessor, and incarnations that are not listed", 11, []stopReply{stopped("c", 2), stopped("d", 2), stopped("s", 4)}, momentAt(superseded + sinceSuperseded)},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := former{incarnations: twoTerms, since: row.since, settled: 10}
			f.superseded.unlisted = superseded
			f.superseded.seen = map[roleInTerm]time.Duration{}
			for _, run := range twoTerms {
				f.superseded.seen[roleInTerm{incarnationOf(run), run.LatestTerm()}] = superseded
			}
			for _, w := range row.replies {
				f.record(w)
			}
			g.Expect(f.rightEnd(stop, rules{})).To(gomega.Equal(row.ended))
		})
	}
}
