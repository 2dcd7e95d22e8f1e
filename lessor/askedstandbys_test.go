package lessor

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/topo"
)

// TestAskedStandbysKeepLatestTerm checks that each standby lessor is listed once, and
// that those of terms before the settled one are dropped.
func TestAskedStandbysKeepLatestTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	ask := func(node topo.NodeID, term topo.Offset) AskedStandby {
		return AskedStandby{Run: Incarnation{Node: node, Boot: "1"}, Term: topo.MakeTerm(term, 0)}
	}
	none := topo.Term{}
	a := askedStandbys{}.with(ask("b", 10), none).with(ask("c", 20), none).with(ask("b", 30), none)
	g.Expect(a.list).To(gomega.Equal([]AskedStandby{ask("c", 20), ask("b", 30)}))
	g.Expect(a.with(ask("d", 40), topo.MakeTerm(30, 0)).list).To(gomega.Equal([]AskedStandby{ask("b", 30), ask("d", 40)}))
	g.Expect(a.without(Incarnation{Node: "c", Boot: "1"}).list).To(gomega.Equal([]AskedStandby{ask("b", 30)}))
	g.Expect(a.without(Incarnation{Node: "c", Boot: "2"}).list).To(gomega.HaveLen(2), "another incarnation")
	g.Expect(a.list).To(gomega.HaveLen(2), "not changed in place")
}

// TestAskedStandbysReportPartialList checks that an overfull list is reported as
// incomplete. Otherwise a standby lessor that was dropped would be treated as one
// that was never asked.
func TestAskedStandbysReportPartialList(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember(Config{Node: "a", Boot: "1"})
	for i := range maxAskedStandbys + 1 {
		g.Expect(m.askedStandbys.isPartial).To(gomega.BeFalse())
		run := Incarnation{Node: topo.NodeID(fmt.Sprint("n", i)), Boot: "1"}
		m.askedStandbys = m.askedStandbys.with(AskedStandby{Run: run, Term: topo.MakeTerm(topo.Offset(i+1), 0)}, topo.Term{})
	}
	g.Expect(m.askedStandbys.list).To(gomega.HaveLen(maxAskedStandbys))
	reply := m.HeartbeatReceived(0, Heartbeat{})
	g.Expect(reply.ReportsStandbys).To(gomega.BeFalse())
	g.Expect(reply.AskedStandbys).To(gomega.HaveLen(maxAskedStandbys))
}
