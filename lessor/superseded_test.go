package lessor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/state"
	"github.com/burdockspindle/burdockspindle/topo"
)

// groupAt returns the group after a number of claims, alternately by c and d, that
// follow a term of l with the standby lessor s.
func groupAt(claims int) state.Group {
	group := state.Group{ID: searchGroup, Term: topo.MakeTerm(10, 0), Lessor: "l", LessorBoot: "l-1", EarliestActiveTerm: 10}
	group.Standby, group.StandbyBoot = "s", "s-1"
	for i := range claims {
		next := group
		next.Term = topo.MakeTerm(group.Term.Offset+10, 0)
		next.Lessor = []topo.NodeID{"c", "d"}[i%2]
		next.LessorBoot = topo.BootID(next.Lessor) + "-1"
		next.Standby, next.StandbyBoot = "", ""
		next.Previous = group.PreviousAfter(false)
		group = next
	}
	return group
}

// TestWaitForUnresponsivePreviousLessorsStartsOnce checks that the wait for a
// previous lessor that does not reply is measured from when its own term was
// superseded, however many claims follow.
func TestWaitForUnresponsivePreviousLessorsStartsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var s supersessions
	const claims = 9
	for i := range claims + 1 {
		s = s.next(time.Duration(i)*time.Second, groupAt(i))
	}
	group := groupAt(claims)
	f := former{incarnations: group.Previous.Incarnations, since: group.Previous.Since, settled: group.EarliestActiveTerm, superseded: s}
	stop := stopBounds{sinceSuperseded: limit{duration: time.Minute}, sinceSupport: time.Second}
	g.Expect(f.rightEnd(stop, rules{})).To(gomega.Equal(momentAt(claims*time.Second + time.Minute)))
	for _, node := range []topo.NodeID{"c", "d"} {
		f.record(stopReply{incarnation: Incarnation{Node: node, Boot: topo.BootID(node) + "-1"}, at: claims*time.Second + 1})
	}
	g.Expect(f.rightEnd(stop, rules{})).To(gomega.Equal(momentAt(time.Second + time.Minute)))
	g.Expect(f.rightEnd(stopBounds{sinceSuperseded: limit{forever: true}, sinceSupport: time.Second}, rules{})).To(gomega.Equal(moment{}))
}

// TestWaitForUnlistedIncarnationsStartsOnce checks that incarnations dropped
// from the list are treated as superseded when the list first began after them.
func TestWaitForUnlistedIncarnationsStartsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	unknown := state.Group{Term: topo.MakeTerm(50, 0), Lessor: "c", LessorBoot: "c-1", EarliestActiveTerm: 10}
	s := supersessions{}.next(5, unknown)
	later := state.Group{Term: topo.MakeTerm(60, 0), EarliestActiveTerm: 10, Previous: unknown.PreviousAfter(false)}
	s = s.next(6, later)
	f := former{incarnations: later.Previous.Incarnations, since: later.Previous.Since, settled: later.EarliestActiveTerm, superseded: s}
	f.record(stopReply{incarnation: Incarnation{Node: "c", Boot: "c-1"}, at: 7})
	g.Expect(f.rightEnd(stopBounds{sinceSuperseded: limit{duration: time.Minute}}, rules{})).To(gomega.Equal(momentAt(time.Minute + 5)))
}
