package ranges

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/gateway/site"
)

// The lessor plans forty times a second, and measuring sums the loads of 65,536 keys and looks for
// surges: it is done only when a range moves.
func TestLoadsAreMeasuredOnlyWhenARangeMoves(t *testing.T) {
	g := gomega.NewWithT(t)
	measured := 0
	p := &placement{measure: func() *measuredOwners {
		measured++
		return &measuredOwners{ordered: []*candidateOwner{{id: "a", slots: 1, keys: 7}, {id: "b", slots: 1}}, byID: map[site.ServerID]*candidateOwner{}}
	}}
	g.Expect(measured).To(gomega.BeZero())
	l := &rangeState{Assignment: Assignment{Span: Span{To: 9}}}
	g.Expect(p.best(l)).To(gomega.Equal(site.ServerID("b")))
	p.add("b", l)
	g.Expect(measured).To(gomega.Equal(1))
}
