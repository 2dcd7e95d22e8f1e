package lessor

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/topo"
)

// TestReclaimResubmitsMoves: a lessor claims again while the record
// of a planned move is on its way. The record has no effect under the new term,
// and its fate is not told any more, so the move must not count as submitted: it
// would be neither submitted nor given up, and its shard served by nobody.
func TestReclaimResubmitsMoves(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember(Config{MoveTimeout: 10 * time.Second})
	id := topo.ShardID{Service: "quotes", Index: 7}
	m.moves[id] = &move{Move: Move{Shard: id}, submitted: true}
	m.submit.undecided[id] = undecidedShard{number: m.submit.number}
	m.carryOver()
	g.Expect(m.moves[id].submitted).To(gomega.BeFalse())
	m.expireMoves(10 * time.Second)
	g.Expect(m.moves).To(gomega.BeEmpty())
}

// TestReclaimReportsCarriedActivations: a lessor that claims again carries standby servers
// that it has activated, until their records are written. Were only the mode of the new
// term told, the next lessor would take it that none was activated since it was settled.
func TestReclaimReportsCarriedActivations(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember(Config{})
	m.term = topo.MakeTerm(20, 0)
	m.carryOver()
	g.Expect(m.disconnectedTerm.IsZero()).To(gomega.BeTrue())
	m.activated[topo.ShardID{Service: "quotes", Index: 7}] = &activation{}
	m.carryOver()
	g.Expect(m.disconnectedTerm).To(gomega.Equal(m.term))
}
