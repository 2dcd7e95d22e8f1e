package state

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/topo"
)

// claimed returns the group that follows another when a node claims it.
func claimed(current Group, offset topo.Offset, node topo.NodeID, settled bool) Group {
	return Group{Term: topo.MakeTerm(offset, 0), Lessor: node, LessorBoot: "1", Former: formerAfter(current, settled)}
}

func formerOffsets(g Group) []topo.Offset {
	offsets := []topo.Offset{}
	for f := g.Former; f != nil; f = f.Earlier {
		offsets = append(offsets, f.Term.Offset)
	}
	return offsets
}

func TestFormerTermsAreKeptUpToASettledOne(t *testing.T) {
	g := gomega.NewWithT(t)
	group := claimed(Group{}, 1, "a", false)
	g.Expect(group.Former).To(gomega.BeNil())
	group = claimed(group, 2, "b", false)
	group = claimed(group, 3, "c", false)
	g.Expect(formerOffsets(group)).To(gomega.Equal([]topo.Offset{2, 1}))
	group = claimed(group, 4, "c", true) // c tells that all before 3 ended
	g.Expect(formerOffsets(group)).To(gomega.Equal([]topo.Offset{3}))
	for offset := topo.Offset(5); offset < 20; offset++ {
		group = claimed(group, offset, "d", false)
	}
	kept := formerOffsets(group)
	g.Expect(kept).To(gomega.HaveLen(formerMost))
	g.Expect(kept[0]).To(gomega.Equal(topo.Offset(18)))
	g.Expect(formerFromProto(formerToProto(group.Former))).To(gomega.Equal(group.Former))
}
