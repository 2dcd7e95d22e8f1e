package state

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/topo"
)

// afterClaim returns the group after a node has claimed its term.
func afterClaim(current Group, offset topo.Offset, lessor, standby topo.NodeID, settled bool) Group {
	return Group{
		Term: topo.MakeTerm(offset, 0), Lessor: lessor, LessorBoot: "1", Standby: standby, StandbyBoot: "1",
		Previous: current.PreviousAfter(settled),
	}
}

func previousIncarnation(node topo.NodeID, led, stoodBy topo.Offset) PreviousIncarnation {
	return PreviousIncarnation{Node: node, Boot: "1", LessorTerm: topo.MakeTerm(led, 0), StandbyTerm: topo.MakeTerm(stoodBy, 0)}
}

func TestPreviousIncarnationsAreKeptUpToASettledTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	group := afterClaim(Group{}, 1, "a", "b", false)
	g.Expect(group.Previous).To(gomega.BeNil())
	group = afterClaim(group, 2, "b", "", false)
	g.Expect(group.Previous).To(gomega.Equal(&PreviousLessors{
		Incarnations: []PreviousIncarnation{previousIncarnation("a", 1, 0), previousIncarnation("b", 0, 1)}, Since: 1,
	}))
	group = afterClaim(group, 3, "c", "a", false)
	g.Expect(group.Previous).To(gomega.Equal(&PreviousLessors{
		Incarnations: []PreviousIncarnation{previousIncarnation("b", 2, 1), previousIncarnation("a", 1, 0)}, Since: 1,
	}))
	group = afterClaim(group, 4, "c", "b", true) // c records that every lease before term 3 has ended
	g.Expect(group.Previous).To(gomega.Equal(&PreviousLessors{
		Incarnations: []PreviousIncarnation{previousIncarnation("c", 3, 0), previousIncarnation("a", 0, 3)}, Since: 3,
	}))
	runs, since := previousToProto(group.Previous)
	g.Expect(previousFromProto(runs, since)).To(gomega.Equal(group.Previous))
	g.Expect(previousFromProto(previousToProto(nil))).To(gomega.BeNil())
}

// Nodes that suspect each other claim the term alternately. A list limited by
// the number of terms would drop the latest settled term within seconds, and the
// keys of a lost server would wait for maxDisconnected.
func TestAlternatingClaimsKeepAllPreviousIncarnations(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := []topo.NodeID{"a", "b", "c"}
	group := afterClaim(Group{}, 1, "a", "b", false)
	for offset := topo.Offset(2); offset <= 100; offset++ {
		group = afterClaim(group, offset, nodes[offset%3], nodes[(offset+1)%3], false)
	}
	g.Expect(group.Previous).To(gomega.Equal(&PreviousLessors{
		Incarnations: []PreviousIncarnation{previousIncarnation("a", 99, 98), previousIncarnation("b", 97, 99), previousIncarnation("c", 98, 97)}, Since: 1,
	}))
}

func TestPreviousIncarnationsBeyondTheLimitAreReportedMissing(t *testing.T) {
	g := gomega.NewWithT(t)
	group := afterClaim(Group{}, 1, "n1", "", false)
	const last = maxPreviousIncarnations + 3
	for offset := topo.Offset(2); offset <= last; offset++ {
		group = afterClaim(group, offset, topo.NodeID("n"+offsetText(offset)), "", false)
	}
	g.Expect(group.Previous.Incarnations).To(gomega.HaveLen(maxPreviousIncarnations))
	g.Expect(group.Previous.Incarnations[0]).To(gomega.Equal(previousIncarnation("n"+topo.NodeID(offsetText(last-1)), last-1, 0)))
	g.Expect(group.Previous.Since).To(gomega.Equal(topo.Offset(last - maxPreviousIncarnations)))
}
